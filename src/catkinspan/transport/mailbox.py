"""Bounded first-in, first-out inboxes of tasks."""

import asyncio
from collections import deque
from typing import Generic, TypeVar

from attrs import frozen

M = TypeVar("M")


@frozen
class InboxFullError(Exception):
    """An inbox has reached its limit of messages."""

    limit: int

    def __str__(self) -> str:
        """Return the error with its remedy."""
        return f"inbox holds {self.limit} messages; send fewer or wait for replies"


def _resolve(waiter: "asyncio.Future[None]") -> None:
    if not waiter.done():
        waiter.set_result(None)


class Mailbox(Generic[M]):
    """A bounded inbox that one task reads and others post to.

    `post` raises `InboxFullError` at the limit. `async_post_until` waits for space
    instead, which applies back-pressure to streams of data. `post_unbounded` ignores
    the limit and is for replies, whose number is bounded by the requests that ask for
    them.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._messages: deque[M] = deque()
        self._waiting_reader: asyncio.Future[None] | None = None
        self._waiting_writers: deque[asyncio.Future[None]] = deque()

    def __len__(self) -> int:
        return len(self._messages)

    def post(self, message: M) -> None:
        """Add a message; raises `InboxFullError` at the limit."""
        if len(self._messages) >= self._limit:
            raise InboxFullError(self._limit)
        self.post_unbounded(message)

    def post_unbounded(self, message: M) -> None:
        """Add a message regardless of the limit."""
        self._messages.append(message)
        if self._waiting_reader is not None and not self._waiting_reader.done():
            self._waiting_reader.set_result(None)

    async def async_post_until(self, message: M, deadline: float) -> bool:
        """Wait until there is space, then add a message.

        Return False if there is none by `deadline` on the event loop's clock.
        """
        loop = asyncio.get_running_loop()
        while len(self._messages) >= self._limit:
            if loop.time() >= deadline:
                return False
            writer = loop.create_future()
            self._waiting_writers.append(writer)
            timer = loop.call_at(deadline, _resolve, writer)
            try:
                await writer
            finally:
                timer.cancel()
        self.post_unbounded(message)
        return True

    async def async_get(self) -> M:
        """Return the next message."""
        while not self._messages:
            self._waiting_reader = asyncio.get_running_loop().create_future()
            try:
                await self._waiting_reader
            finally:
                self._waiting_reader = None
        return self.get_nowait()

    async def async_get_until(self, deadline: float) -> M | None:
        """Return the next message, or None at `deadline` on the event loop's clock."""
        if self._messages:
            return self.get_nowait()
        # A timer on the future takes a third of the time of asyncio.timeout_at, and
        # this runs several times per request.
        loop = asyncio.get_running_loop()
        reader = self._waiting_reader = loop.create_future()
        timer = loop.call_at(deadline, _resolve, reader)
        try:
            await reader
        finally:
            self._waiting_reader = None
            timer.cancel()
        return self.get_nowait() if self._messages else None

    def get_nowait(self) -> M:
        """Return the next message at once; raises IndexError if there is none."""
        message = self._messages.popleft()
        while self._waiting_writers:
            writer = self._waiting_writers.popleft()
            if not writer.done():
                writer.set_result(None)
                break
        return message
