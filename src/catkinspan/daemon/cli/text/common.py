"""Text formatting shared by several reports."""

from collections.abc import Iterable, Sequence
from datetime import datetime

from catkinspan.coordination.reports.models import FaultLines, ReportHeader
from catkinspan.coordination.reports.unknown import format_duration

MAX_ROWS = 40
"""Rows of a table that fit on one screen; `--json` prints all."""


def header_line(head: ReportHeader) -> str:
    """Return the line with the reporting host, the time and the revision."""
    return (
        f"as host {head.host} ({head.data_centre}) sees it at {format_time(head.at)}, "
        f"revision {head.revision}"
    )


def format_time(at: datetime | None) -> str:
    """Format a time, or return a dash if it is unknown."""
    return "-" if at is None else f"{at:%Y-%m-%d %H:%M:%S%z}"


def format_since(at: datetime | None, now: datetime) -> str:
    """Return the start of a state and its age."""
    if at is None:
        return "since before this host started to observe it"
    age = max(0.0, (now - at).total_seconds())
    return f"since {format_time(at)} ({format_duration(age)})"


def format_table(header: Sequence[str], rows: Iterable[Sequence[object]]) -> list[str]:
    """Return aligned lines, with a note if rows are omitted."""
    cells = [[str(cell) for cell in row] for row in rows]
    shown = cells[:MAX_ROWS]
    widths = [
        max([len(title), *(len(row[i]) for row in shown)])
        for i, title in enumerate(header)
    ]
    lines = [_row(header, widths), *(_row(row, widths) for row in shown)]
    if len(cells) > MAX_ROWS:
        lines.append(f"  and {len(cells) - MAX_ROWS} more; see --json")
    return lines


def unknown_lines(unknown: Sequence[str]) -> list[str]:
    """Return a line for each item that the host cannot know."""
    return [f"not known here: {line}" for line in unknown]


def settings_fault_lines(faults: FaultLines) -> list[str]:
    """Return a line for each shown fault of the settings and of single entries."""
    lines = [f"not usable: {fault}" for fault in faults.shown]
    if faults.left_out:
        lines.append(f"and {faults.left_out} more faults; see `catkinspan audit`")
    return lines


def _row(cells: Sequence[str], widths: Sequence[int]) -> str:
    padded = [cell.ljust(width) for cell, width in zip(cells, widths, strict=True)]
    return ("  " + "  ".join(padded)).rstrip()
