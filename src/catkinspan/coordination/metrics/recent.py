"""Counts over the last seconds."""

from collections import Counter, deque

from catkinspan.coordination.metrics.models import ResultCategory, ResultCounts


class RecentCounts:
    """Counts ends of requests in buckets of a second."""

    def __init__(self, span: int) -> None:
        self._span = span
        self._seconds: deque[tuple[int, Counter[ResultCategory]]] = deque()
        self._total: Counter[ResultCategory] = Counter()
        """Sum of all seconds held, so that a report need not add them up."""

    def count(self, ending: ResultCategory, now: float) -> None:
        """Count one request."""
        second = int(now)
        if not self._seconds or self._seconds[-1][0] != second:
            self._trim(now)
            self._seconds.append((second, Counter()))
        self._seconds[-1][1][ending] += 1
        self._total[ending] += 1

    def counts(self, now: float) -> ResultCounts:
        """Return the counts of the span."""
        self._trim(now)
        return ResultCounts(dict(self._total), self._span)

    def latest(self, seconds: int, now: float) -> ResultCounts:
        """Return the counts of the last few seconds."""
        total: Counter[ResultCategory] = Counter()
        for second, counts in reversed(self._seconds):
            if second <= now - seconds:
                break
            total.update(counts)
        return ResultCounts(dict(total), seconds)

    def is_idle(self, seconds: float, now: float) -> bool:
        """Return whether nothing was counted for a time."""
        return not self._seconds or self._seconds[-1][0] < now - seconds

    def _trim(self, now: float) -> None:
        while self._seconds and self._seconds[0][0] <= now - self._span:
            _, counts = self._seconds.popleft()
            self._total.subtract(counts)
