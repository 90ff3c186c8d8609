"""Inboxes of tasks: first in, first out, bounded by their users."""

import asyncio
from collections import deque
from typing import Generic, TypeVar

from attrs import frozen

M = TypeVar("M")


@frozen
class InboxFullError(Exception):
    """An inbox holds as many messages as it may."""

    limit: int

    def __str__(self) -> str:
        """Return the message with its remedy."""
        return f"inbox holds {self.limit} messages; send fewer or wait for replies"


def _wake(reader: "asyncio.Future[None]") -> None:
    if not reader.done():
        reader.set_result(None)


class Mailbox(Generic[M]):
    """A bounded inbox that one task reads and others post to.

    `post` raises `InboxFullError` at the limit. `async_post` waits for room instead;
    it serves streams of data, where waiting is the back-pressure. `force` ignores the
    limit and serves replies, whose number is bounded by the requests that ask for
    them.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._messages: deque[M] = deque()
        self._reader: asyncio.Future[None] | None = None
        self._writers: deque[asyncio.Future[None]] = deque()

    def __len__(self) -> int:
        return len(self._messages)

    def post(self, message: M) -> None:
        """Add a message, or raise `InboxFullError`."""
        if len(self._messages) >= self._limit:
            raise InboxFullError(self._limit)
        self.force(message)

    def force(self, message: M) -> None:
        """Add a message whatever the limit."""
        self._messages.append(message)
        if self._reader is not None and not self._reader.done():
            self._reader.set_result(None)

    async def async_post(self, message: M) -> None:
        """Add a message as soon as there is room."""
        while len(self._messages) >= self._limit:
            writer = asyncio.get_running_loop().create_future()
            self._writers.append(writer)
            await writer
        self.force(message)

    async def async_get(self) -> M:
        """Return the next message."""
        while not self._messages:
            self._reader = asyncio.get_running_loop().create_future()
            try:
                await self._reader
            finally:
                self._reader = None
        return self.take()

    async def async_get_until(self, when: float) -> M | None:
        """Return the next message, or None at a time on the loop's clock."""
        if self._messages:
            return self.take()
        # A timer on the reader's future costs a third of asyncio.timeout_at, and
        # this runs several times in each request.
        loop = asyncio.get_running_loop()
        reader = self._reader = loop.create_future()
        timer = loop.call_at(when, _wake, reader)
        try:
            await reader
        finally:
            self._reader = None
            timer.cancel()
        return self.take() if self._messages else None

    def take(self) -> M:
        """Return the next message at once; raises IndexError if there is none."""
        message = self._messages.popleft()
        while self._writers:
            writer = self._writers.popleft()
            if not writer.done():
                writer.set_result(None)
                break
        return message
