"""The task that reads and watches the platform's configuration service."""

import asyncio
from random import Random
from typing import Any
from urllib.parse import quote

from attrs import frozen
from loguru import logger
from result import Err, Ok, Result

from catkinspan.coordination.configuration.const import WATCH_TIMEOUT_MS
from catkinspan.coordination.configuration.models import Document, Snapshot
from catkinspan.protocol.platform.documents import (
    Index,
    PlatformAnswerError,
    decode_document,
    decode_index,
    decode_watch,
)
from catkinspan.state.ids import NO_REVISION, Revision
from catkinspan.state.tree import Address
from catkinspan.transport.http_client import FetchError, async_fetch
from catkinspan.transport.mailbox import Mailbox

READ_SECONDS = 3.0
RETRY_MIN_SECONDS = 0.25
RETRY_MAX_SECONDS = 5.0
"""Longest wait between two calls to a failing service. 1,100 hosts that all lost
their peers would make 220 calls a second, below the limit of 2,000."""

CONSISTENT_TRIES = 5


@frozen
class StartReading:
    """Start to read and watch."""


@frozen
class StopReading:
    """Stop to read: other hosts of the data centre are the readers."""


@frozen
class ReadingOnce:
    """Read once, without a watch; without effect while the reader watches."""


@frozen
class PlatformReached:
    """The service answered with its revision."""

    revision: Revision


@frozen
class PlatformUpdate:
    """A newer configuration, read whole at one revision."""

    snapshot: Snapshot


ReaderMessage = StartReading | StopReading | ReadingOnce


class PlatformReader:
    """Reads changed documents and waits for the next change while it is told to.

    A change is read as index, documents, index; it starts over if the revision moved
    in between, so that an update never mixes two revisions.
    """

    def __init__(
        self,
        platform: Address,
        host: Mailbox[Any],
        inbox: Mailbox[ReaderMessage],
        rng: Random,
    ) -> None:
        self._platform = platform
        self._host = host
        self._rng = rng
        self._inbox = inbox
        self._active = False
        self._once = False
        self._documents: dict[str, Document] = {}
        self._revision = NO_REVISION
        self._failures = 0
        self._calls = 0

    @property
    def calls(self) -> int:
        """Return the number of calls made to the service."""
        return self._calls

    async def async_run(self) -> None:
        """Read and watch until cancelled."""
        while True:
            if not self._active and not self._once:
                self._apply(await self._inbox.async_get())
            while len(self._inbox):
                self._apply(self._inbox.take())
            if self._active or self._once:
                await self._async_round()

    def _apply(self, message: ReaderMessage) -> None:
        match message:
            case StartReading():
                self._active = True
                # A restarted coordinator has no configuration and needs all of it.
                self._revision = NO_REVISION
            case StopReading():
                self._active = False
            case ReadingOnce():
                self._once = True
                self._revision = NO_REVISION

    async def _async_round(self) -> None:
        watch = self._active
        self._once = False
        try:
            outcome = await self._async_update(watch)
        except FetchError as error:
            outcome = Err(PlatformAnswerError(str(error)))
        if isinstance(outcome, Ok):
            self._failures = 0
            return
        if not watch:
            return
        self._failures += 1
        logger.warning("platform read failed: {}", outcome.err_value)
        delay = min(RETRY_MAX_SECONDS, RETRY_MIN_SECONDS * 2**self._failures)
        await asyncio.sleep(delay * self._rng.uniform(0.5, 1.0))

    async def _async_update(self, watch: bool) -> Result[None, PlatformAnswerError]:
        index = await self._async_index()
        if isinstance(index, Err):
            return index
        if index.ok_value.revision > self._revision:
            read = await self._async_read(index.ok_value)
            if isinstance(read, Err):
                return read
        return await self._async_watch() if watch else Ok(None)

    async def _async_read(self, index: Index) -> Result[None, PlatformAnswerError]:
        for _ in range(CONSISTENT_TRIES):
            documents = await self._async_documents(index)
            if isinstance(documents, Err):
                return documents
            again = await self._async_index()
            if isinstance(again, Err):
                return again
            if again.ok_value.revision == index.revision:
                self._publish(index, documents.ok_value)
                return Ok(None)
            index = again.ok_value
        return Err(PlatformAnswerError("the revision moved during each reading"))

    async def _async_documents(
        self, index: Index
    ) -> Result[list[Document], PlatformAnswerError]:
        documents = []
        for name, revision in index.documents.items():
            known = self._documents.get(name)
            if known is not None and known.revision == revision:
                documents.append(known)
                continue
            target = f"/v1/documents/{quote(name, safe='')}"
            document = decode_document(await self._async_get(target, READ_SECONDS))
            if isinstance(document, Err):
                return document
            if document.ok_value.name != name:
                reason = f"asked for document {name!r:.60}, got another"
                return Err(PlatformAnswerError(reason))
            documents.append(document.ok_value)
        return Ok(documents)

    def _publish(self, index: Index, documents: list[Document]) -> None:
        self._documents = {document.name: document for document in documents}
        self._revision = index.revision
        self._host.force(PlatformUpdate(Snapshot(index.revision, tuple(documents))))

    async def _async_watch(self) -> Result[None, PlatformAnswerError]:
        target = f"/v1/watch?after={self._revision}&timeout_ms={WATCH_TIMEOUT_MS}"
        answer = decode_watch(
            await self._async_get(target, WATCH_TIMEOUT_MS / 1000 + READ_SECONDS)
        )
        return answer.map(self._reached)

    async def _async_index(self) -> Result[Index, PlatformAnswerError]:
        index = decode_index(await self._async_get("/v1/index", READ_SECONDS))
        if isinstance(index, Ok):
            self._reached(index.ok_value.revision)
        return index

    def _reached(self, revision: Revision) -> None:
        self._host.force(PlatformReached(revision))

    async def _async_get(self, target: str, timeout: float) -> bytes:
        self._calls += 1
        answer = await async_fetch(self._platform, target, timeout)
        if answer.status != 200:
            raise FetchError(f"the platform answered {answer.status}; try again later")
        return answer.body
