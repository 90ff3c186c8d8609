"""Guards the rules that single failures of claims depend on."""

from random import Random

import pytest
from bench._claims_fleet import START, Fleet, Send, make_claim, view_of

from catkinspan.coordination.claims.const import (
    ABSTAIN_SECONDS,
    HOLDERS,
    MAX_PROMISES_PER_WORKSPACE,
    PROMISE_SECONDS,
    WINDOW_SECONDS,
)
from catkinspan.coordination.claims.coordinator import (
    ClaimCoordinator,
    may_run_unclaimed,
)
from catkinspan.coordination.claims.errors import (
    AlreadyRan,
    AlreadyRunning,
    ClaimRefusal,
    KeyMisused,
    Undecided,
    UndecidedCause,
)
from catkinspan.coordination.claims.holders import HolderHistory, choose_holders
from catkinspan.coordination.claims.models import (
    Answer,
    ClaimAnswer,
    ClaimDecision,
    ClaimFinished,
    ClaimKey,
    ClaimOwner,
    ClaimRequest,
    Ran,
    claim_key,
)
from catkinspan.coordination.claims.promises import PromiseTable
from catkinspan.coordination.models import Origin
from catkinspan.coordination.outbox import Outbox
from catkinspan.state.ids import DataCentre, HostId, RequestId, RouteId, WorkspaceId
from catkinspan.state.policy import Policy
from catkinspan.testing.channel import FakeChannel

CLAIM = make_claim(1)


def make_fleet(count: int = 9, ran: Ran = Ran.YES, seconds: float = 1.0) -> Fleet:
    rng = Random(1)
    fleet = Fleet(rng, count, FakeChannel(rng))
    fleet.outcomes, fleet.run_seconds = (ran,), (seconds,)
    fleet.waits = (0.0,)
    return fleet


def send(fleet: Fleet, host: int, claim: ClaimKey = CLAIM, wait: float = 0.6) -> Send:
    sent = fleet.send(sorted(fleet.hosts)[host], claim)
    fleet.channel.run(fleet.channel.now + wait)
    return sent


def refusal_of(sent: Send) -> ClaimRefusal:
    assert sent.verdict is not None
    assert sent.verdict.refusal is not None
    return sent.verdict.refusal


def is_granted(sent: Send) -> bool:
    return sent.verdict is not None and sent.verdict.decision is ClaimDecision.GRANTED


def promises(fleet: Fleet) -> int:
    return sum(host.claims.promise_count for host in fleet.hosts.values())


@pytest.mark.parametrize("second", [0, 5])
def test_resend_learns_whether_the_first_still_runs(second: int) -> None:
    """Guards against a resend that runs beside or after the first, on any host."""
    fleet = make_fleet()
    assert is_granted(send(fleet, 0))
    assert isinstance(refusal_of(send(fleet, second)), AlreadyRunning)
    fleet.channel.run(START + 3.0)
    assert isinstance(refusal_of(send(fleet, second)), AlreadyRan)


def test_request_that_did_not_run_may_be_sent_again() -> None:
    """Guards against a claim that blocks the resend of a request that was shed."""
    fleet = make_fleet(ran=Ran.NO, seconds=0.02)
    assert is_granted(send(fleet, 0))
    assert promises(fleet) == 0
    assert is_granted(send(fleet, 5))


def test_other_request_under_the_same_key_is_a_misuse() -> None:
    """Guards against an answer that speaks of another request."""
    fleet = make_fleet()
    send(fleet, 0)
    other = ClaimKey(CLAIM.workspace, CLAIM.digest, b"another")
    assert isinstance(refusal_of(send(fleet, 0, other)), KeyMisused)
    assert isinstance(refusal_of(send(fleet, 5, other)), KeyMisused)


def test_key_is_free_after_the_window() -> None:
    """Guards against promises that are never forgotten."""
    fleet = make_fleet()
    send(fleet, 0)
    fleet.channel.run(START + PROMISE_SECONDS * 1.1 + 1.0)
    assert promises(fleet) == 0
    assert is_granted(send(fleet, 5))


def test_long_request_keeps_its_claim() -> None:
    """Guards against a resend that runs while the first runs beyond the window."""
    fleet = make_fleet(seconds=3 * WINDOW_SECONDS)
    send(fleet, 0)
    fleet.channel.run(START + 2.5 * WINDOW_SECONDS)
    assert isinstance(refusal_of(send(fleet, 5)), AlreadyRunning)


def test_restarted_fleet_says_when_to_come_back() -> None:
    """Guards against a run whose earlier claim was lost with its holders."""
    fleet = make_fleet()
    send(fleet, 0)
    for host in sorted(fleet.hosts):
        fleet.restart(host)
    refusal = refusal_of(send(fleet, 5))
    assert isinstance(refusal, Undecided)
    assert refusal.cause is UndecidedCause.HOLDERS_STARTED
    assert ABSTAIN_SECONDS - 2.0 < refusal.retry_after <= ABSTAIN_SECONDS
    fleet.channel.run(fleet.channel.now + refusal.retry_after * 1.02)
    assert is_granted(send(fleet, 5))


