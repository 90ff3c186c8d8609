"""Answers of the platform that make no sense are typed errors."""

from typing import Any

import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from catkinspan.protocol.platform.documents import (
    PlatformAnswerError,
    decode_document,
    decode_index,
    decode_watch,
)

scalars = (
    st.none() | st.booleans() | st.integers(-(2**63), 2**64 - 1) | st.text(max_size=3)
)
members = st.sampled_from(("revision", "documents", "name", "text", "changed"))
answers = st.recursive(
    scalars,
    lambda inner: (
        st.lists(inner, max_size=2) | st.dictionaries(members, inner, max_size=4)
    ),
    max_leaves=8,
)


@settings(derandomize=True, max_examples=100, deadline=None)
@given(answers.map(orjson.dumps) | st.binary(max_size=20))
def test_any_answer_decodes_or_is_a_typed_error(data: bytes) -> None:
    for decode in (decode_index, decode_document, decode_watch):
        result = decode(data)
        assert result.is_ok() or isinstance(result.unwrap_err(), PlatformAnswerError)


@pytest.mark.parametrize("revision", [-1, True, 1.5, "7", None, 2**53 + 1, 2**64 - 1])
def test_absurd_revision_is_refused(revision: Any) -> None:
    """Revisions never go back, and peers would drop one above 2^53."""
    value = {"revision": revision, "documents": {}, "name": "root", "text": "{}"}
    data = orjson.dumps(value)
    for decode in (decode_index, decode_document, decode_watch):
        assert "check that `platform`" in str(decode(data).unwrap_err())
