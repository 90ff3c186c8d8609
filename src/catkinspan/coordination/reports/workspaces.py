"""Report on workspaces and what holds them back."""

from collections.abc import Iterator
from itertools import islice

from catkinspan.coordination.keys.models import digest_prefix
from catkinspan.coordination.metrics.const import RECENT_SECONDS
from catkinspan.coordination.metrics.models import ResultCategory, ResultCounts
from catkinspan.coordination.rates.models import WorkspaceRates
from catkinspan.coordination.reports.clock_reading import ClockReading
from catkinspan.coordination.reports.const import MAX_WORKSPACES_SHOWN
from catkinspan.coordination.reports.gather import HostFacts, WorkspaceFacts
from catkinspan.coordination.reports.heads import report_header, request_line
from catkinspan.coordination.reports.models import (
    KeyLine,
    Limitation,
    LimitedBy,
    WorkspaceLine,
    WorkspacesReport,
)
from catkinspan.coordination.reports.unknown import format_duration, unknown_to_host
from catkinspan.state.ids import WorkspaceId
from catkinspan.state.tree import Workspace


def workspaces_report(
    facts: HostFacts, workspaces: WorkspaceFacts, clock_reading: ClockReading
) -> WorkspacesReport:
    """Return up to `MAX_WORKSPACES_SHOWN` workspaces, held back ones first."""
    tree = facts.tree.workspaces
    active = _active_workspaces(facts, workspaces)
    idle = (name for name in sorted(tree) if name not in active)
    chosen = (*active, *islice(idle, max(0, MAX_WORKSPACES_SHOWN - len(active))))
    lines = [_workspace_line(tree[name], facts, workspaces) for name in chosen]
    shown = sorted(lines, key=_held_back_first)[:MAX_WORKSPACES_SHOWN]
    rates = workspaces.rates
    return WorkspacesReport(
        report_header(facts, clock_reading),
        rates.hub,
        tuple(shown),
        len(tree) - len(shown),
        unknown_to_host(facts),
    )


def held_back_lines(
    facts: HostFacts, workspaces: WorkspaceFacts
) -> tuple[WorkspaceLine, ...]:
    """Return the workspaces that are held back on this host."""
    tree = facts.tree.workspaces
    return tuple(
        _workspace_line(tree[name], facts, workspaces)
        for name in sorted(_active_workspaces(facts, workspaces))
        if _limitations(tree[name], facts, workspaces)
    )


def _active_workspaces(
    facts: HostFacts, workspaces: WorkspaceFacts
) -> set[WorkspaceId]:
    """Return workspaces with recent requests, a withdrawn key or no published key.

    Building the lines of all 26,000 workspaces would block the event loop for tenths of
    a second.
    """
    tree = facts.tree.workspaces
    names = {*workspaces.recent, *workspaces.withdrawn}
    names.update(name for name, workspace in tree.items() if not workspace.keys)
    return names & tree.keys()


def _held_back_first(line: WorkspaceLine) -> tuple[int, int, str]:
    return -len(line.held_by), -line.requests.asked, line.workspace


def _workspace_line(
    workspace: Workspace, facts: HostFacts, workspaces: WorkspaceFacts
) -> WorkspaceLine:
    name = workspace.id
    recent = workspaces.recent.get(name, ResultCounts())
    rates = workspaces.rates.workspaces.get(name)
    return WorkspaceLine(
        workspace=name,
        held_by=_limitations(workspace, facts, workspaces),
        rate=workspace.rate,
        burst=workspace.burst,
        is_limited=workspace.is_limited,
        max_in_flight=workspace.max_in_flight,
        in_flight=workspaces.in_flight.get(name, 0),
        requests=request_line(recent),
        served_share=recent.served_share,
        admitted=rates.admitted if rates else 0,
        level=rates.level if rates else None,
        level_age_seconds=rates.level_age if rates else None,
        keys=tuple(KeyLine(k.id, digest_prefix(k.digest)) for k in workspace.keys),
    )


def _limitations(
    workspace: Workspace, facts: HostFacts, workspaces: WorkspaceFacts
) -> tuple[Limitation, ...]:
    name = workspace.id
    recent = workspaces.recent.get(name, ResultCounts())
    return (
        *_key_limitations(workspace, workspaces, facts.now),
        *_rate_limitations(recent, workspaces.rates.workspaces.get(name)),
        *_capacity_limitations(recent),
    )


def _key_limitations(
    workspace: Workspace, workspaces: WorkspaceFacts, now: float
) -> Iterator[Limitation]:
    withdrawn = workspaces.withdrawn.get(workspace.id)
    if withdrawn is not None:
        age = format_duration(now - withdrawn.at)
        yield Limitation(LimitedBy.KEY, f"key {withdrawn.key} withdrawn {age} ago")
    if not workspace.keys:
        yield Limitation(LimitedBy.KEY, "no key is published")


def _rate_limitations(
    recent: ResultCounts, rates: WorkspaceRates | None
) -> Iterator[Limitation]:
    over_rate = recent.counts.get(ResultCategory.RATE, 0)
    if over_rate:
        yield Limitation(
            LimitedBy.RATE, f"{over_rate} refused above the rate in {RECENT_SECONDS} s"
        )
    if over_rate and rates and rates.level is not None:
        yield Limitation(
            LimitedBy.RATE, f"{rates.level:.0f} tokens left over the fleet"
        )


def _capacity_limitations(recent: ResultCounts) -> Iterator[Limitation]:
    refused = recent.counts.get(ResultCategory.CAPACITY, 0)
    if refused:
        detail = f"{refused} refused for want of capacity in {RECENT_SECONDS} s"
        yield Limitation(LimitedBy.CAPACITY, detail)
