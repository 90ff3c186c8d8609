"""Decoding of the platform's answers.

- ``GET /v1/index``: ``{"revision": 7, "documents": {"root": 3, "hosts": 7}}``
- ``GET /v1/documents/NAME``: ``{"name": "root", "revision": 3, "text": "{...}"}``
- ``GET /v1/watch?after=7&timeout_ms=30000``: ``{"revision": 8, "changed": ["hosts"]}``
"""

from collections.abc import Mapping

import orjson
from attrs import frozen
from result import Err, Ok, Result

from catkinspan.coordination.configuration.models import Document
from catkinspan.coordination.models import WHOLE
from catkinspan.state.ids import Revision


@frozen
class PlatformAnswerError:
    """An answer of the platform that cannot be understood."""

    reason: str

    def __str__(self) -> str:
        """Return the error with its remedy."""
        return f"{self.reason}; check that `platform` names the configuration service"


@frozen
class Index:
    """Revisions of all documents."""

    revision: Revision
    documents: Mapping[str, Revision]


def decode_index(data: bytes) -> Result[Index, PlatformAnswerError]:
    """Decode an index."""
    try:
        value = orjson.loads(data)
        revision = _revision(value["revision"])
        documents = {str(n): _revision(r) for n, r in value["documents"].items()}
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        return Err(PlatformAnswerError(f"malformed index: {error!r:.100}"))
    return Ok(Index(revision, documents))


def decode_document(data: bytes) -> Result[Document, PlatformAnswerError]:
    """Decode a document."""
    try:
        value = orjson.loads(data)
        name, text = value["name"], value["text"]
        revision = _revision(value["revision"])
        if not isinstance(name, str) or not isinstance(text, str):
            raise TypeError("name and text must be strings")
    except (ValueError, KeyError, TypeError) as error:
        return Err(PlatformAnswerError(f"malformed document: {error!r:.100}"))
    return Ok(Document(name, revision, text))


def decode_watch(data: bytes) -> Result[Revision, PlatformAnswerError]:
    """Decode the answer of a watch to the revision that is in force."""
    try:
        return Ok(_revision(orjson.loads(data)["revision"]))
    except (ValueError, KeyError, TypeError) as error:
        return Err(PlatformAnswerError(f"malformed watch: {error!r:.100}"))


def _revision(value: object) -> Revision:
    # Peers drop larger numbers, so a larger revision could not spread.
    if type(value) is not int or not WHOLE.holds(value):
        raise ValueError(f"not a revision: {value!r:.40}")
    return Revision(value)
