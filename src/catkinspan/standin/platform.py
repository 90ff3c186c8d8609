"""A stand-in for the platform's store.

It serves the read and watch calls, and control paths that a real platform offers
elsewhere: ``PUT /operators/settings`` publishes a settings file, ``POST
/operators/mode?name=MODE`` enables a fault (see `StoreMode`).
"""

import asyncio
import base64
from enum import StrEnum
from urllib.parse import parse_qs, urlsplit

import orjson
from result import Err

from catkinspan.platform import names
from catkinspan.protocol.settings.documents import TREE_KEY_PREFIX
from catkinspan.protocol.settings.tree import split_documents
from catkinspan.state.ids import NO_REVISION, Revision
from catkinspan.state.tree import Address
from catkinspan.transport.simple_server import (
    AbortConnectionError,
    SimpleRequest,
    SimpleResponse,
    SimpleServer,
)

MAX_VALUE_BYTES = 1024 * 1024
PAGE_ITEMS = 50
SILENT_SECONDS = 3600.0


class StoreMode(StrEnum):
    """How the stand-in answers calls to the store."""

    OK = "ok"
    DOWN = "down"
    """Each connection is closed without an answer."""

    BUSY = "busy"
    """Each call is answered 503."""

    MANY = "many"
    """Each call is answered 429."""

    SILENT = "silent"
    """No call is answered."""

    NONSENSE = "nonsense"


