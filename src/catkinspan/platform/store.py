"""Calls of the platform's store."""

import base64
import binascii
from collections.abc import Mapping, Sequence
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

READ_SECONDS = 1.5
WATCH_WAIT_MS = 1000
"""Longest wait of a watch. Each return shows that the store is in contact, and a
connection that went silent is found by the next one."""

WATCH_SLACK_SECONDS = 0.6
"""Time beyond its wait after which a watch counts as failed."""

MAX_PAGES = 1000


class PlatformStore:
    """Reads the documents whose keys begin with one of several prefixes.

    Each call opens a connection of its own, since one that went silent would not
    answer the next call either.
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
        for prefix in self._prefixes:
            after: str | None = None
            for _ in range(MAX_PAGES):
                page = await self._async_page(prefix, after)
                items = _field(page, names.ITEMS, list)
                documents += [_document(item) for item in items]
                revisions.append(_revision(page, names.STORE_REVISION))
                if not page.get(names.HAS_MORE) or not items:
                    break
                after = documents[-1].name
        # Pages are no snapshot: a watch from the first one misses nothing.
        return StoreSnapshot(revisions[0], tuple(documents))

    async def async_watch(self, after: Revision) -> StoreChanges:
        """Wait for changes after a revision."""
        query = {
            names.PATH_PREFIX: "",
            names.AFTER: after,
            names.WAIT_MS: WATCH_WAIT_MS,
        }
        timeout = WATCH_WAIT_MS / 1000 + WATCH_SLACK_SECONDS
        answer = await self._async_call(names.KV_WATCH, query, timeout)
        changed = [_document(event) for event in _field(answer, names.EVENTS, list)]
        documents = tuple(d for d in changed if d.name.startswith(self._prefixes))
        revision = max(after, _revision(answer, names.STORE_REVISION))
        return StoreChanges(after, revision, documents)

    async def _async_page(self, prefix: str, after: str | None) -> Mapping[str, Any]:
        query = {names.PATH_PREFIX: prefix}
        if after is not None:
            query[names.AFTER] = after
        return await self._async_call(names.KV_RANGE, query, READ_SECONDS)

    async def _async_call(
        self, path: str, query: Mapping[str, object], timeout: float
    ) -> Mapping[str, Any]:
        self._calls += 1
        target = f"{path}?{urlencode(query)}"
        try:
            answer = await async_fetch(self._address, target, timeout)
        except FetchError as error:
            raise StoreError(str(error)) from error
        if answer.status == names.HISTORY_GONE_STATUS:
            raise HistoryCompactedError("the history was dropped; read all documents")
        if answer.status != 200:
            raise StoreError(f"status {answer.status} for {path}; try again later")
        try:
            decoded = orjson.loads(answer.body)
        except orjson.JSONDecodeError as error:
            raise StoreError(f"no JSON from {path}: {error}; try again") from error
        if not isinstance(decoded, dict):
            raise StoreError(f"no JSON object from {path}; try again")
        return decoded


def _document(item: object) -> Document:
    if not isinstance(item, dict):
        raise StoreError("an item is no JSON object; check the store's address")
    name = _field(item, names.KEY, str)
    revision = _revision(item, names.REVISION)
    if item.get(names.DELETED):
        return Document(name, revision, None)
    return Document(name, revision, _text(_field(item, names.VALUE, str)))


def _text(value: str) -> str:
    """Decode a value; one that is no text stays as it is, for the parser to refuse."""
    try:
        return base64.b64decode(value, validate=True).decode("utf-8", "replace")
    except (binascii.Error, ValueError):
        return value


def _revision(fields: Mapping[str, Any], name: str) -> Revision:
    value = _field(fields, name, int)
    if isinstance(value, bool) or value < 0:
        raise StoreError(f"{name} is no revision; check the store's address")
    return Revision(value)


def _field(fields: Mapping[str, Any], name: str, kind: type[Any]) -> Any:
    value = fields.get(name)
    if not isinstance(value, kind):
        raise StoreError(f"{name} is missing or wrong; check the store's address")
    return value
