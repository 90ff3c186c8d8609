"""The promises that a holder gave."""

from collections import Counter, OrderedDict

from attrs import define

from catkinspan.coordination.claims.const import (
    MAX_PROMISES,
    MAX_PROMISES_PER_WORKSPACE,
    PROMISE_SECONDS,
)
from catkinspan.coordination.claims.models import ClaimOwner, Ran
from catkinspan.state.ids import WorkspaceId


@define
class Promise:
    """One claim, promised to one request."""

    owner: ClaimOwner
    workspace: WorkspaceId
    request_digest: bytes
    expires: float
    ended: bool = False


class PromiseTable:
    """Promises by claim digest, at most one for each claim.

    A promise is never evicted before it expires: a full table refuses new ones.
    Promises are kept in the order of their expiry.
    """

    def __init__(self) -> None:
        self._promises: OrderedDict[bytes, Promise] = OrderedDict()
        self._by_workspace: Counter[WorkspaceId] = Counter()

    def __len__(self) -> int:
        """Return the number of promises."""
        return len(self._promises)

    def held(self, digest: bytes, now: float) -> Promise | None:
        """Return the promise for a claim."""
        self.expire(now)
        return self._promises.get(digest)

    def expire(self, now: float) -> None:
        """Forget the promises whose time is over."""
        while self._promises:
            digest, promise = next(iter(self._promises.items()))
            if promise.expires > now:
                return
            self._remove(digest)

    def promise(
        self,
        digest: bytes,
        owner: ClaimOwner,
        workspace: WorkspaceId,
        request_digest: bytes,
        now: float,
    ) -> bool:
        """Promise a claim that no other owner holds, or renew the promise.

        Returns whether there was room.
        """
        held = self.held(digest, now)
        if held is not None:
            held.expires = now + PROMISE_SECONDS
            self._promises.move_to_end(digest)
            return True
        if len(self._promises) >= MAX_PROMISES:
            return False
        if self._by_workspace[workspace] >= MAX_PROMISES_PER_WORKSPACE:
            return False
        expires = now + PROMISE_SECONDS
        self._promises[digest] = Promise(owner, workspace, request_digest, expires)
        self._by_workspace[workspace] += 1
        return True

    def finish(self, digest: bytes, owner: ClaimOwner, ran: Ran) -> None:
        """Release the promise to an owner, or note the end of its request."""
        held = self._promises.get(digest)
        if held is None or held.owner != owner:
            return
        if ran is Ran.NO:
            self._remove(digest)
        else:
            held.ended = True

    def _remove(self, digest: bytes) -> None:
        workspace = self._promises.pop(digest).workspace
        self._by_workspace[workspace] -= 1
        if not self._by_workspace[workspace]:
            del self._by_workspace[workspace]
