"""The task that reads and watches the store while the host is a reader."""

import asyncio
from random import Random
from typing import Any, Protocol

from attrs import frozen
from loguru import logger

from catkinspan.coordination.configuration.models import (
    StoreChanges,
    StoreSnapshot,
)
from catkinspan.state.ids import NO_REVISION, Revision
from catkinspan.transport.mailbox import Mailbox

RETRY_MIN_SECONDS = 0.15
RETRY_MAX_SECONDS = 1.2
"""Maximum delay between two calls to a failing store. A recovery of the store must be
noticed within two seconds."""

BATCH_SECONDS = 0.1
"""Delay between received changes and the next watch. Each call has a cost, and changes
often come in groups."""


class StoreError(Exception):
    """A call to the store got no usable response; the message names the remedy."""


class HistoryCompactedError(StoreError):
    """The store no longer holds the changes after the requested revision."""


class StoreClient(Protocol):
    """Calls to the store; each raises StoreError without a usable response."""

    async def async_read_all(self) -> StoreSnapshot:
        """Read all documents, in pages between which the store may change."""

    async def async_watch(self, after: Revision) -> StoreChanges:
        """Wait for changes after a revision; empty if none arrive in time.

        Raises HistoryCompactedError if the store no longer holds these changes.
        """


@frozen
class StartReading:
    """Tells the reader to read and watch the store."""

    after: Revision = NO_REVISION
    """Revision after which to watch; without one, all documents are read first."""


@frozen
class StopReading:
    """Tells the reader to stop after the current call."""


@frozen
class StoreUnchanged:
    """The store responded without changes."""


@frozen
class StoreCallFailed:
    """A call to the store got no usable response."""


ReaderMessage = StartReading | StopReading


class StoreReader:
    """Reads all documents if none are known, then watches for changes."""

    def __init__(
        self,
        client: StoreClient,
        host: Mailbox[Any],
        inbox: Mailbox[ReaderMessage],
        rng: Random,
    ) -> None:
        self._client = client
        self._host = host
        self._inbox = inbox
        self._rng = rng
        self._active = False
        self._revision: Revision | None = None
        self._failures = 0

    async def async_run(self) -> None:
        """Read and watch until cancelled."""
        while True:
            if not self._active:
                self._apply(await self._inbox.async_get())
            while len(self._inbox):
                self._apply(self._inbox.get_nowait())
            if self._active:
                await self._async_poll()

    def _apply(self, message: ReaderMessage) -> None:
        self._active = isinstance(message, StartReading)
        self._revision = None
        if isinstance(message, StartReading) and message.after > NO_REVISION:
            self._revision = message.after

    async def _async_poll(self) -> None:
        try:
            changed = await self._async_call_store()
        except HistoryCompactedError as error:
            logger.info("reading all documents from the store again: {}", error)
            self._revision = None
            return
        except StoreError as error:
            await self._async_back_off(error)
            return
        except Exception as error:
            # Whatever the store holds, it must not end the process.
            logger.exception("unexpected error in a call to the store")
            await self._async_back_off(error)
            return
        if self._failures:
            logger.info(
                "store is reachable again after {} failed calls", self._failures
            )
        self._failures = 0
        if changed:
            await asyncio.sleep(BATCH_SECONDS)

    async def _async_call_store(self) -> bool:
        """Make one call to the store; return whether a watch returned changes."""
        if self._revision is None:
            snapshot = await self._async_read_snapshot()
            self._revision = snapshot.revision
            self._host.post_unbounded(snapshot)
            return False
        changes = await self._client.async_watch(self._revision)
        self._revision = changes.revision
        self._host.post_unbounded(changes if changes.documents else StoreUnchanged())
        return bool(changes.documents)

    async def _async_read_snapshot(self) -> StoreSnapshot:
        """Read all documents, and the changes made while they were read.

        A document that was removed in between would otherwise be missing in a copy of
        an earlier revision, so that hosts which follow would not hear of its removal.
        """
        snapshot = await self._client.async_read_all()
        if snapshot.is_consistent:
            return snapshot
        return snapshot.with_changes(await self._client.async_watch(snapshot.revision))

    async def _async_back_off(self, error: Exception) -> None:
        self._failures += 1
        self._host.post_unbounded(StoreCallFailed())
        logger.warning("store call failed ({} in a row): {}", self._failures, error)
        delay = min(RETRY_MAX_SECONDS, RETRY_MIN_SECONDS * 2.0 ** (self._failures - 1))
        await asyncio.sleep(delay * self._rng.uniform(0.6, 1.0))
