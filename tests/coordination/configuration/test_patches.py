"""Guards that a patch rebuilds exactly the published text."""

from hypothesis import given, settings
from hypothesis import strategies as st

from catkinspan.coordination.configuration.models import Document
from catkinspan.coordination.configuration.patches import (
    apply_patch,
    digest_of,
    patch_between,
)
from catkinspan.state.ids import Revision

TEXTS = st.text(alphabet="ab\u00e9\U0001f338", max_size=40)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(TEXTS, TEXTS)
def test_patch_rebuilds_the_new_text(before: str, after: str) -> None:
    # Failure: repeated or multi-byte characters shift the replaced range.
    old = Document("museum", Revision(1), before)
    new = Document("museum", Revision(2), after)
    patch = patch_between(old, new, digest_of(after))
    assert apply_patch(old, patch) == new


def test_patch_of_a_large_document_is_small() -> None:
    # Failure: one changed rate sends the whole document to every host.
    lines = [f'"workspace-{n:05}": {{"rate": 10}}' for n in range(20_000)]
    old = Document("museum", Revision(1), ",".join(lines))
    lines[7_000] = lines[7_000].replace("10", "25")
    new = Document("museum", Revision(2), ",".join(lines))
    patch = patch_between(old, new, digest_of(new.text))
    assert len(patch.text) <= 2
    assert apply_patch(old, patch) == new


def test_patch_that_does_not_fit_is_refused() -> None:
    # Failure: a patch is applied to another version of the document.
    old = Document("museum", Revision(1), "one")
    new = Document("museum", Revision(2), "two")
    patch = patch_between(old, new, digest_of("two"))
    assert apply_patch(Document("museum", Revision(3), "one"), patch) is None
    assert apply_patch(Document("museum", Revision(1), "six!"), patch) is None
    assert apply_patch(None, patch) is None
