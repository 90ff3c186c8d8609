"""A stand-in for the platform's configuration service.

It serves the read-and-watch interface, and an operators' interface that real services
have elsewhere: ``PUT /operators/settings`` publishes a settings file, ``POST
/operators/mode?name=MODE`` switches a fault on (``ok``, ``down``, ``stale``,
``nonsense``).
"""

import asyncio
from enum import StrEnum
from urllib.parse import parse_qs, unquote, urlsplit

import orjson
from result import Err

from catkinspan.coordination.configuration.models import Document
from catkinspan.protocol.settings.tree import split_documents
from catkinspan.state.ids import NO_REVISION, Revision
from catkinspan.state.tree import Address
from catkinspan.transport.simple_server import (
    CutConnectionError,
    SimpleRequest,
    SimpleResponse,
    SimpleServer,
)

MAX_DOCUMENT_BYTES = 1_000_000


class PlatformMode(StrEnum):
    """What the stand-in does with reads."""

    OK = "ok"
    DOWN = "down"
    STALE = "stale"
    """Reads see the revision at which this mode began."""

    NONSENSE = "nonsense"


class StandinPlatform:
    """Holds versioned documents and counts the calls it gets."""

    def __init__(self) -> None:
        self._documents: dict[str, Document] = {}
        self._stale: tuple[Revision, dict[str, Document]] | None = None
        self._revision = NO_REVISION
        self._changed = asyncio.Condition()
        self._mode = PlatformMode.OK
        self._calls = 0
        self._server = SimpleServer(self._async_handle)

    @property
    def calls(self) -> int:
        """Return the number of calls so far; a waiting watch counts as one."""
        return self._calls

    @property
    def revision(self) -> Revision:
        """Return the published revision."""
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
        return await self.async_publish_documents(split.ok_value)

    async def async_publish_documents(self, texts: dict[str, str]) -> Revision:
        """Publish documents; only those with a new text get a new revision."""
        revision = Revision(self._revision + 1)
        documents = dict(self._documents)
        for name, text in texts.items():
            if len(text.encode()) > MAX_DOCUMENT_BYTES:
                raise ValueError(f"{name} is over 1 MB; split it")
            known = documents.get(name)
            if known is None or known.text != text:
                documents[name] = Document(name, revision, text)
        for name in set(documents) - set(texts):
            del documents[name]
        async with self._changed:
            self._documents = documents
            self._revision = revision
            self._changed.notify_all()
        return revision

    async def async_set_mode(self, mode: PlatformMode) -> None:
        """Switch a fault on or off."""
        self._stale = (self._revision, self._documents)
        self._mode = mode
        async with self._changed:
            self._changed.notify_all()

    def _state(self) -> tuple[Revision, dict[str, Document]]:
        if self._mode is PlatformMode.STALE and self._stale is not None:
            return self._stale
        return self._revision, self._documents

    async def _async_handle(self, request: SimpleRequest) -> SimpleResponse:
        if request.path.startswith("/operators/"):
            return await self._async_operate(request)
        self._calls += 1
        if self._mode is PlatformMode.DOWN:
            raise CutConnectionError
        if self._mode is PlatformMode.NONSENSE:
            return SimpleResponse(200, b'{"revision": "nonsense"}')
        if request.path == "/v1/index":
            return self._index()
        if request.path.startswith("/v1/documents/"):
            return self._document(unquote(request.path.removeprefix("/v1/documents/")))
        if request.path == "/v1/watch":
            return await self._async_watch(request)
        return SimpleResponse(404, b"{}")

    def _index(self) -> SimpleResponse:
        revision, documents = self._state()
        revisions = {name: doc.revision for name, doc in documents.items()}
        return _json({"revision": revision, "documents": revisions})

    def _document(self, name: str) -> SimpleResponse:
        document = self._state()[1].get(name)
        if document is None:
            return SimpleResponse(404, b"{}")
        return _json(
            {"name": name, "revision": document.revision, "text": document.text}
        )

    async def _async_watch(self, request: SimpleRequest) -> SimpleResponse:
        query = parse_qs(urlsplit(request.target).query)
        after = int(query.get("after", ["0"])[0])
        timeout = int(query.get("timeout_ms", ["10000"])[0]) / 1000
        try:
            async with asyncio.timeout(timeout), self._changed:
                await self._changed.wait_for(lambda: self._watch_ends(after))
        except TimeoutError:
            pass
        if self._mode is PlatformMode.DOWN:
            raise CutConnectionError
        return _json({"revision": self._state()[0]})

    def _watch_ends(self, after: int) -> bool:
        return self._state()[0] > after or self._mode is PlatformMode.DOWN

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
                mode = PlatformMode(query.get("name", [""])[0])
            except ValueError:
                modes = ", ".join(PlatformMode)
                return SimpleResponse(400, f"name must be one of {modes}\n".encode())
            await self.async_set_mode(mode)
            return _json({"mode": mode})
        return _json({"calls": self._calls, "revision": self._revision})

    def _merged(self) -> dict[str, object]:
        """Return the published documents as one settings file."""
        merged: dict[str, dict[str, object]] = {"services": {}, "workspaces": {}}
        result: dict[str, object] = dict(merged)
        for name, document in self._documents.items():
            value = orjson.loads(document.text)
            kind, _, rest = name.partition("/")
            if kind == "services":
                merged["services"][rest] = value
            elif kind == "workspaces":
                merged["workspaces"].update(value)
            else:
                result.update(value)
        return result


def _json(value: object) -> SimpleResponse:
    headers = {"Content-Type": "application/json"}
    return SimpleResponse(200, orjson.dumps(value), headers)
