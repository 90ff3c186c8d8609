"""Tests server selection by load, risk and location, trials and leaving servers."""

from collections import Counter
from random import Random

import pytest
from attrs import define, evolve, field

from catkinspan.coordination.balancing.balancer import Balancer
from catkinspan.coordination.balancing.const import (
    MAX_COMPARED_SERVERS,
    TRIALS_PER_SECOND,
)
from catkinspan.coordination.balancing.models import NoServerReason, ServerRequest
from catkinspan.coordination.health.models import ServerView
from catkinspan.coordination.health.risk import RiskEstimate
from catkinspan.state.hosts import FleetView
from catkinspan.state.ids import DataCentre, HostId, Revision, ServerId, ServiceId
from catkinspan.state.policy import Policy
from catkinspan.state.tree import Address, Service, SettingsTree, Upstream

SERVICE = ServiceId("prints")
LOCAL, REMOTE = DataCentre("here"), DataCentre("there")


@define
class FakeServerViews:
    views: dict[str, ServerView] = field(factory=dict)
    calls: int = 0

    def server_view(self, server_id: ServerId, now: float) -> ServerView:
        self.calls += 1
        return self.views.get(server_id, ServerView(0, 0.01))


def make_upstream(
    name: str, data_centre: DataCentre = LOCAL, leaving: bool = False
) -> Upstream:
    address = Address("10.0.0.1", 80)
    return Upstream(ServerId(name), address, data_centre, 2, leaving=leaving)


def make_balancer(
    views: FakeServerViews, *upstreams: Upstream, seed: int = 1
) -> Balancer:
    balancer = Balancer(HostId("a"), LOCAL, views, Random(seed))
    service = Service(SERVICE, upstreams, Policy())
    balancer.apply_tree(SettingsTree(Revision(1), services={SERVICE: service}), 0.0)
    return balancer


NON_IDEMPOTENT = ServerRequest(SERVICE, False, frozenset(), 0.1, 5.0, False)
IDEMPOTENT = ServerRequest(SERVICE, True, frozenset(), 0.1, 5.0, True)


def count_choices(
    balancer: Balancer, request: ServerRequest, count: int = 300
) -> Counter[str]:
    return Counter(
        balancer.choose(request, 0.0).unwrap().upstream.id for _ in range(count)
    )


def test_non_idempotent_request_avoids_high_risk_servers() -> None:
    views = FakeServerViews({"bad": ServerView(0, 0.8), "good": ServerView(2, 0.01)})
    balancer = make_balancer(views, make_upstream("bad"), make_upstream("good"))
    assert set(count_choices(balancer, NON_IDEMPOTENT)) == {"good"}


def test_high_risk_servers_get_trials() -> None:
    """Guards against a recovered server that gets no requests, and too many trials.

    Most of the healthy servers must be in use while requests fail.
    """
    views = FakeServerViews({"bad": ServerView(0, 0.9)})
    balancer = make_balancer(views, make_upstream("bad"), make_upstream("good"))
    assert 50 <= count_choices(balancer, IDEMPOTENT)["bad"] <= 150


def test_no_trial_during_another_or_without_budget() -> None:
    views = FakeServerViews({"bad": ServerView(1, 0.9)})
    balancer = make_balancer(views, make_upstream("bad"), make_upstream("good"))
    assert count_choices(balancer, IDEMPOTENT)["bad"] == 0
    views.views["bad"] = ServerView(0, 0.9)
    assert count_choices(balancer, evolve(IDEMPOTENT, allows_trial=False))["bad"] == 0


def test_request_that_runs_for_long_does_not_prevent_trials() -> None:
    """Guards against a hanging request that keeps a recovered server unused."""
    views = FakeServerViews({"bad": ServerView(1, 0.9, load_age=2.0)})
    balancer = make_balancer(views, make_upstream("bad"), make_upstream("good"))
    assert count_choices(balancer, IDEMPOTENT)["bad"] >= 50


FLOOR_SHARE = 0.7
"""Share of the sound servers of a service that is to be in use."""


@pytest.mark.parametrize("seed", range(5))
def test_as_many_trials_as_servers_reach_most_of_them(seed: int) -> None:
    """Guards against recovered servers that stay unused while others get several trials
    (FLOOR, issue 18)."""
    names = [f"s{number}" for number in range(20)]
    views = FakeServerViews({name: ServerView(0, 0.9, load_age=9.0) for name in names})
    balancer = make_balancer(views, *(make_upstream(name) for name in names), seed=seed)
    reached, trials = set(), 0
    while trials < len(names):
        choice = balancer.choose(IDEMPOTENT, 0.0).unwrap()
        for name, view in views.views.items():
            views.views[name] = evolve(view, load_age=view.load_age + 0.1)
        if choice.is_trial:
            trials += 1
            reached.add(choice.upstream.id)
            views.views[choice.upstream.id] = ServerView(0, 0.9)
    assert len(reached) >= FLOOR_SHARE * len(names)


