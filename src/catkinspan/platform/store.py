"""Client of the platform's store."""

import base64
import binascii
from collections.abc import AsyncIterator, Mapping, Sequence
from typing import Any
from urllib.parse import urlencode

import orjson

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
        # The pages may show different revisions. A watch from the revision of the first
        # page misses no change.
        return StoreSnapshot(revisions[0], tuple(documents))

    async def _async_pages(self, prefix: str) -> AsyncIterator[StoreSnapshot]:
        """Yield the pages under a prefix; raises StoreError if they do not end."""
        after: str | None = None
        for _ in range(MAX_PAGES):
            page = await self._async_page(prefix, after)
            items = _require_field(page, names.ITEMS, list)
            documents = tuple(_parse_document(item) for item in items)
            yield StoreSnapshot(
                _require_revision(page, names.STORE_REVISION), documents
            )
            if not page.get(names.HAS_MORE) or not documents:
                return
            previous, after = after, documents[-1].name
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
        changed = [
            _parse_document(event)
            for event in _require_field(response, names.EVENTS, list)
        ]
        documents = tuple(d for d in changed if d.name.startswith(self._prefixes))
        revision = max(after, _require_revision(response, names.STORE_REVISION))
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
        target = f"{path}?{urlencode(query)}"
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
            decoded = orjson.loads(response.body)
        except orjson.JSONDecodeError as error:
            raise StoreError(f"invalid JSON from {path}: {error}; try again") from error
        if not isinstance(decoded, dict):
            raise StoreError(f"the response to {path} is not a JSON object; try again")
        return decoded


def _parse_document(item: object) -> Document:
    if not isinstance(item, dict):
        raise StoreError("an item is not a JSON object; check the store's address")
    name = _require_field(item, names.KEY, str)
    revision = _require_revision(item, names.REVISION)
    if item.get(names.DELETED):
        return Document(name, revision, None)
    return Document(
        name, revision, _decode_value(_require_field(item, names.VALUE, str))
    )


def _decode_value(value: str) -> str:
    """Decode base64; leave an invalid value unchanged for the parser to reject."""
    try:
        return base64.b64decode(value, validate=True).decode("utf-8", "replace")
    except (binascii.Error, ValueError):
        return value


def _require_revision(fields: Mapping[str, Any], name: str) -> Revision:
    value = _require_field(fields, name, int)
    if isinstance(value, bool) or value < 0:
        raise StoreError(f"{name} is not a revision; check the store's address")
    return Revision(value)


def _require_field(fields: Mapping[str, Any], name: str, kind: type[Any]) -> Any:
    value = fields.get(name)
    if not isinstance(value, kind):
        raise StoreError(
            f"{name} is missing or of the wrong type; check the store's address"
        )
    return value
