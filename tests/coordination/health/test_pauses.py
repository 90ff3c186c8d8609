"""Servers that ask a host for a pause with `Retry-After`."""

from collections.abc import Callable
from datetime import timedelta

from catkinspan.coordination.health.const import MAX_PAUSE_SECONDS
from catkinspan.coordination.outcomes import OutcomeKind
from catkinspan.coordination.requests.errors import Ran, RefusalKind
from catkinspan.coordination.requests.models import RequestArrived
from catkinspan.state.ids import HostId, RequestId
from catkinspan.testing.hosts import VirtualAttempt, VirtualFleet
from tests.platform.entries import KEY, platform_fleet
from tests.virtual_fleet import READY_SECONDS

HOST, OTHER = HostId("host-0"), HostId("host-3")
SERVER = "i-0"
PAUSE_SECONDS = 6.0
SHED_SECONDS = 0.01
ALLOWED_REQUESTS = 2
"""Requests that the server accepts from the host in a pause."""

GRACE_SECONDS = 0.5
"""Time after the response in which requests may be on their way."""


def pausing_fleet(
    pauses: Callable[[VirtualAttempt], float], servers: int = 6
) -> VirtualFleet:
    """Return a fleet whose servers shed the requests for which they ask a pause."""

    def respond(attempt: VirtualAttempt, rng: object) -> tuple[OutcomeKind, float]:
        if pauses(attempt):
            return OutcomeKind.SHED, SHED_SECONDS
        return OutcomeKind.OK, 0.1

    fleet = platform_fleet(hosts=6, servers=servers, respond=respond, rate=1e6)
    fleet.requested_pause = pauses
    fleet.channel.run(READY_SECONDS)
    return fleet


def send(fleet: VirtualFleet, host: HostId, number: int, path: str) -> RequestId:
    request_id = RequestId(f"r-{number}")
    arrived = RequestArrived(
        request_id,
        "POST" if path.startswith("/pufi791") else "GET",
        "ficu95.example",
        path,
        presented_key=KEY,
        deadline=timedelta(seconds=2),
    )
    fleet.submit_request(host, arrived)
    return request_id


def run_load(
    fleet: VirtualFleet, host: HostId, seconds: float, interval: float = 0.02
) -> list[RequestId]:
    """Send requests that run once, and others that may be hedged, in turn."""
    sent = []
    start = fleet.channel.now
    for number in range(int(seconds / interval)):
        path = "/pufi791/1" if number % 2 else "/lohu930/1"
        sent.append(send(fleet, host, int(start * 1000) + number, path))
        fleet.channel.run(start + (number + 1) * interval)
    return sent


def attempts_at(fleet: VirtualFleet, host: HostId, server: str) -> list[float]:
    return [
        attempt.started_at
        for attempt in fleet.attempts
        if attempt.host == host and attempt.assigned.server == server
    ]


def test_server_gets_nothing_from_the_host_that_it_asked() -> None:
    """Guards against requests, trials and hedges at a server in its pause."""
    shed: list[VirtualAttempt] = []

    def pauses(attempt: VirtualAttempt) -> float:
        if attempt.assigned.server == SERVER and attempt.host == HOST and not shed:
            shed.append(attempt)
        return PAUSE_SECONDS if attempt in shed else 0.0

    fleet = pausing_fleet(pauses)
    run_load(fleet, HOST, 15.0)
    at = shed[0].started_at + SHED_SECONDS
    attempts = attempts_at(fleet, HOST, SERVER)
    start, end = at + GRACE_SECONDS, at + PAUSE_SECONDS
    assert sum(start <= started < end for started in attempts) <= ALLOWED_REQUESTS
    assert any(started > end for started in attempts)


def test_pause_is_no_risk_and_another_host_goes_on() -> None:
    fleet = pausing_fleet(
        lambda attempt: (
            PAUSE_SECONDS * (attempt.assigned.server == SERVER and attempt.host == HOST)
        )
    )
    for _ in range(10):
        run_load(fleet, HOST, 0.5)
        run_load(fleet, OTHER, 0.5)
    assert attempts_at(fleet, HOST, SERVER)
    now = fleet.channel.now
    view = fleet.hosts[OTHER].coordinator.health.server_view(SERVER, now)
    assert view.risk < 0.2
    assert any(started > now - 3.0 for started in attempts_at(fleet, OTHER, SERVER))


def test_other_hosts_hear_of_a_pause_as_load_until_it_ends() -> None:
    fleet = pausing_fleet(lambda attempt: 0.0)
    health = fleet.hosts[HOST].coordinator.health
    fleet.requested_pause = lambda attempt: (
        PAUSE_SECONDS * (attempt.assigned.server == SERVER)
    )
    run_load(fleet, HOST, 3.0)
    now = fleet.channel.now
    assert health.server_view(SERVER, now).pause_seconds > 0
    other = fleet.hosts[OTHER].coordinator.health
    fleet.channel.run(now + 0.5)
    assert other.server_view(SERVER, fleet.channel.now).in_flight == 1
    fleet.channel.run(now + PAUSE_SECONDS + 1.0)
    assert other.server_view(SERVER, fleet.channel.now).in_flight == 0


def test_huge_pause_is_limited() -> None:
    fleet = pausing_fleet(lambda attempt: 1e9)
    send(fleet, HOST, 1, "/pufi791/1")
    fleet.channel.run(fleet.channel.now + 1.0)
    health = fleet.hosts[HOST].coordinator.health
    views = [health.server_view(f"i-{n}", fleet.channel.now) for n in range(6)]
    longest = max(view.pause_seconds for view in views)
    assert 0 < longest <= MAX_PAUSE_SECONDS


def test_requests_are_refused_at_once_while_all_servers_pause() -> None:
    """Guards against requests that wait, and callers that return in step."""
    fleet = pausing_fleet(lambda attempt: PAUSE_SECONDS, servers=2)
    run_load(fleet, HOST, 1.0)
    started = fleet.channel.now
    sent = [send(fleet, HOST, 10**9 + n, "/pufi791/1") for n in range(20)]
    node = fleet.hosts[HOST]
    refused = [node.refusals[request_id] for request_id in sent]
    assert {refusal.kind for refusal in refused} == {RefusalKind.NO_CAPACITY}
    assert {refusal.ran for refusal in refused} == {Ran.NO}
    assert not [a for a in fleet.attempts if a.started_at >= started]
    waits = [refusal.retry_after or 0.0 for refusal in refused]
    health = node.coordinator.health
    first_end = min(
        health.server_view(f"i-{n}", started).pause_seconds for n in range(2)
    )
    assert all(first_end <= wait <= 1.5 * first_end + 0.01 for wait in waits)
    assert max(waits) - min(waits) > 0.2 * first_end