def count_scheduled(
    balancer: Balancer, request: ServerRequest, per_second: int, seconds: float
) -> Counter[str]:
    return Counter(
        balancer.choose(request, number / per_second).unwrap().upstream.id
        for number in range(int(per_second * seconds))
    )


@pytest.mark.parametrize(("hosts", "per_second"), [(1, 400), (100, 40), (1000, 5)])
def test_trials_of_a_server_do_not_grow_with_fleet_or_requests(
    hosts: int, per_second: int
) -> None:
    """Guards against a bad server that gets more requests in a larger fleet."""
    views = FakeServerViews({f"s{number}": ServerView(0, 0.3) for number in range(10)})
    balancer = make_balancer(views, *(make_upstream(f"s{n}") for n in range(60)))
    balancer.apply_view(FleetView(HostId("a"), LOCAL, known_count=hosts), 0.0)
    seconds = 20.0 * hosts
    chosen = count_scheduled(balancer, NON_IDEMPOTENT, per_second, seconds)
    trials = sum(chosen[f"s{number}"] for number in range(10))
    limit = 10 * 20.0 * TRIALS_PER_SECOND
    assert 0.3 * limit <= trials <= limit


def test_idempotent_requests_give_no_more_trials_than_their_share() -> None:
    """Guards against trials that use up the budget of hedges and retries."""
    views = FakeServerViews({"bad": ServerView(0, 0.5)})
    balancer = make_balancer(views, make_upstream("bad"), make_upstream("good"))
    assert count_scheduled(balancer, IDEMPOTENT, 20, 50.0)["bad"] <= 0.4 * 20 * 50


def test_idempotent_requests_are_trials_without_retry_budget_too() -> None:
    """Guards against servers without trials where few requests leave no budget."""
    views = FakeServerViews({"bad": ServerView(0, 0.8)})
    balancer = make_balancer(views, make_upstream("bad"), make_upstream("good"))
    request = evolve(IDEMPOTENT, allows_trial=False)
    # The target is a trial within 2 s.
    assert count_scheduled(balancer, request, 20, 100.0)["bad"] >= 50


def test_trial_of_a_request_that_runs_once_is_rarer_the_higher_the_risk() -> None:
    """Guards against requests that are lost at servers which surely fail."""
    trials = []
    for risk in (0.3, 0.9):
        views = FakeServerViews({"bad": ServerView(0, risk)})
        balancer = make_balancer(views, make_upstream("bad"), make_upstream("good"))
        trials.append(count_scheduled(balancer, NON_IDEMPOTENT, 20, 200.0)["bad"])
    assert trials[0] >= 50
    assert 0 < trials[1] <= trials[0] / 3


def test_high_risk_servers_are_used_if_no_other_is_left() -> None:
    views = FakeServerViews({"a": ServerView(0, 0.9), "b": ServerView(0, 0.9)})
    balancer = make_balancer(views, make_upstream("a"), make_upstream("b"))
    assert set(count_choices(balancer, NON_IDEMPOTENT)) == {"a", "b"}


def test_own_data_centre_is_preferred_until_it_is_full() -> None:
    views = FakeServerViews()
    balancer = make_balancer(views, make_upstream("near"), make_upstream("far", REMOTE))
    assert set(count_choices(balancer, NON_IDEMPOTENT)) == {"near"}
    views.views["near"] = ServerView(4, 0.01)
    assert set(count_choices(balancer, NON_IDEMPOTENT)) == {"far"}


def test_leaving_server_gets_nothing_even_if_it_is_the_last() -> None:
    balancer = make_balancer(FakeServerViews(), make_upstream("a", leaving=True))
    assert (
        balancer.choose(NON_IDEMPOTENT, 0.0).unwrap_err().reason
        is NoServerReason.NONE_PUBLISHED
    )


@pytest.mark.parametrize("flag", ["is_draining", "is_misdirected"])
def test_draining_or_misdirected_server_is_not_chosen(flag: str) -> None:
    views = FakeServerViews({"a": ServerView(0, 0.01, **{flag: True})})
    balancer = make_balancer(views, make_upstream("a"), make_upstream("b"))
    assert set(count_choices(balancer, NON_IDEMPOTENT)) == {"b"}


