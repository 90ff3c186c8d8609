"""Recent revisions as patches, for peers that are a little behind."""

from collections import deque

from attrs import frozen

from catkinspan.coordination.configuration.const import (
    HISTORY_REVISIONS,
    MAX_PATCH_CHARS,
)
from catkinspan.coordination.configuration.models import Patch, PatchSet
from catkinspan.state.ids import Revision


@frozen
class _Step:
    base: Revision
    revision: Revision
    patches: tuple[Patch, ...]
    chars: int


class History:
    """A bounded chain of accepted revisions."""

    def __init__(self) -> None:
        self._steps: deque[_Step] = deque(maxlen=HISTORY_REVISIONS)

    def record(
        self, base: Revision, revision: Revision, patches: tuple[Patch, ...]
    ) -> None:
        """Append an accepted revision; a large one breaks the chain."""
        chars = sum(len(patch.text) + len(patch.name) for patch in patches)
        if chars > MAX_PATCH_CHARS:
            self._steps.clear()
            return
        self._steps.append(_Step(base, revision, patches, chars))

    def since(self, have: Revision) -> PatchSet | None:
        """Return the patches after a revision if they are known and small."""
        steps: list[_Step] = []
        chars = 0
        for step in reversed(self._steps):
            if step.revision <= have:
                break
            steps.append(step)
            chars += step.chars
            if chars > MAX_PATCH_CHARS:
                return None
        if not steps or steps[-1].base > have:
            return None
        patches = tuple(patch for step in reversed(steps) for patch in step.patches)
        return PatchSet(steps[-1].base, steps[0].revision, patches)
