"""Queues of reports for groups of peers, within byte budgets."""

from collections import deque
from collections.abc import Iterable

from attrs import define, field

from catkinspan.coordination.budget import ByteBudget
from catkinspan.coordination.quarantine.const import (
    MAX_QUEUED_REPORTS,
    MAX_REPORTS_PER_MESSAGE,
    MESSAGE_BYTES,
    MESSAGE_INTERVAL_SECONDS,
    REPORT_BYTES,
    REPORT_ROUNDS,
)
from catkinspan.coordination.quarantine.models import Crash, CrashNews, Success
from catkinspan.state.ids import HostId

Item = Crash | Success


def news_size(reports: int, receivers: int) -> int:
    """Return the bytes of a message with a number of reports to all receivers."""
    return (MESSAGE_BYTES + REPORT_BYTES * reports) * receivers


@define
class _SentItem:
    item: Item
    rounds_left: int


class ReportQueue:
    """Reports that a group of peers is to get, each in several rounds.

    Reports that were not sent yet go before repeated ones, the newest first, so that
    none waits behind the reports of earlier failures.
    """

    def __init__(self, budget: ByteBudget, rounds: int = REPORT_ROUNDS) -> None:
        self._budget = budget
        self._rounds = rounds
        self._new: deque[Item] = deque(maxlen=MAX_QUEUED_REPORTS)
        self._sent: deque[_SentItem] = deque(maxlen=MAX_QUEUED_REPORTS)

    def add(self, item: Item) -> None:
        """Add a report; the oldest one is dropped if the queue is full."""
        self._new.append(item)

    def take(
        self, receivers: int, limit: int, with_repeats: bool, now: float
    ) -> list[Item]:
        """Return the reports to send now, and charge the budget."""
        if receivers == 0:
            self._new.clear()
            self._sent.clear()
        has_some = self._new or (with_repeats and self._sent)
        if not has_some or not self._budget.is_available(now):
            return []
        room = min(limit, self._room(receivers))
        taken: list[_SentItem] = []
        while self._new and len(taken) < room:
            taken.append(_SentItem(self._new.pop(), self._rounds))
        while with_repeats and self._sent and len(taken) < room:
            taken.append(self._sent.popleft())
        if not taken:
            return []
        self._budget.charge(news_size(len(taken), receivers), now)
        for sent in taken:
            sent.rounds_left -= 1
            if sent.rounds_left > 0:
                self._sent.append(sent)
        return [sent.item for sent in taken]

    def _room(self, receivers: int) -> int:
        """Return the reports for which the budget pays at the intended interval."""
        size = self._budget.bytes_per_second * MESSAGE_INTERVAL_SECONDS
        return max(1, int((size / max(1, receivers) - MESSAGE_BYTES) / REPORT_BYTES))


@define
class ReportChannel:
    """Reports for one group of peers; urgent ones have a budget of their own."""

    urgent: ReportQueue
    other: ReportQueue
    hosts: tuple[HostId, ...] = ()
    """Peers that get the urgent reports."""

    informed_of_all: frozenset[HostId] = field(factory=frozenset)
    """Those of them that get all reports."""

    def set_hosts(
        self, hosts: Iterable[HostId], informed_of_all: Iterable[HostId]
    ) -> None:
        """Replace the peers."""
        self.hosts = tuple(sorted(hosts))
        self.informed_of_all = frozenset(informed_of_all) & set(self.hosts)

    def take_messages(
        self, with_repeats: bool, now: float
    ) -> list[tuple[HostId, CrashNews]]:
        """Return the message for each peer that is due one."""
        limit = MAX_REPORTS_PER_MESSAGE
        urgent = self.urgent.take(len(self.hosts), limit, with_repeats, now)
        limit -= len(urgent)
        other = self.other.take(len(self.informed_of_all), limit, with_repeats, now)
        if not (urgent or other):
            return []
        some, everything = _news(urgent, now), _news([*urgent, *other], now)
        return [
            (host, everything if host in self.informed_of_all else some)
            for host in self.hosts
            if urgent or host in self.informed_of_all
        ]


def _news(items: Iterable[Item], now: float) -> CrashNews:
    unique = list(dict.fromkeys(items))
    return CrashNews(
        tuple(item.report(now) for item in unique if isinstance(item, Crash)),
        tuple(item.clearance(now) for item in unique if isinstance(item, Success)),
    )