def test_undecided_claim_leaves_no_promise() -> None:
    """Guards against a resend blocked by promises to a request that was refused."""
    fleet = make_fleet()
    hosts = sorted(fleet.hosts)
    for other in hosts[1:]:
        fleet.channel.cut(other, hosts[0])
    refusal = refusal_of(send(fleet, 0))
    assert isinstance(refusal, Undecided)
    assert refusal.cause is UndecidedCause.UNREACHABLE
    fleet.channel.run(fleet.channel.now + 0.1)
    assert promises(fleet) == 0
    assert is_granted(send(fleet, 5))


def test_host_joining_after_a_list_change_learns_the_earlier_holders() -> None:
    """Guards against refusals for a whole window after each replaced host."""
    fleet = make_fleet(12)
    fleet.replace(1, spread=0.01)
    fleet.channel.run(fleet.channel.now + 1.0)
    entry = sorted(fleet.hosts)[-1]
    sends = [fleet.send(entry, make_claim(number)) for number in range(100)]
    fleet.channel.run(fleet.channel.now + 1.0)
    assert all(is_granted(sent) for sent in sends)


def test_pause_ends_what_was_pending_and_what_its_promises_cover() -> None:
    """Guards against a request that starts when its claim has expired elsewhere."""
    fleet = make_fleet(seconds=500.0)
    host = sorted(fleet.hosts)[0]
    granted = fleet.send(host, CLAIM)
    fleet.channel.run(fleet.channel.now + 0.3)
    pending = fleet.send(host, make_claim(2))
    late = make_claim(3)
    fleet.pause(host, WINDOW_SECONDS + 5.0)
    held = fleet.send(host, late)
    fleet.channel.run(fleet.channel.now + WINDOW_SECONDS + 6.0)
    member = fleet.channel.members[host]
    now = member.local_time(fleet.channel.now)
    assert is_granted(granted)
    request_id = RequestId(f"{host}/{granted.number}")
    assert not fleet.hosts[host].claims.holds(request_id, now - 0.9)
    for sent in (pending, held):
        refusal = refusal_of(sent)
        assert isinstance(refusal, Undecided)
        assert refusal.cause is UndecidedCause.PAUSED


@pytest.mark.parametrize("count", [1, 2, 3])
def test_small_fleets_claim_too(count: int) -> None:
    """Guards against a number of holders that a small fleet cannot have."""
    fleet = make_fleet(count)
    assert is_granted(send(fleet, 0))
    assert isinstance(refusal_of(send(fleet, count - 1)), AlreadyRunning)


def test_resend_after_the_death_of_the_first_host_is_refused() -> None:
    """Guards against a second run when the host of the first can no longer tell."""
    fleet = make_fleet(seconds=30.0)
    assert is_granted(send(fleet, 0))
    fleet.crash(sorted(fleet.hosts)[0])
    assert isinstance(refusal_of(send(fleet, 4)), AlreadyRunning)


def test_short_stall_does_not_make_a_holder_abstain() -> None:
    """Guards against refusals for a window after each stall of a busy host."""
    fleet = make_fleet()
    for host in sorted(fleet.hosts):
        fleet.pause(host, 2.0)
    fleet.channel.run(fleet.channel.now + 4.0)
    assert is_granted(send(fleet, 5))


def test_only_a_start_lets_a_route_run_unclaimed() -> None:
    """Guards against a fallback for partitions, where a first request may run."""
    fallback = Policy(run_unclaimed=True)
    started = Undecided(1.0, UndecidedCause.HOLDERS_STARTED)
    assert may_run_unclaimed(started, fallback)
    assert not may_run_unclaimed(started, Policy())
    for refusal in (Undecided(1.0, UndecidedCause.UNREACHABLE), AlreadyRan(1.0)):
        assert not may_run_unclaimed(refusal, fallback)


def mature_host(host: str, listed: list[str]) -> tuple[ClaimCoordinator, Outbox]:
    outbox = Outbox()
    claims = ClaimCoordinator(HostId(host), 1, outbox, Random(1))
    ids = {HostId(name): DataCentre("dc0") for name in listed}
    claims.apply_view(view_of(HostId(host), ids), 0.0)
    for second in range(int(ABSTAIN_SECONDS) + 2):
        claims.tick(float(second))
    return claims, outbox


def answer_of(
    claims: ClaimCoordinator, outbox: Outbox, request: ClaimRequest, origin: Origin
) -> Answer:
    claims.handle(request, origin, ABSTAIN_SECONDS + 1.0)
    (envelope,) = outbox.take_envelopes()
    assert isinstance(envelope.message, ClaimAnswer)
    return envelope.message.answer


