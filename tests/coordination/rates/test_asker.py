"""Guards against granted tokens that are used late or twice, and endless waits."""

from catkinspan.coordination.outbox import Outbox
from catkinspan.coordination.rates.asker import Asker
from catkinspan.coordination.rates.const import MAX_WAITING
from catkinspan.coordination.rates.models import (
    GrantEntry,
    RateSettled,
    RateVerdict,
    TokenAsk,
    TokenGrant,
)
from catkinspan.state.ids import RequestId
from tests.coordination.rates.support import LIFE, SHOP, A


class Entry:
    """An asker whose grants the test makes by hand."""

    def __init__(self) -> None:
        self.outbox = Outbox()
        self.asker = Asker(LIFE, self.outbox)

    def take(self, name: str, now: float) -> RateVerdict:
        if self.asker.take_held(A, SHOP, now):
            return RateVerdict.ADMITTED
        return self.asker.wait(RequestId(name), A, SHOP, now)

    def last_ask(self) -> TokenAsk:
        messages = [e.message for e in self.outbox.take_envelopes()]
        assert isinstance(messages[-1], TokenAsk)
        return messages[-1]

    def grant(self, sequence: int, now: float, *numbers: int) -> None:
        grant = TokenGrant(sequence, (GrantEntry(*numbers),))
        self.asker.handle_grant(grant, A, now)


def test_grant_settles_the_waiting_requests_once() -> None:
    entry = Entry()
    assert entry.take("r1", 1.0) is RateVerdict.PENDING
    first = entry.last_ask()
    entry.grant(first.sequence, 1.004, 1)
    entry.grant(first.sequence, 1.005, 1)
    assert entry.asker.take_settled() == [RateSettled(RequestId("r1"), True)]
    assert entry.take("r2", 1.006) is RateVerdict.PENDING


def test_grant_after_its_life_is_worthless() -> None:
    entry = Entry()
    entry.take("r1", 1.0)
    entry.grant(entry.last_ask().sequence, 1.2, 1)
    assert entry.asker.take_settled() == []
    entry.asker.tick(1.2)
    assert entry.asker.take_settled() == [RateSettled(RequestId("r1"), False)]


def test_grant_of_an_earlier_ask_is_void() -> None:
    entry = Entry()
    entry.take("r1", 1.0)
    first = entry.last_ask()
    entry.asker.tick(1.1)
    entry.take("r2", 1.11)
    entry.grant(first.sequence, 1.12, 5)
    assert entry.asker.pocket(A, SHOP) is not None
    assert not entry.asker.take_held(A, SHOP, 1.12)


def test_forgotten_pocket_claims_no_earlier_grant_as_unused() -> None:
    entry = Entry()
    entry.take("r1", 1.0)
    first = entry.last_ask()
    entry.grant(first.sequence, 1.004, 1, 8)
    entry.asker.clear()
    entry.take("r2", 1.1)
    ask = entry.last_ask()
    assert ask.sequence - ask.entries[0].taken_ago >= first.sequence


def test_unused_tokens_are_dropped_before_they_are_returned() -> None:
    entry = Entry()
    entry.take("r1", 1.0)
    entry.grant(entry.last_ask().sequence, 1.004, 1, 8)
    entry.asker.tick(2.4)
    report = entry.last_ask().entries[0]
    assert (report.returned, report.held) == (8, 0)
    assert not entry.asker.take_held(A, SHOP, 2.41)


def test_wait_and_queue_are_bounded() -> None:
    entry = Entry()
    verdicts = [entry.take(f"r{n}", 1.0) for n in range(MAX_WAITING + 5)]
    assert verdicts.count(RateVerdict.REFUSED) == 5
    entry.asker.tick(1.11)
    assert len(entry.asker.take_settled()) == MAX_WAITING


def test_refusal_holds_further_asks_back() -> None:
    entry = Entry()
    entry.take("r1", 1.0)
    entry.grant(entry.last_ask().sequence, 1.004, 0, 0, 100)
    assert entry.asker.take_settled() == [RateSettled(RequestId("r1"), False)]
    assert entry.asker.take_refused() == [SHOP]
    assert entry.take("r2", 1.05) is RateVerdict.REFUSED
    assert entry.take("r3", 1.11) is RateVerdict.PENDING


def test_cancelled_request_is_not_settled() -> None:
    entry = Entry()
    entry.take("r1", 1.0)
    entry.asker.cancel(RequestId("r1"))
    entry.grant(entry.last_ask().sequence, 1.004, 1)
    assert entry.asker.take_settled() == []
