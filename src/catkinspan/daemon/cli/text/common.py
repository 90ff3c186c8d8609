"""Parts of the text that several reports share."""

from collections.abc import Iterable, Sequence
from datetime import datetime

from catkinspan.coordination.reports.models import ReportHeader
from catkinspan.coordination.reports.unknown import format_duration

MAX_ROWS = 40
"""Rows of a table that fit into one screen; `--json` has all."""


def head_line(head: ReportHeader) -> str:
    """Return who answers, and as of when."""
    return (
        f"as host {head.host} ({head.data_centre}) sees it at {instant(head.at)}, "
        f"revision {head.revision}"
    )


def instant(at: datetime | None) -> str:
    """Return an instant, or a dash if it is not known."""
    return "-" if at is None else f"{at:%Y-%m-%d %H:%M:%S%z}"


def since(at: datetime | None, now: datetime) -> str:
    """Return since when something is so."""
    if at is None:
        return "since before this host began to look"
    age = max(0.0, (now - at).total_seconds())
    return f"since {instant(at)} ({format_duration(age)})"


def table(header: Sequence[str], rows: Iterable[Sequence[object]]) -> list[str]:
    """Return aligned lines, with a note if rows were left out."""
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
    """Return what the host cannot know."""
    return [f"not known here: {line}" for line in unknown]


def _row(cells: Sequence[str], widths: Sequence[int]) -> str:
    padded = [cell.ljust(width) for cell, width in zip(cells, widths, strict=True)]
    return ("  " + "  ".join(padded)).rstrip()
