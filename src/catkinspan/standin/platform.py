"""A stand-in for the platform's store.

It serves the read-and-watch calls, and an operators' interface that real platforms
have elsewhere: ``PUT /operators/settings`` publishes a settings file, ``POST
/operators/mode?name=MODE`` switches a fault on (see `StoreMode`).
"""

import asyncio
import base64
from enum import StrEnum
from urllib.parse import parse_qs, urlsplit

import orjson
from result import Err

from catkinspan.platform import names
from catkinspan.protocol.settings.documents import PREFIX
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
    """What the stand-in does with calls."""

    OK = "ok"
    DOWN = "down"
    """Each connection is cut."""

    BUSY = "busy"
    """Each call is answered 503."""

    MANY = "many"
    """Each call is answered 429."""

    SILENT = "silent"
    """No call is answered."""

    NONSENSE = "nonsense"


class StandinPlatform:
    """Holds items under keys with one revision counter, and counts its calls."""

    def __init__(self) -> None:
        self._items: dict[str, tuple[Revision, bytes]] = {}
        self._events: list[dict[str, object]] = []
        self._history_after = NO_REVISION
        self._revision = NO_REVISION
        self._changed = asyncio.Condition()
        self._mode = StoreMode.OK
        self._calls = 0
        self._server = SimpleServer(self._async_handle)

    @property
    def calls(self) -> int:
        """Return the number of calls so far; a waiting watch counts as one."""
        return self._calls

    @property
    def revision(self) -> Revision:
        """Return the revision of the last change."""
        return self._revision

    async def async_start(self, address: Address) -> Address:
        """Listen and return the address in use."""
        return await self._server.async_start(address)

    async def async_stop(self) -> None:
        """Stop at once."""
        await self._server.async_stop()

    async def async_publish(self, settings: object) -> Revision:
        """Publish a settings file; raises ValueError if it cannot be split."""
        split = split_documents(settings)
        if isinstance(split, Err):
            raise ValueError("; ".join(map(str, split.err_value)))
        texts = {PREFIX + name: text for name, text in split.ok_value.items()}
        present = {name for name in self._items if name.startswith(PREFIX)}
        changes: dict[str, bytes | None] = dict.fromkeys(present - texts.keys())
        for name, text in texts.items():
            known = self._items.get(name)
            if known is None or known[1] != text.encode():
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
            event = _item(key, self._revision, value)
        self._events.append(event)

    def compact(self) -> None:
        """Forget the history."""
        self._events.clear()
        self._history_after = self._revision

    async def async_set_mode(self, mode: StoreMode) -> None:
        """Switch a fault on or off."""
        self._mode = mode
        async with self._changed:
            self._changed.notify_all()

    async def _async_handle(self, request: SimpleRequest) -> SimpleResponse:
        if request.path.startswith("/operators/"):
            return await self._async_operate(request)
        self._calls += 1
        if self._mode is not StoreMode.OK:
            return await self._async_fail()
        query = {k: v[0] for k, v in parse_qs(urlsplit(request.target).query).items()}
        if request.path == names.KV_RANGE:
            return self._page(query)
        if request.path == names.KV_WATCH:
            return await self._async_watch(query)
        return SimpleResponse(404, b"{}")

    async def _async_fail(self) -> SimpleResponse:
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

    def _page(self, query: dict[str, str]) -> SimpleResponse:
        prefix, after = query.get(names.PATH_PREFIX, ""), query.get(names.AFTER, "")
        keys = sorted(k for k in self._items if k.startswith(prefix) and k > after)
        items = [_item(key, *self._items[key]) for key in keys[:PAGE_ITEMS]]
        return _json(
            {
                names.ITEMS: items,
                names.HAS_MORE: len(keys) > PAGE_ITEMS,
                names.STORE_REVISION: self._revision,
            }
        )

    async def _async_watch(self, query: dict[str, str]) -> SimpleResponse:
        after = int(query.get(names.AFTER, "0"))
        wait = int(query.get(names.WAIT_MS, "1000")) / 1000
        prefix = query.get(names.PATH_PREFIX, "")
        if after < self._history_after:
            return SimpleResponse(names.HISTORY_GONE_STATUS, b"{}")
        try:
            async with asyncio.timeout(wait), self._changed:
                await self._changed.wait_for(lambda: self._watch_ends(after, prefix))
        except TimeoutError:
            pass
        if self._mode is not StoreMode.OK:
            raise AbortConnectionError
        events = self._events_after(after, prefix)
        return _json({names.EVENTS: events, names.STORE_REVISION: self._revision})

    def _watch_ends(self, after: int, prefix: str) -> bool:
        found = bool(self._events_after(after, prefix))
        return found or self._mode is not StoreMode.OK

    def _events_after(self, after: int, prefix: str) -> list[dict[str, object]]:
        return [
            event
            for event in self._events
            if int(str(event[names.REVISION])) > after
            and str(event[names.KEY]).startswith(prefix)
        ]

    async def _async_operate(self, request: SimpleRequest) -> SimpleResponse:
        if request.path == "/operators/settings" and request.method == "PUT":
            try:
                revision = await self.async_publish(orjson.loads(request.body))
            except ValueError as error:
                return SimpleResponse(400, f"{error}\n".encode())
            return _json({"revision": revision})
        if request.path == "/operators/settings":
            return _json(self._merged())
        if request.path == "/operators/mode" and request.method == "POST":
            query = parse_qs(urlsplit(request.target).query)
            try:
                mode = StoreMode(query.get("name", [""])[0])
            except ValueError:
                modes = ", ".join(StoreMode)
                return SimpleResponse(400, f"name must be one of {modes}\n".encode())
            await self.async_set_mode(mode)
            return _json({"mode": mode})
        return _json({"calls": self._calls, "revision": self._revision})

    def _merged(self) -> dict[str, object]:
        """Return the published documents as one settings file."""
        merged: dict[str, dict[str, object]] = {"services": {}, "workspaces": {}}
        result: dict[str, object] = dict(merged)
        for key, (_, text) in self._items.items():
            if not key.startswith(PREFIX):
                continue
            value = orjson.loads(text)
            kind, _, rest = key.removeprefix(PREFIX).partition("/")
            if kind == "services":
                merged["services"][rest] = value
            elif kind == "workspaces":
                merged["workspaces"].update(value)
            else:
                result.update(value)
        return result


def _item(key: str, revision: Revision, value: bytes) -> dict[str, object]:
    return {
        names.KEY: key,
        names.VALUE: base64.b64encode(value).decode(),
        names.REVISION: revision,
    }


def _json(value: object) -> SimpleResponse:
    headers = {"Content-Type": "application/json"}
    return SimpleResponse(200, orjson.dumps(value), headers)
