"""Recent refusals of each workspace, for operators."""

from collections import deque

from catkinspan.state.ids import WorkspaceId


class RefusalCounter:
    """Counts refusals within a span, in buckets of a second."""

    def __init__(self, span: float) -> None:
        self._span = span
        self._counts: dict[WorkspaceId, deque[list[int]]] = {}

    def count(self, workspace: WorkspaceId, now: float) -> None:
        """Count one refusal."""
        seconds = self._counts.setdefault(workspace, deque())
        if seconds and seconds[-1][0] == int(now):
            seconds[-1][1] += 1
        else:
            seconds.append([int(now), 1])
            self._trim(seconds, now)

    def recent(self, workspace: WorkspaceId, now: float) -> int:
        """Return the refusals within the span."""
        seconds = self._counts.get(workspace, deque())
        return sum(n for second, n in seconds if second >= now - self._span)

    def names(self, now: float) -> list[WorkspaceId]:
        """Return the workspaces with recent refusals."""
        return [name for name in self._counts if self.recent(name, now)]

    def forget_old(self, now: float) -> None:
        """Forget refusals before the span."""
        for name, seconds in list(self._counts.items()):
            self._trim(seconds, now)
            if not seconds:
                del self._counts[name]

    def _trim(self, seconds: deque[list[int]], now: float) -> None:
        while seconds and seconds[0][0] < now - self._span:
            seconds.popleft()