def test_tried_server_is_used_again_only_if_there_is_no_other() -> None:
    request = evolve(NON_IDEMPOTENT, tried_servers=frozenset({ServerId("a")}))
    assert set(
        count_choices(
            make_balancer(FakeServerViews(), make_upstream("a"), make_upstream("b")),
            request,
        )
    ) == {"b"}
    assert set(
        count_choices(make_balancer(FakeServerViews(), make_upstream("a")), request)
    ) == {"a"}


def test_request_that_cannot_be_in_time_is_refused_at_once() -> None:
    """Guards against requests that are queued until their deadline expires."""
    views = FakeServerViews({"a": ServerView(12, 0.01)})
    refused = make_balancer(views, make_upstream("a")).choose(
        evolve(NON_IDEMPOTENT, remaining_seconds=0.4), 0.0
    )
    assert refused.unwrap_err().reason is NoServerReason.FULL
    assert refused.unwrap_err().expected_wait == pytest.approx(0.55)


def test_hosts_with_the_same_old_report_do_not_choose_the_same_server() -> None:
    """Guards against a fleet that fills the queue of the one server with a good
    report before the next report (issue 18)."""
    servers = [make_upstream(f"s{number}") for number in range(50)]
    views = FakeServerViews({server.id: ServerView(0, 0.3) for server in servers})
    views.views["s0"] = ServerView(0, 0.01)
    service = Service(SERVICE, tuple(servers), Policy())
    tree = SettingsTree(Revision(1), services={SERVICE: service})
    choices: Counter[str] = Counter()
    for number in range(200):
        balancer = Balancer(HostId(f"host-{number}"), LOCAL, views, Random(number))
        balancer.apply_tree(tree, 0.0)
        choices[balancer.choose(NON_IDEMPOTENT, 0.0).unwrap().upstream.id] += 1
    assert choices["s0"] <= 50


def test_server_without_recent_requests_gets_its_share() -> None:
    """Guards against servers that stay unused because nothing is known of them."""
    servers = [make_upstream(f"s{number}") for number in range(12)]
    estimate = RiskEstimate()
    unknown = {f"s{n}": ServerView(0, estimate.decay_to(3600.0)) for n in range(4)}
    service = Service(SERVICE, tuple(servers), Policy())
    tree = SettingsTree(Revision(1), services={SERVICE: service})
    choices: Counter[str] = Counter()
    for number in range(600):
        balancer = Balancer(
            HostId(f"host-{number}"),
            LOCAL,
            FakeServerViews(dict(unknown)),
            Random(number),
        )
        balancer.apply_tree(tree, 0.0)
        choices[balancer.choose(NON_IDEMPOTENT, 0.0).unwrap().upstream.id] += 1
    assert min(choices[name] for name in unknown) >= 0.5 * 600 / 12


def test_free_server_outside_the_compared_ones_is_found() -> None:
    """Guards against a refusal for lack of room while a server is free."""
    servers = [make_upstream(f"s{number}") for number in range(50)]
    views = FakeServerViews({server.id: ServerView(200, 0.01) for server in servers})
    views.views["s7"] = ServerView(0, 0.01)
    balancer = make_balancer(views, *servers)
    assert set(count_choices(balancer, NON_IDEMPOTENT, 40)) == {"s7"}


def test_cost_of_a_choice_does_not_grow_with_the_servers() -> None:
    """Guards against an estimate of every server of a service for each request."""
    servers = [make_upstream(f"s{number}") for number in range(400)]
    views = FakeServerViews()
    balancer = make_balancer(views, *servers)
    balancer.choose(NON_IDEMPOTENT, 0.0).unwrap()
    assert views.calls <= 2 * MAX_COMPARED_SERVERS


def connection_limit(hosts: int, max_connections: int, slots: int) -> int:
    """Return the connections that one of many hosts may open to a server."""
    upstream = evolve(make_upstream("a"), max_connections=max_connections, slots=slots)
    balancer = make_balancer(FakeServerViews(), upstream)
    balancer.apply_view(FleetView(HostId("a"), LOCAL, known_count=hosts), 0.0)
    return balancer.choose(NON_IDEMPOTENT, 0.0).unwrap().connection_limit


@pytest.mark.parametrize("hosts", [1, 115, 135])
def test_hosts_together_stay_within_the_connections_of_a_server(hosts: int) -> None:
    """Guards against each host taking the limit for its own."""
    limit = connection_limit(hosts, 1560, 2)
    assert 1560 - hosts < hosts * limit <= 1560


@pytest.mark.parametrize("hosts", [10, 115, 1100])
def test_one_host_can_use_all_slots_of_a_server(hosts: int) -> None:
    """Guards against idle slots while the callers of a few hosts are refused."""
    assert connection_limit(hosts, 350, 50) >= 50
    assert connection_limit(hosts, 350, 1) >= 2