class StandinPlatform:
    """Key-value store with a single revision counter; counts the calls it receives."""

    def __init__(self) -> None:
        self._items: dict[str, tuple[Revision, bytes]] = {}
        self._events: list[dict[str, object]] = []
        self._compacted_revision = NO_REVISION
        self._revision = NO_REVISION
        self._changed = asyncio.Condition()
        self._mode = StoreMode.OK
        self._call_count = 0
        self._server = SimpleServer(self._async_handle)

    @property
    def call_count(self) -> int:
        """Return the number of calls received; a pending watch counts as one call."""
        return self._call_count

    @property
    def revision(self) -> Revision:
        """Return the revision of the last change."""
        return self._revision

    async def async_start(self, address: Address) -> Address:
        """Start listening and return the bound address."""
        return await self._server.async_start(address)

    async def async_stop(self) -> None:
        """Close all connections immediately, as a crash does."""
        await self._server.async_stop()

    async def async_publish(self, settings: object) -> Revision:
        """Publish a settings file; raise ValueError if it cannot be split."""
        split_result = split_documents(settings)
        if isinstance(split_result, Err):
            raise ValueError("; ".join(map(str, split_result.err_value)))
        documents = {
            TREE_KEY_PREFIX + name: text for name, text in split_result.ok_value.items()
        }
        present = {name for name in self._items if name.startswith(TREE_KEY_PREFIX)}
        changes: dict[str, bytes | None] = dict.fromkeys(present - documents.keys())
        for name, text in documents.items():
            current = self._items.get(name)
            if current is None or current[1] != text.encode():
                changes[name] = text.encode()
        return await self.async_put(changes)

    async def async_put(self, changes: dict[str, bytes | None]) -> Revision:
        """Write items, or remove those with the value None, at one new revision."""
        if not changes:
            return self._revision
        async with self._changed:
            self._revision = Revision(self._revision + 1)
            for key, value in changes.items():
                self._write(key, value)
            self._changed.notify_all()
        return self._revision

    def _write(self, key: str, value: bytes | None) -> None:
        if value is not None and len(value) > MAX_VALUE_BYTES:
            raise ValueError(f"{key} is over 1 MB; split it")
        if value is None:
            self._items.pop(key, None)
            event: dict[str, object] = {
                names.KEY: key,
                names.REVISION: self._revision,
                names.DELETED: True,
            }
        else:
            self._items[key] = (self._revision, value)
            event = _item_json(key, self._revision, value)
        self._events.append(event)

    def compact(self) -> None:
        """Drop the change history, so that watches from before it get status 410."""
        self._events.clear()
        self._compacted_revision = self._revision

    async def async_set_mode(self, mode: StoreMode) -> None:
        """Set the mode; a fault also ends all pending watches."""
        self._mode = mode
        async with self._changed:
            self._changed.notify_all()

    async def _async_handle(self, request: SimpleRequest) -> SimpleResponse:
        if request.path.startswith("/operators/"):
            return await self._async_handle_operators_request(request)
        self._call_count += 1
        if self._mode is not StoreMode.OK:
            return await self._async_simulate_fault()
        query = {
            name: values[0]
            for name, values in parse_qs(urlsplit(request.target).query).items()
        }
        if request.path == names.KV_RANGE:
            return self._range_page(query)
        if request.path == names.KV_WATCH:
            return await self._async_watch(query)
        return SimpleResponse(404, b"{}")

    async def _async_simulate_fault(self) -> SimpleResponse:
        match self._mode:
            case StoreMode.BUSY:
                return SimpleResponse(503, b"{}")
            case StoreMode.MANY:
                return SimpleResponse(429, b"{}")
            case StoreMode.NONSENSE:
                return SimpleResponse(200, b'{"store_revision": "nonsense"}')
            case StoreMode.SILENT:
                await asyncio.sleep(SILENT_SECONDS)
        raise AbortConnectionError

    def _range_page(self, query: dict[str, str]) -> SimpleResponse:
        prefix, after = query.get(names.PATH_PREFIX, ""), query.get(names.AFTER, "")
        keys = sorted(
            key for key in self._items if key.startswith(prefix) and key > after
        )
        items = [_item_json(key, *self._items[key]) for key in keys[:PAGE_ITEMS]]
        return _json_response(
            {
                names.ITEMS: items,
                names.HAS_MORE: len(keys) > PAGE_ITEMS,
                names.STORE_REVISION: self._revision,
            }
        )

    async def _async_watch(self, query: dict[str, str]) -> SimpleResponse:
        after = int(query.get(names.AFTER, "0"))
        timeout_seconds = int(query.get(names.WAIT_MS, "1000")) / 1000
        prefix = query.get(names.PATH_PREFIX, "")
        if after < self._compacted_revision:
            return SimpleResponse(names.HISTORY_GONE_STATUS, b"{}")
        try:
            async with asyncio.timeout(timeout_seconds), self._changed:
                await self._changed.wait_for(lambda: self._watch_is_done(after, prefix))
        except TimeoutError:
            pass
        if self._mode is not StoreMode.OK:
            raise AbortConnectionError
        events = self._events_after(after, prefix)
        return _json_response(
            {names.EVENTS: events, names.STORE_REVISION: self._revision}
        )

    def _watch_is_done(self, after: int, prefix: str) -> bool:
        has_events = bool(self._events_after(after, prefix))
        return has_events or self._mode is not StoreMode.OK

    def _events_after(self, after: int, prefix: str) -> list[dict[str, object]]:
        return [
            event
            for event in self._events
            if int(str(event[names.REVISION])) > after
            and str(event[names.KEY]).startswith(prefix)
        ]

    async def _async_handle_operators_request(
        self, request: SimpleRequest
    ) -> SimpleResponse:
        if request.path == "/operators/settings" and request.method == "PUT":
            try:
                revision = await self.async_publish(orjson.loads(request.body))
            except ValueError as error:
                return SimpleResponse(400, f"{error}\n".encode())
            return _json_response({"revision": revision})
        if request.path == "/operators/settings":
            return _json_response(self._merged_settings())
        if request.path == "/operators/mode" and request.method == "POST":
            query = parse_qs(urlsplit(request.target).query)
            try:
                mode = StoreMode(query.get("name", [""])[0])
            except ValueError:
                modes = ", ".join(StoreMode)
                return SimpleResponse(400, f"name must be one of {modes}\n".encode())
            await self.async_set_mode(mode)
            return _json_response({"mode": mode})
        return _json_response({"calls": self._call_count, "revision": self._revision})

    def _merged_settings(self) -> dict[str, object]:
        """Return the published documents as one settings file."""
        merged: dict[str, dict[str, object]] = {"services": {}, "workspaces": {}}
        result: dict[str, object] = dict(merged)
        for key, (_, text) in self._items.items():
            if not key.startswith(TREE_KEY_PREFIX):
                continue
            value = orjson.loads(text)
            kind, _, name = key.removeprefix(TREE_KEY_PREFIX).partition("/")
            if kind == "services":
                merged["services"][name] = value
            elif kind == "workspaces":
                merged["workspaces"].update(value)
            else:
                result.update(value)
        return result


def _item_json(key: str, revision: Revision, value: bytes) -> dict[str, object]:
    return {
        names.KEY: key,
        names.VALUE: base64.b64encode(value).decode(),
        names.REVISION: revision,
    }


def _json_response(value: object) -> SimpleResponse:
    headers = {"Content-Type": "application/json"}
    return SimpleResponse(200, orjson.dumps(value), headers)
