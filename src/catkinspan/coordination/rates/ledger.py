"""Tokens that a grantor has given away and that may be unspent."""

from collections import deque
from heapq import heappop, heappush
from math import inf

from attrs import define, field

from catkinspan.state.ids import HostId

Holder = tuple[HostId, int]
"""A host and its incarnation."""


@define
class Chunk:
    """Granted tokens with a common end of life."""

    amount: int
    expiry: float
    sequence: int


@define
class Ledger:
    """Unspent grants of one workspace, an upper bound for each holder.

    A holder spends the tokens that end first, so its reports are booked against
    those. Tokens count until their holder reports them spent or their life ends on
    the grantor's clock.
    """

    total: int = 0
    _accounts: dict[Holder, deque[Chunk]] = field(factory=dict)
    _expiries: list[tuple[float, Holder]] = field(factory=list)

    @property
    def holders(self) -> int:
        """Return the number of holders with unspent tokens."""
        return len(self._accounts)

    def by_host(self) -> dict[HostId, int]:
        """Return the unspent tokens of each host."""
        sums: dict[HostId, int] = {}
        for (host, _), chunks in self._accounts.items():
            sums[host] = sums.get(host, 0) + sum(chunk.amount for chunk in chunks)
        return sums

    def next_expiry(self) -> float:
        """Return when the next tokens may end."""
        return self._expiries[0][0] if self._expiries else inf

    def expire(self, now: float) -> None:
        """Forget tokens whose life has ended."""
        while self._expiries and self._expiries[0][0] <= now:
            _, holder = heappop(self._expiries)
            chunks = self._accounts.get(holder, deque())
            for chunk in [chunk for chunk in chunks if chunk.expiry <= now]:
                chunks.remove(chunk)
                self.total -= chunk.amount
            self._drop_empty(holder)

    def issue(self, holder: Holder, amount: int, expiry: float, sequence: int) -> None:
        """Book granted tokens."""
        if amount <= 0:
            return
        chunks = self._accounts.setdefault(holder, deque())
        chunks.append(Chunk(amount, expiry, sequence))
        heappush(self._expiries, (expiry, holder))
        self.total += amount

    def report(self, holder: Holder, held: int, accepted: int, returned: int) -> int:
        """Book a holder's report and return the tokens that come back unspent.

        Grants after the ask `accepted` are void, since an ask voids all earlier
        grants that have not been taken.
        """
        chunks = self._accounts.get(holder)
        if chunks is None:
            return 0
        back = 0
        for chunk in [chunk for chunk in chunks if chunk.sequence > accepted]:
            chunks.remove(chunk)
            back += chunk.amount
        self.total -= back
        gone = self._trim(chunks, held)
        self._drop_empty(holder)
        return back + min(returned, gone)

    def _trim(self, chunks: deque[Chunk], held: int) -> int:
        surplus = max(0, sum(chunk.amount for chunk in chunks) - held)
        left = surplus
        for chunk in sorted(chunks, key=lambda chunk: chunk.expiry):
            gone = min(left, chunk.amount)
            chunk.amount -= gone
            left -= gone
            if chunk.amount == 0:
                chunks.remove(chunk)
        self.total -= surplus
        return surplus

    def _drop_empty(self, holder: Holder) -> None:
        if not self._accounts.get(holder):
            self._accounts.pop(holder, None)
