"""Guards the choice of servers: load, risk, place, trials, leaving servers."""

from collections import Counter
from random import Random

import pytest
from attrs import define, evolve, field

from catkinspan.coordination.balancing.balancer import Balancer
from catkinspan.coordination.balancing.models import NoServerReason, ServerRequest
from catkinspan.coordination.health.models import ServerView
from catkinspan.state.ids import DataCentre, HostId, Revision, ServerId, ServiceId
from catkinspan.state.policy import Policy
from catkinspan.state.tree import Address, Service, SettingsTree, Upstream

SERVICE = ServiceId("prints")
HERE, THERE = DataCentre("here"), DataCentre("there")


@define
class Views:
    views: dict[str, ServerView] = field(factory=dict)

    def view_of(self, server_id: ServerId, now: float) -> ServerView:
        return self.views.get(server_id, ServerView(0, 0.01))


def upstream(name: str, place: DataCentre = HERE, leaving: bool = False) -> Upstream:
    address = Address("10.0.0.1", 80)
    return Upstream(ServerId(name), address, place, 2, leaving=leaving)


def balancer(views: Views, *upstreams: Upstream) -> Balancer:
    made = Balancer(HostId("a"), HERE, views, Random(1))
    service = Service(SERVICE, upstreams, Policy())
    made.apply_tree(SettingsTree(Revision(1), services={SERVICE: service}), 0.0)
    return made


ONCE = ServerRequest(SERVICE, False, frozenset(), 0.1, 5.0, False)
SAFE = ServerRequest(SERVICE, True, frozenset(), 0.1, 5.0, True)


def chosen(made: Balancer, request: ServerRequest, count: int = 300) -> Counter[str]:
    return Counter(made.choose(request, 0.0).unwrap().upstream.id for _ in range(count))


def test_request_that_runs_once_avoids_doubtful_servers() -> None:
    views = Views({"bad": ServerView(0, 0.8), "good": ServerView(2, 0.01)})
    made = balancer(views, upstream("bad"), upstream("good"))
    assert set(chosen(made, ONCE)) == {"good"}


def test_doubtful_servers_get_trials() -> None:
    """Guards against a server that never comes back, and against the floor: most of
    the sound servers must be in use while requests fail."""
    views = Views({"bad": ServerView(0, 0.9)})
    made = balancer(views, upstream("bad"), upstream("good"))
    assert 50 <= chosen(made, SAFE)["bad"] <= 150


def test_no_trial_beside_another_and_without_budget() -> None:
    views = Views({"bad": ServerView(1, 0.9)})
    made = balancer(views, upstream("bad"), upstream("good"))
    assert chosen(made, SAFE)["bad"] == 0
    views.views["bad"] = ServerView(0, 0.9)
    assert chosen(made, evolve(SAFE, allows_trial=False))["bad"] == 0


def test_all_doubtful_servers_serve_on() -> None:
    views = Views({"a": ServerView(0, 0.9), "b": ServerView(0, 0.9)})
    made = balancer(views, upstream("a"), upstream("b"))
    assert set(chosen(made, ONCE)) == {"a", "b"}


def test_own_data_centre_first_while_it_has_room() -> None:
    views = Views()
    made = balancer(views, upstream("near"), upstream("far", THERE))
    assert set(chosen(made, ONCE)) == {"near"}
    views.views["near"] = ServerView(4, 0.01)
    assert set(chosen(made, ONCE)) == {"far"}


def test_leaving_server_gets_nothing_even_if_it_is_the_last() -> None:
    made = balancer(Views(), upstream("a", leaving=True))
    assert made.choose(ONCE, 0.0).unwrap_err().reason is NoServerReason.NONE_PUBLISHED


@pytest.mark.parametrize("sign", ["is_draining", "is_misdirected"])
def test_server_with_a_sign_of_leaving_is_left_out(sign: str) -> None:
    views = Views({"a": ServerView(0, 0.01, **{sign: True})})
    made = balancer(views, upstream("a"), upstream("b"))
    assert set(chosen(made, ONCE)) == {"b"}


def test_tried_server_is_used_again_only_if_there_is_no_other() -> None:
    request = evolve(ONCE, tried_servers=frozenset({ServerId("a")}))
    assert set(chosen(balancer(Views(), upstream("a"), upstream("b")), request)) == {
        "b"
    }
    assert set(chosen(balancer(Views(), upstream("a")), request)) == {"a"}


def test_request_that_cannot_be_in_time_is_refused_at_once() -> None:
    """Guards against requests that wait in a queue until their deadline."""
    views = Views({"a": ServerView(12, 0.01)})
    refused = balancer(views, upstream("a")).choose(
        evolve(ONCE, remaining_seconds=0.4), 0.0
    )
    assert refused.unwrap_err().reason is NoServerReason.FULL
    assert refused.unwrap_err().expected_wait == pytest.approx(0.55)
