"""Markdown tables of all settings, generated from the metadata of state classes."""

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
_BEGIN_MARKER = "<!-- settings: {} -->"
_END_MARKER = "<!-- end of settings -->"


def settings_table(settings: type[Any]) -> str:
    """Return the table for a settings class."""
    return "\n".join((*_HEADER, *_rows(settings)))


def update_tables(page: str) -> str:
    """Return a page with its tables regenerated.

    A table is located between ``<!-- settings: NAME -->`` and
    ``<!-- end of settings -->``. Raises ValueError if a marker is missing.
    """
    for name, settings in TABLES.items():
        begin = _BEGIN_MARKER.format(name)
        prefix, begin_found, rest = page.partition(begin)
        _, end_found, suffix = rest.partition(_END_MARKER)
        if not begin_found or not end_found:
            raise ValueError(
                f"marker {begin!r} or its end marker is missing; add both lines"
            )
        page = f"{prefix}{begin}\n\n{settings_table(settings)}\n\n{_END_MARKER}{suffix}"
    return page


def _rows(settings: type[Any]) -> Iterator[str]:
    for attribute in attrs.fields(settings):
        metadata = attribute.metadata
        if "description" not in metadata:
            continue
        cells = (
            f"`{json_name(attribute)}`",
            metadata["unit"] or "",
            _format_default(attribute),
            metadata["description"],
        )
        yield "| " + " | ".join(cells) + " |"


def _format_default(attribute: "attrs.Attribute[Any]") -> str:
    default_text: str = attribute.metadata["shown_default"]
    if default_text:
        return default_text if " " in default_text else f"`{default_text}`"
    default = attribute.default
    if default is attrs.NOTHING:
        return "required"
    if attrs.has(type(default)):
        return "its defaults"
    value = format_setting(default)
    if isinstance(default, timedelta) and isinstance(value, float):
        value = int(value)
    return f"`{orjson.dumps(value).decode()}`"
