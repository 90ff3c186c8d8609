"""Guards against wrong choices of servers and against unbounded or false waits."""

from datetime import timedelta

import attrs
import pytest
from bench.slots import SERVICE, Deployment, Fleet

from catkinspan.coordination.outcomes import Candidate
from catkinspan.coordination.slots.models import (
    SlotRefusal,
    SlotRequest,
    SlotStatus,
)
from catkinspan.state.ids import HostId, RequestId, ServerId, WorkspaceId
from catkinspan.state.policy import Policy

W = WorkspaceId("w")
SMALL = Deployment("small", servers=2, slots=2, hosts=6)


def settled(fleet: Fleet, host: HostId, request: SlotRequest) -> ServerId | str | None:
    """Ask for a slot, wait for the answer and return the server or the reason."""
    slots = fleet.nodes[host].slots
    key = (request.request_id, request.attempt)
    verdict = slots.acquire(request, fleet.channel.now)
    fleet.nodes[host].settle()
    end = fleet.channel.now + 2.0
    while verdict.status is SlotStatus.QUEUED and fleet.channel.now < end:
        fleet.channel.run(fleet.channel.now + 0.001)
        verdict = fleet.nodes[host].unclaimed.get(key, verdict)
    return verdict.lease.server if verdict.lease else verdict.reason


def request(fleet: Fleet, name: str, **changes: object) -> SlotRequest:
    now = fleet.channel.now
    base = SlotRequest(RequestId(name), 1, SERVICE, W, 1.0, True, now + 10.0, now + 1.0)
    return attrs.evolve(base, **changes)  # type: ignore[arg-type]


def used_servers(fleet: Fleet, count: int, **changes: object) -> list[ServerId]:
    """Run requests one after another on one host and return their servers."""
    host = sorted(fleet.hosts)[0]
    servers = []
    for i in range(count):
        result = settled(fleet, host, request(fleet, f"{i}", **changes))
        assert isinstance(result, str) and result in fleet.upstreams, result
        servers.append(ServerId(result))
        fleet.nodes[host].slots.release(RequestId(f"{i}"), 1, fleet.channel.now)
    return servers


def candidate(fleet: Fleet, server: str, **changes: object) -> Candidate:
    plain = Candidate(fleet.upstreams[ServerId(server)])
    return attrs.evolve(plain, **changes)  # type: ignore[arg-type]


def test_excluded_servers_are_not_used_again() -> None:
    # Guards against a retry at the server that has just failed.
    fleet = Fleet(SMALL, 1)
    tried = frozenset({ServerId("s00")})
    assert set(used_servers(fleet, 20, exclude=tried)) == {"s01"}


def test_avoided_server_is_the_last_resort() -> None:
    # Guards against use of a server that this host cannot reach, and against refusal
    # when there is no other.
    fleet = Fleet(SMALL, 1)
    fleet.availability.override(candidate(fleet, "s00", avoided=True))
    assert set(used_servers(fleet, 20)) == {"s01"}
    fleet.availability.eject({ServerId("s01")})
    assert set(used_servers(fleet, 5)) == {"s00"}


def test_trial_server_gets_a_trickle_of_idempotent_requests() -> None:
    # Guards against a returning server that gets payments or its full share.
    fleet = Fleet(SMALL, 1)
    fleet.availability.override(candidate(fleet, "s00", trial=True))
    assert set(used_servers(fleet, 30, idempotent=False)) == {"s01"}
    fleet.arrivals(W, 40.0, fleet.channel.now + 5.0)
    before = fleet.servers.servers[ServerId("s00")].served
    fleet.channel.run(fleet.channel.now + 6.0)
    assert 1 <= fleet.servers.servers[ServerId("s00")].served - before <= 21


def test_leaving_server_gets_no_new_work() -> None:
    # Guards against new work for a server that is published as leaving.
    fleet = Fleet(SMALL, 1)
    leaving = attrs.evolve(fleet.upstreams[ServerId("s00")], leaving=True)
    fleet.availability.override(Candidate(leaving))
    assert set(used_servers(fleet, 20)) == {"s01"}


