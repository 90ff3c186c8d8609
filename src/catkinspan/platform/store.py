"""Client of the platform's store."""

import base64
import binascii
import json
from collections.abc import AsyncIterator, Iterable, Mapping, Sequence
from typing import Any, TypeGuard
from urllib.parse import urlencode

import orjson
from loguru import logger

from catkinspan.coordination.configuration.models import (
    Document,
    StoreChanges,
    StoreSnapshot,
)
from catkinspan.platform import names
from catkinspan.state.ids import Revision
from catkinspan.state.tree import Address
from catkinspan.transport.http_client import FetchError, async_fetch
from catkinspan.transport.store.reader import HistoryCompactedError, StoreError

READ_TIMEOUT_SECONDS = 1.5
WATCH_WAIT_MS = 1000
"""Longest time that the store holds a watch. Each response confirms contact with the
store, and the next watch detects a connection that has become unresponsive."""

WATCH_TIMEOUT_MARGIN_SECONDS = 0.6
"""Time beyond `WATCH_WAIT_MS` after which a watch counts as failed."""

MAX_KEY_CHARS = 200
MAX_PAGES = 1000
MAX_DOCUMENTS_CHARS = 32 * 1024 * 1024
"""Limit of one read of all documents; 11,000 servers take about 5 MB."""


class PlatformStore:
    """Reads the documents whose keys start with one of several prefixes.

    Each call opens a new connection, because an unresponsive connection would fail the
    next call as well.
    """

    def __init__(self, address: Address, prefixes: Sequence[str]) -> None:
        self._address = address
        self._prefixes = tuple(prefixes)
        self._calls = 0

    @property
    def calls(self) -> int:
        """Return the number of calls made."""
        return self._calls

    async def async_read_all(self) -> StoreSnapshot:
        """Read all documents, page by page."""
        documents: list[Document] = []
        revisions: list[Revision] = []
        chars = 0
        for prefix in self._prefixes:
            async for page in self._async_pages(prefix):
                documents += page.documents
                revisions.append(page.revision)
                chars += sum(len(item.text or "") for item in page.documents)
                if chars > MAX_DOCUMENTS_CHARS:
                    raise StoreError(
                        f"documents are over {MAX_DOCUMENTS_CHARS} characters; "
                        "remove entries that are not in use"
                    )
        return StoreSnapshot(revisions[0], tuple(documents), revisions[-1])

    async def _async_pages(self, prefix: str) -> AsyncIterator[StoreSnapshot]:
        """Yield the pages under a prefix; raises StoreError if they do not end."""
        after: str | None = None
        for _ in range(MAX_PAGES):
            page = await self._async_page(prefix, after)
            items = _require_field(page, names.ITEMS, list)
            revision = _require_revision(page, names.STORE_REVISION)
            yield StoreSnapshot(revision, _parse_documents(items, revision))
            last = _last_key(items)
            if not page.get(names.HAS_MORE) or last is None:
                return
            previous, after = after, last
            if after == previous:
                raise StoreError(f"the page after {after} ends there; check the store")
        raise StoreError(f"{prefix} has over {MAX_PAGES} pages; remove old entries")

    async def async_watch(self, after: Revision) -> StoreChanges:
        """Wait for changes after a revision."""
        query = {
            names.PATH_PREFIX: "",
            names.AFTER: after,
            names.WAIT_MS: WATCH_WAIT_MS,
        }
        timeout = WATCH_WAIT_MS / 1000 + WATCH_TIMEOUT_MARGIN_SECONDS
        response = await self._async_call(names.KV_WATCH, query, timeout)
        events = _require_field(response, names.EVENTS, list)
        revision = max(after, _require_revision(response, names.STORE_REVISION))
        changed = _parse_documents(events, revision)
        documents = tuple(d for d in changed if d.name.startswith(self._prefixes))
        return StoreChanges(after, revision, documents)

    async def _async_page(self, prefix: str, after: str | None) -> Mapping[str, Any]:
        query = {names.PATH_PREFIX: prefix}
        if after is not None:
            query[names.AFTER] = after
        return await self._async_call(names.KV_RANGE, query, READ_TIMEOUT_SECONDS)

    async def _async_call(
        self, path: str, query: Mapping[str, object], timeout: float
    ) -> Mapping[str, Any]:
        self._calls += 1
        target = f"{path}?{urlencode(query, errors='surrogatepass')}"
        try:
            response = await async_fetch(self._address, target, timeout)
        except FetchError as error:
            raise StoreError(str(error)) from error
        if response.status == names.HISTORY_GONE_STATUS:
            raise HistoryCompactedError(
                "the store has compacted the requested history; read all documents"
            )
        if response.status != 200:
            raise StoreError(
                f"store returned status {response.status} for {path}; try again later"
            )
        try:
            decoded = _decode_json(response.body)
        except (ValueError, RecursionError) as error:
            raise StoreError(f"invalid JSON from {path}: {error}; try again") from error
        if not isinstance(decoded, dict):
            raise StoreError(f"the response to {path} is not a JSON object; try again")
        return decoded


