"""Counts of attempts at servers, and the work of reporting them."""

from typing import Any

import pytest

from catkinspan.coordination.health.observer import Observer, ServerAttempts
from catkinspan.coordination.outcomes import AttemptOutcome, OutcomeKind
from catkinspan.state.ids import RequestId, ServerId, ServiceId, WorkspaceId

SERVERS = 400


def start(observer: Observer, number: int, now: float) -> None:
    key = (RequestId(f"r{number}"), 1)
    observer.record_start(ServerId(f"s{number}"), key, 0.5, now)


def finish(observer: Observer, number: int, now: float) -> None:
    observer.record_end(
        AttemptOutcome(
            RequestId(f"r{number}"),
            1,
            ServiceId("prints"),
            ServerId(f"s{number}"),
            WorkspaceId("w"),
            OutcomeKind.OK,
            0.1,
            True,
        ),
        now,
    )


def reported(observer: Observer, since: float, now: float) -> set[str]:
    return {count.server for count in observer.report(since, now)}


def test_report_visits_only_the_servers_that_have_changed() -> None:
    """Guards against a scan of all servers in each of twenty reports a second."""
    visits = 0

    class CountingAttempts(ServerAttempts):
        __slots__ = ()

        def __getattribute__(self, name: str) -> Any:
            nonlocal visits
            visits += name == "changed_at"
            return super().__getattribute__(name)

    observer = Observer()
    for number in range(SERVERS):
        start(observer, number, 1.0)
        finish(observer, number, 2.0)
    for attempts in observer._servers.values():
        attempts.__class__ = CountingAttempts
    start(observer, 7, 10.0)
    assert reported(observer, 9.0, 10.0) == {"s7"}
    assert visits <= 2


@pytest.mark.parametrize("gone", [False, True])
def test_report_has_each_change_once(gone: bool) -> None:
    """Guards against changes that are lost when another server changes later."""
    observer = Observer()
    start(observer, 1, 1.0)
    start(observer, 2, 1.1)
    finish(observer, 1, 1.2)
    observer.mark_overdue(1.7)
    assert reported(observer, 1.0, 2.0) == {"s1", "s2"}
    assert reported(observer, 1.3, 2.0) == {"s2"}
    finish(observer, 2, 3.0)
    if gone:
        observer.follow({ServerId("s1")}, 3.0)
    assert reported(observer, 1.0, 3.0) == ({"s1"} if gone else {"s1", "s2"})
