"""Counts over a sliding window of seconds."""

from collections import Counter, deque

from catkinspan.coordination.metrics.models import ResultCategory, ResultCounts


class RecentCounts:
    """Counts request results by category in buckets of one second."""

    def __init__(self, span: int) -> None:
        self._span = span
        self._buckets: deque[tuple[int, Counter[ResultCategory]]] = deque()
        self._total: Counter[ResultCategory] = Counter()
        """Sum of all buckets, so that a report does not add them up."""

    def count(self, category: ResultCategory, now: float) -> None:
        """Count one request."""
        second = int(now)
        if not self._buckets or self._buckets[-1][0] != second:
            self._trim(now)
            self._buckets.append((second, Counter()))
        self._buckets[-1][1][category] += 1
        self._total[category] += 1

    def counts(self, now: float) -> ResultCounts:
        """Return the counts of the whole span."""
        self._trim(now)
        return ResultCounts(dict(self._total), self._span)

    def latest(self, seconds: int, now: float) -> ResultCounts:
        """Return the counts of the last `seconds`."""
        total: Counter[ResultCategory] = Counter()
        for second, counts in reversed(self._buckets):
            if second <= now - seconds:
                break
            total.update(counts)
        return ResultCounts(dict(total), seconds)

    def is_idle(self, seconds: float, now: float) -> bool:
        """Return whether nothing was counted for `seconds`."""
        return not self._buckets or self._buckets[-1][0] < now - seconds

    def _trim(self, now: float) -> None:
        while self._buckets and self._buckets[0][0] <= now - self._span:
            _, counts = self._buckets.popleft()
            self._total.subtract(counts)
