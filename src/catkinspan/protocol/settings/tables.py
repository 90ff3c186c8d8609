"""Tables of all settings in Markdown, from the metadata of the state classes."""

from collections.abc import Iterator, Mapping
from datetime import timedelta
from typing import Any

import attrs
import orjson

from catkinspan.protocol.settings.policy import format_setting
from catkinspan.state.metadata import json_name
from catkinspan.state.node import HttpLimits, NodeSettings, RateWindow, TlsFiles
from catkinspan.state.policy import Policy
from catkinspan.state.tree import (
    FleetSettings,
    KeyEntry,
    RouteMatch,
    Upstream,
    Workspace,
)

TABLES: Mapping[str, type[Any]] = {
    "host": NodeSettings,
    "host http": HttpLimits,
    "host tls": TlsFiles,
    "host rate window": RateWindow,
    "inherited": Policy,
    "fleet": FleetSettings,
    "upstream": Upstream,
    "match": RouteMatch,
    "workspace": Workspace,
    "key": KeyEntry,
}
"""Settings classes by the name of their table on the operations page."""

_HEADER = ("| setting | unit | default | meaning |", "| --- | --- | --- | --- |")
_BEGIN = "<!-- settings: {} -->"
_END = "<!-- end of settings -->"


def settings_table(settings: type[Any]) -> str:
    """Return the table of one class of settings."""
    return "\n".join((*_HEADER, *_rows(settings)))


def with_tables(page: str) -> str:
    """Return a page with its tables renewed.

    A table stands between ``<!-- settings: NAME -->`` and ``<!-- end of settings -->``.
    Raises ValueError if the page lacks the place of a table.
    """
    for name, settings in TABLES.items():
        begin = _BEGIN.format(name)
        before, found, rest = page.partition(begin)
        _, ended, after = rest.partition(_END)
        if not found or not ended:
            raise ValueError(f"the page lacks {begin!r} or its end; add both lines")
        page = f"{before}{begin}\n\n{settings_table(settings)}\n\n{_END}{after}"
    return page


def _rows(settings: type[Any]) -> Iterator[str]:
    for attribute in attrs.fields(settings):
        metadata = attribute.metadata
        if "description" not in metadata:
            continue
        cells = (
            f"`{json_name(attribute)}`",
            metadata["unit"] or "",
            _default(attribute),
            metadata["description"],
        )
        yield "| " + " | ".join(cells) + " |"


def _default(attribute: "attrs.Attribute[Any]") -> str:
    shown: str = attribute.metadata["shown_default"]
    if shown:
        return shown if " " in shown else f"`{shown}`"
    default = attribute.default
    if default is attrs.NOTHING:
        return "required"
    if attrs.has(type(default)):
        return "its defaults"
    value = format_setting(default)
    if isinstance(default, timedelta) and isinstance(value, float):
        value = int(value)
    return f"`{orjson.dumps(value).decode()}`"