def test_answers_of_an_earlier_process_do_not_count() -> None:
    """Guards against two processes of one host promising to two requests."""
    claims, outbox = mature_host("z", ["a", "b", "c"])
    now = ABSTAIN_SECONDS + 1.0
    claims.begin(RequestId("r"), CLAIM, now + 10.0, now)
    requests = [e.message for e in outbox.take_envelopes()]
    assert isinstance(requests[0], ClaimRequest)
    promise = ClaimAnswer(requests[0].serial, 1, Answer.PROMISED)
    for host in ("a", "b"):
        claims.handle(
            ClaimFinished(9, CLAIM.workspace, b"", Ran.NO), Origin(HostId(host), 2), now
        )
        claims.handle(promise, Origin(HostId(host), 1), now)
    assert claims.take_settled() == ()
    for host in ("a", "b"):
        claims.handle(promise, Origin(HostId(host), 2), now)
    assert len(claims.take_settled()) == 1


def test_duplicate_and_late_promises_count_once() -> None:
    """Guards against a majority made of copies of one promise."""
    claims, outbox = mature_host("z", ["a", "b", "c"])
    now = ABSTAIN_SECONDS + 1.0
    claims.begin(RequestId("r"), CLAIM, now + 10.0, now)
    request = outbox.take_envelopes()[0].message
    assert isinstance(request, ClaimRequest)
    promise = ClaimAnswer(request.serial, 1, Answer.PROMISED)
    for _ in range(3):
        claims.handle(promise, Origin(HostId("a"), 1), now)
    assert claims.take_settled() == ()
    claims.finish(RequestId("r"), Ran.NO, now)
    outbox.take_envelopes()
    claims.handle(promise, Origin(HostId("b"), 1), now)
    (envelope,) = outbox.take_envelopes()
    assert isinstance(envelope.message, ClaimFinished)
    assert envelope.message.ran is Ran.NO


def test_holder_refuses_a_claimant_with_another_list() -> None:
    """Guards against majorities in holder sets that do not intersect."""
    claims, outbox = mature_host("a", ["a", "b", "c"])
    request = ClaimRequest(1, CLAIM.workspace, CLAIM.digest, b"", (12345,))
    origin = Origin(HostId("x"), 1)
    assert answer_of(claims, outbox, request, origin) is Answer.LIST_DIFFERS
    assert claims.promise_count == 0


def test_full_workspace_does_not_refuse_another() -> None:
    """Guards against unbounded promises, and against the eviction of live ones."""
    table = PromiseTable()
    owner = ClaimOwner(HostId("a"), 1, 1)
    one, other = WorkspaceId("one"), WorkspaceId("other")
    for number in range(MAX_PROMISES_PER_WORKSPACE):
        assert table.promise(number.to_bytes(16, "big"), owner, one, b"", 0.0)
    assert not table.promise(b"x", owner, one, b"", 1.0)
    assert table.promise(b"y", owner, other, b"", 1.0)
    assert table.promise(b"x", owner, one, b"", PROMISE_SECONDS + 0.1)


def test_holders_are_spread_over_data_centres() -> None:
    """Guards against a claim that falls with one of three data centres."""
    listed = tuple((HostId(f"h{n}"), DataCentre(f"dc{n % 3}")) for n in range(40))
    for group in range(200):
        holders = choose_holders(group, listed)
        assert len(holders) == HOLDERS
        names = [int(host[1:]) % 3 for host in holders]
        assert max(names.count(n) for n in range(3)) == 2


def test_holders_carried_over_a_list_change_are_those_of_the_new_list() -> None:
    """Guards against hosts that choose other holders, by the lists they saw before."""
    rng = Random(1)
    history = HolderHistory()
    listed = {HostId(f"h{n}"): DataCentre(f"dc{n % 3}") for n in range(9)}
    for step in range(150):
        for host in rng.sample(sorted(listed), rng.randint(0, min(2, len(listed)))):
            del listed[host]
        for number in range(rng.randint(0, 2)):
            dc = DataCentre(f"dc{rng.randrange(3)}")
            listed[HostId(f"n{step}-{number}")] = dc
        now = step * 50.0
        history.apply_view(view_of(HostId("h0"), listed), now)
        for group in range(40):
            newest = history.sets_of(group.to_bytes(4, "big"), now)[:1]
            expected = choose_holders(group, tuple(sorted(listed.items())))
            assert newest == ((expected,) if expected else ()), (step, group)


def test_fast_list_changes_are_not_settled() -> None:
    """Guards against a forgotten list when more changes come than are remembered."""
    history = HolderHistory()
    for number in range(20):
        listed = {HostId(f"h{n}"): DataCentre("dc0") for n in range(number, number + 9)}
        history.apply_view(view_of(HostId("h0"), listed), number * 0.1)
    assert not history.is_settled(3.0)
    assert history.is_settled(100.0)
    assert len(history.sets_of(b"1234", 100.0)) == 1


def test_parts_of_a_claim_key_do_not_run_together() -> None:
    """Guards against a key of one route that claims the key of another."""
    one = claim_key(WorkspaceId("w"), RouteId("ab"), "c", "POST", "/", b"")
    other = claim_key(WorkspaceId("w"), RouteId("a"), "bc", "POST", "/", b"")
    assert one.digest != other.digest