def test_no_server_is_refused_at_once() -> None:
    # Guards against requests that wait for a service without any server.
    fleet = Fleet(SMALL, 1)
    fleet.availability.eject(set(fleet.upstreams))
    host = sorted(fleet.hosts)[0]
    verdict = fleet.nodes[host].slots.acquire(request(fleet, "a"), 0.0)
    assert verdict.reason is SlotRefusal.NO_SERVER


def test_expired_request_is_refused_at_once() -> None:
    # Guards against a slot for a caller that no longer waits.
    fleet = Fleet(SMALL, 1)
    late = request(fleet, "a", deadline=0.01)
    host = sorted(fleet.hosts)[0]
    verdict = fleet.nodes[host].slots.acquire(late, 0.0)
    assert verdict.reason is SlotRefusal.NO_CAPACITY_BEFORE_DEADLINE


def test_queues_are_bounded_and_refusals_early_and_true() -> None:
    # Guards against queues without a bound, refusals after the end of the wait, and
    # requests that are refused and run, or are neither refused nor served.
    policy = Policy(queue_timeout=timedelta(seconds=1), max_queue=20)
    fleet = Fleet(SMALL, 1, policy=policy)
    longest = 0

    def sample() -> None:
        nonlocal longest
        for node in fleet.nodes.values():
            snapshot = node.slots.snapshot(fleet.channel.now)
            for part in (snapshot.services, snapshot.dispatched):
                for entry in part.values():
                    longest = max(longest, sum(entry.waiting.values()))
        if fleet.channel.now < 4.0:
            fleet.channel.at(fleet.channel.now + 0.01, sample)

    fleet.channel.at(0.5, sample)
    for i in range(4):
        fleet.arrivals(WorkspaceId(f"w{i}"), 200.0, 4.0)
    fleet.channel.run(10.0)
    tally = fleet.tally
    assert 10 <= longest <= 20
    assert tally.refused_late == 0
    ended = sum(tally.done.values()) + sum(tally.refused.values()) + tally.failed
    assert ended == sum(tally.arrived.values())
    assert set(tally.refused) == {"queue_full", "no_capacity_before_deadline"}
    assert fleet.servers.served == sum(tally.done.values())
    assert not any(node.slots._services for node in fleet.nodes.values())


@pytest.mark.parametrize("busy", [False, True])
def test_cancel_frees_the_slot(busy: bool) -> None:
    # Guards against slots that stay leased for callers that have left.
    fleet = Fleet(SMALL, 1)
    host = sorted(fleet.hosts)[0]
    slots = fleet.nodes[host].slots
    if busy:
        settled(fleet, host, request(fleet, "a"))
    else:
        slots.acquire(request(fleet, "a"), fleet.channel.now)
    slots.cancel(RequestId("a"), 1, fleet.channel.now)
    fleet.channel.run(fleet.channel.now + 2.0)
    for node in fleet.nodes.values():
        for entry in node.slots.snapshot(fleet.channel.now).dispatched.values():
            assert (entry.used, sum(entry.waiting.values())) == (0, 0)


def test_slow_start_limits_the_leased_slots() -> None:
    # Guards against a returning server that gets work in all of its slots at once.
    fleet = Fleet(attrs.evolve(SMALL, servers=1, slots=8, hosts=3, centres=1), 1)
    fleet.availability.override(candidate(fleet, "s00", share=0.25))
    host = sorted(fleet.hosts)[0]
    fleet.channel.run(0.5)
    for i in range(6):
        fleet.nodes[host].slots.acquire(request(fleet, f"{i}"), fleet.channel.now)
        fleet.nodes[host].settle()
    # A new dispatcher uses half of the slots for a moment.
    fleet.channel.run(0.8)
    assert len(fleet.leases_of(host)) == 2
