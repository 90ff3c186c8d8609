"""Sizes of documents, and their division into messages."""

from collections.abc import Iterable

from catkinspan.coordination.configuration.const import (
    MAX_PART_CHARS,
    SMALL_CHANGE_CHARS,
)
from catkinspan.coordination.configuration.models import Document


def text_chars(documents: Iterable[Document]) -> int:
    """Return the characters in the texts of documents."""
    return sum(len(document.text or "") for document in documents)


def is_small(documents: Iterable[Document]) -> bool:
    """Return whether documents are small enough to be sent to all hosts at once."""
    return text_chars(documents) <= SMALL_CHANGE_CHARS


def split_into_parts(documents: Iterable[Document]) -> list[tuple[Document, ...]]:
    """Split documents so that only a single document exceeds `MAX_PART_CHARS`."""
    parts: list[list[Document]] = [[]]
    size = 0
    for document in documents:
        length = len(document.text or "")
        if parts[-1] and size + length > MAX_PART_CHARS:
            parts.append([])
            size = 0
        parts[-1].append(document)
        size += length
    return [tuple(part) for part in parts]
