"""The report on workspaces and what holds them back."""

from collections.abc import Iterator

from catkinspan.coordination.keys.models import shown_digest
from catkinspan.coordination.metrics.const import RECENT_SECONDS
from catkinspan.coordination.metrics.models import EndCounts, Ending
from catkinspan.coordination.rates.models import WorkspaceRates
from catkinspan.coordination.reports.const import MAX_WORKSPACES_SHOWN
from catkinspan.coordination.reports.gather import HostFacts, WorkspaceFacts
from catkinspan.coordination.reports.heads import report_head, request_line
from catkinspan.coordination.reports.instants import Instants
from catkinspan.coordination.reports.models import (
    HeldBy,
    Hold,
    KeyLine,
    WorkspaceLine,
    WorkspacesReport,
)
from catkinspan.coordination.reports.unknown import span, unknown_to_host
from catkinspan.state.tree import Workspace


def workspaces_report(
    facts: HostFacts, workspaces: WorkspaceFacts, instants: Instants
) -> WorkspacesReport:
    """Return the workspaces, those that are held back first."""
    lines = sorted(_lines(facts, workspaces), key=_held_first)
    rates = workspaces.rates
    return WorkspacesReport(
        report_head(facts, instants),
        rates.minting,
        rates.not_minting_because,
        tuple(lines[:MAX_WORKSPACES_SHOWN]),
        max(0, len(lines) - MAX_WORKSPACES_SHOWN),
        unknown_to_host(facts),
    )


def held_lines(
    facts: HostFacts, workspaces: WorkspaceFacts, instants: Instants
) -> tuple[WorkspaceLine, ...]:
    """Return the workspaces that are held back at this host."""
    return tuple(line for line in _lines(facts, workspaces) if line.held_by)


def _held_first(line: WorkspaceLine) -> tuple[int, int, str]:
    return -len(line.held_by), -line.requests.asked, line.workspace


def _lines(facts: HostFacts, workspaces: WorkspaceFacts) -> Iterator[WorkspaceLine]:
    rates = {line.workspace: line for line in workspaces.rates.workspaces}
    for name, workspace in facts.tree.workspaces.items():
        recent = workspaces.recent.get(name, EndCounts())
        held = rates.get(name)
        waiting = workspaces.waiting.get(name, 0)
        yield WorkspaceLine(
            workspace=name,
            held_by=(
                *_key_holds(workspace, workspaces, facts.now),
                *_rate_holds(recent, held),
                *_capacity_holds(recent, waiting),
            ),
            rate=workspace.rate,
            burst=workspace.burst,
            weight=workspace.weight,
            max_in_flight=workspace.max_in_flight,
            in_flight=workspaces.in_flight.get(name, 0),
            waiting=waiting,
            requests=request_line(recent),
            served_share=recent.served_share,
            grantor=held.grantor if held else None,
            tokens_held=held.held if held else 0,
            tokens_waiting=held.waiting if held else 0,
            stock=held.stock if held else None,
            keys=tuple(KeyLine(k.id, shown_digest(k.digest)) for k in workspace.keys),
        )


def _key_holds(
    workspace: Workspace, workspaces: WorkspaceFacts, now: float
) -> Iterator[Hold]:
    withdrawn = workspaces.withdrawn.get(workspace.id)
    if withdrawn is not None:
        age = span(now - withdrawn.at)
        yield Hold(HeldBy.KEY, f"key {withdrawn.key} withdrawn {age} ago")
    if not workspace.keys:
        yield Hold(HeldBy.KEY, "no key is published")


def _rate_holds(recent: EndCounts, rates: WorkspaceRates | None) -> Iterator[Hold]:
    seen = recent.counts.get(Ending.RATE, 0)
    over = max(seen, rates.recent_refusals if rates else 0)
    if over:
        yield Hold(HeldBy.RATE, f"{over} refused above the rate in {RECENT_SECONDS} s")
    if rates and rates.waiting:
        yield Hold(HeldBy.RATE, f"{rates.waiting} wait for a token")


def _capacity_holds(recent: EndCounts, waiting: int) -> Iterator[Hold]:
    short = recent.counts.get(Ending.CAPACITY, 0)
    if short:
        detail = f"{short} refused for want of capacity in {RECENT_SECONDS} s"
        yield Hold(HeldBy.CAPACITY, detail)
    if waiting:
        yield Hold(HeldBy.CAPACITY, f"{waiting} wait for a slot")
