"""The running attempts of one request."""

from collections.abc import Iterable

from catkinspan.coordination.outcomes import AttemptOutcome
from catkinspan.transport.callers.response import RunningAttempt


class RunningAttempts:
    """The running attempts of one request, owned by its exchange.

    Once a response is forwarded, its attempt is the committed one.
    """

    def __init__(self) -> None:
        self._running: dict[int, RunningAttempt] = {}
        self._started_count = 0
        self._committed: int | None = None

    @property
    def started_count(self) -> int:
        """Return the number of attempts that were started."""
        return self._started_count

    @property
    def is_committed(self) -> bool:
        """Return whether a response is forwarded."""
        return self._committed is not None

    @property
    def committed(self) -> RunningAttempt | None:
        """Return the running attempt whose response is forwarded."""
        return None if self._committed is None else self._running.get(self._committed)

    def __len__(self) -> int:
        return len(self._running)

    def get(self, number: int) -> RunningAttempt | None:
        """Return an attempt; None if it has ended."""
        return self._running.get(number)

    def add(self, number: int, running: RunningAttempt) -> None:
        """Add an attempt that was started."""
        self._running[number] = running
        self._started_count += 1

    def remove(self, number: int) -> None:
        """Remove an attempt that has ended."""
        del self._running[number]

    def is_committed_to(self, number: int) -> bool:
        """Return whether the response of an attempt is forwarded."""
        return self._committed == number

    def commit(self, number: int) -> list[AttemptOutcome]:
        """Keep one attempt and cancel the others.

        Return the outcomes of those whose outcome was not reported.
        """
        self._committed = number
        others = [n for n in self._running if n != number]
        unreported = [
            self._running[n] for n in others if not self._running[n].outcome_reported
        ]
        for other in others:
            self.cancel(other)
        return [running.cancelled_outcome() for running in unreported]

    def cancel(self, number: int) -> None:
        """Cancel an attempt unless it has ended."""
        running = self._running.pop(number, None)
        if running is not None:
            running.task.cancel()

    def cancel_all(self) -> None:
        """Cancel all attempts."""
        for number in list(self._running):
            self.cancel(number)

    def buffer_deadlines(self) -> Iterable[float]:
        """Return when the buffered responses are forwarded, if none is yet."""
        if self.is_committed:
            return ()
        return [
            running.buffer_deadline
            for running in self._running.values()
            if running.response is not None
        ]

    def first_to_forward(self, now: float) -> int | None:
        """Return the attempt whose buffered response is forwarded now, if any."""
        if self.is_committed:
            return None
        for number, running in self._running.items():
            is_buffering = running.response is not None and not running.outcome_reported
            if is_buffering and now >= running.buffer_deadline:
                return number
        return None