def _decode_json(body: bytes) -> Any:
    """Decode JSON; keys that are not valid Unicode make only the slow parser succeed.

    Raises ValueError or RecursionError.
    """
    try:
        return orjson.loads(body)
    except orjson.JSONDecodeError:
        return json.loads(body)


def _parse_documents(items: Iterable[object], newest: Revision) -> tuple[Document, ...]:
    """Return the items that can be named; another writer may have stored odd ones.

    `newest` is the revision of the store, which no item exceeds.
    """
    documents = [_parse_document(item, newest) for item in items]
    skipped = documents.count(None)
    if skipped:
        logger.warning("skipped {} items of the store without a usable key", skipped)
    return tuple(document for document in documents if document is not None)


def _parse_document(item: object, newest: Revision) -> Document | None:
    """Return the document; an unreadable value is left for the parser to reject."""
    key = _key_of(item)
    if key is None or not isinstance(item, dict):
        return None
    revision = item.get(names.REVISION)
    if not _is_revision(revision) or revision > newest:
        revision = newest
    if item.get(names.DELETED) is True:
        return Document(key, Revision(revision), None)
    return Document(key, Revision(revision), _decode_value(item.get(names.VALUE)))


def _key_of(item: object) -> str | None:
    """Return the key of an item; None if it has none that can be sent to peers."""
    key = item.get(names.KEY) if isinstance(item, dict) else None
    if not isinstance(key, str) or len(key) > MAX_KEY_CHARS:
        return None
    return key if key.isprintable() else None


def _last_key(items: Sequence[object]) -> str | None:
    """Return the last key, by which the next page is requested."""
    for item in reversed(items):
        key = item.get(names.KEY) if isinstance(item, dict) else None
        if isinstance(key, str):
            return key
    return None


def _decode_value(value: object) -> str:
    """Decode base64; return an empty text, which is no document, if it is invalid."""
    if not isinstance(value, str):
        return ""
    try:
        return base64.b64decode(value, validate=True).decode("utf-8", "replace")
    except (binascii.Error, ValueError):
        return ""


def _is_revision(value: object) -> TypeGuard[int]:
    return isinstance(value, int) and not isinstance(value, bool) and value >= 0


def _require_revision(fields: Mapping[str, Any], name: str) -> Revision:
    value = _require_field(fields, name, int)
    if not _is_revision(value):
        raise StoreError(f"{name} is not a revision; check the store's address")
    return Revision(value)


def _require_field(fields: Mapping[str, Any], name: str, kind: type[Any]) -> Any:
    value = fields.get(name)
    if not isinstance(value, kind):
        raise StoreError(
            f"{name} is missing or of the wrong type; check the store's address"
        )
    return value
