"""Patches of a document's text: one replaced range between two versions."""

import xxhash

from catkinspan.coordination.configuration.models import Document, Patch
from catkinspan.state.ids import NO_REVISION


def digest_of(text: str) -> int:
    """Return the 64-bit digest that guards transfers against mix-ups."""
    return xxhash.xxh64_intdigest(text.encode())


def patch_between(old: Document | None, new: Document, digest: int) -> Patch:
    """Return the patch from one version of a document to the next."""
    old_text = old.text if old else ""
    old_revision = old.revision if old else NO_REVISION
    start = _common_prefix(old_text, new.text)
    kept = _common_suffix(old_text[start:], new.text[start:])
    return Patch(
        new.name,
        old_revision,
        new.revision,
        start,
        len(old_text) - kept,
        new.text[start : len(new.text) - kept],
        digest,
    )


def apply_patch(old: Document | None, patch: Patch) -> Document | None:
    """Return the new document, or None if the patch does not fit the old one."""
    old_revision = old.revision if old else NO_REVISION
    if old_revision != patch.base:
        return None
    old_text = old.text if old else ""
    text = old_text[: patch.start] + patch.text + old_text[patch.end :]
    if digest_of(text) != patch.digest:
        return None
    return Document(patch.name, patch.revision, text)


def _common_prefix(one: str, other: str) -> int:
    """Find the length by bisection; comparing slices is fast at 1 MB."""
    low, high = 0, min(len(one), len(other))
    while low < high:
        middle = (low + high + 1) // 2
        if one[low:middle] == other[low:middle]:
            low = middle
        else:
            high = middle - 1
    return low


def _common_suffix(one: str, other: str) -> int:
    low, high = 0, min(len(one), len(other))
    while low < high:
        middle = (low + high + 1) // 2
        if one[len(one) - middle :] == other[len(other) - middle :]:
            low = middle
        else:
            high = middle - 1
    return low
