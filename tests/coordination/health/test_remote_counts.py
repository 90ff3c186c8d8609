"""Tests of the counts that a hub sends to hubs of other data centres."""

import pytest

from catkinspan.coordination.health.assessor import Assessor
from catkinspan.coordination.health.const import STALE_REPORT_SECONDS
from catkinspan.coordination.health.count_reporter import CountReporter
from catkinspan.coordination.health.models import ServerCounts, ZoneCounts
from catkinspan.coordination.health.observer import Observer
from catkinspan.coordination.outbox import Outbox
from catkinspan.state.hosts import FleetView
from catkinspan.state.ids import DataCentre, HostId, ServerId

HUB, STANDBY, FOLLOWER = HostId("hub"), HostId("standby"), HostId("follower")
SECONDS = 20.0
STEP_SECONDS = 0.05
MAX_REPORT_AGE_SECONDS = 0.5
"""Time in which loads are to be known."""

MAX_STANDBY_AGE_SECONDS = 2 * STALE_REPORT_SECONDS


@pytest.mark.parametrize(("data_centres", "servers"), [(3, 400), (4, 200)])
def test_reports_to_standby_hubs_do_not_delay_those_to_primary_hubs(
    data_centres: int, servers: int
) -> None:
    """Guards against loads of other data centres that are seconds old because one byte
    budget holds for all their hubs."""
    assessor, outbox = Assessor(), Outbox()
    reporter = CountReporter(HUB, 1, Observer(), assessor, outbox)
    remote = tuple(
        HostId(f"{number}-{rank}")
        for number in range(1, data_centres)
        for rank in (1, 2)
    )
    view = FleetView(
        HUB,
        DataCentre("own"),
        hubs=(HUB, STANDBY),
        remote_hubs=remote,
        primary_remote_hubs=remote[::2],
    )
    reporter.apply_view(view, True)
    sent_at = dict.fromkeys(remote, 0.0)
    longest = dict.fromkeys(remote, 0.0)
    for step in range(round(SECONDS / STEP_SECONDS)):
        now = step * STEP_SECONDS
        counts = [
            ServerCounts(ServerId(f"s{number}"), 1, 0, step, 0)
            for number in range(step % 8, servers, 8)
        ]
        assessor.add_host_counts(FOLLOWER, 1, counts, now)
        reporter.report_to_others(view, now)
        for envelope in outbox.take_envelopes():
            if isinstance(envelope.message, ZoneCounts):
                hub = HostId(str(envelope.to))
                longest[hub] = max(longest[hub], now - sent_at[hub])
                sent_at[hub] = now
    assert max(longest[hub] for hub in remote[::2]) <= MAX_REPORT_AGE_SECONDS
    assert max(longest[hub] for hub in remote[1::2]) <= MAX_STANDBY_AGE_SECONDS
