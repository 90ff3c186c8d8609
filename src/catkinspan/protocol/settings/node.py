"""Decoding of a host's settings file."""

from datetime import timedelta
from pathlib import Path
from typing import Any

from attrs import fields
from result import Err, Ok, Result

from catkinspan.coordination.configuration.errors import SettingsFault
from catkinspan.protocol.settings.reader import (
    FaultList,
    ObjectReader,
    decode_json,
    parse_address,
)
from catkinspan.state.ids import DataCentre, HostId
from catkinspan.state.metadata import json_name
from catkinspan.state.node import (
    RETRY_SLACK,
    HttpLimits,
    Interface,
    NodeSettings,
    RateWindow,
    TlsFiles,
)
from catkinspan.state.tree import Address

DEFAULT_OPERATORS = Address("127.0.0.1", 9900)
_MAX_HTTP_LIMIT = 1 << 30
_MAX_LINK_MBPS = 1e9
_MAX_RETRY_SLACK = 1e6


def parse_node_settings(
    text: str | bytes,
) -> Result[NodeSettings, tuple[SettingsFault, ...]]:
    """Return the validated settings of a host, or every fault found."""
    decoded = decode_json(text, "(document)")
    if isinstance(decoded, Err):
        return Err((decoded.err_value,))
    faults = FaultList()
    reader = ObjectReader(decoded.ok_value, "", faults)
    settings = _read_node(reader)
    reader.check_unread()
    if faults.faults:
        return Err(tuple(faults.faults))
    return Ok(settings)


def _read_node(reader: ObjectReader) -> NodeSettings:
    peers = reader.address("peers")
    return NodeSettings(
        host_id=HostId(reader.string("host_id")),
        data_centre=DataCentre(reader.string("data_centre")),
        callers=reader.address("callers"),
        operators=reader.address("operators", DEFAULT_OPERATORS),
        peers=peers,
        peer_address=reader.address("peer_address", peers),
        platform=reader.address("platform"),
        interface=reader.convert(
            "interface",
            Interface.CATKINSPAN,
            Interface,
            f"write one of {', '.join(Interface)}",
        ),
        seeds=_read_seeds(reader),
        ready=reader.address("ready") if reader.has("ready") else None,
        http=_read_http(reader.child("http")),
        drain=reader.duration_ms("drain_ms", timedelta(seconds=30)),
        drain_notice=reader.duration_ms("drain_notice_ms", timedelta(seconds=2)),
        callers_tls=_read_tls(reader, "callers_tls"),
        upstreams_tls=_read_tls(reader, "upstreams_tls"),
        peers_tls=_read_tls(reader, "peers_tls"),
        link_mbps=reader.number("link_mbps", 0.0, 0.0, _MAX_LINK_MBPS),
        rate_window=_read_rate_window(reader),
        retry_slack=reader.number("retry_slack", RETRY_SLACK, 0.0, _MAX_RETRY_SLACK),
        seed=_read_seed(reader),
    )


def _read_http(reader: ObjectReader) -> HttpLimits:
    values: dict[str, Any] = {}
    for attribute in fields(HttpLimits):
        name = json_name(attribute)
        if isinstance(attribute.default, timedelta):
            values[attribute.name] = reader.duration_ms(name, attribute.default)
        else:
            values[attribute.name] = reader.integer(
                name, attribute.default, 1, _MAX_HTTP_LIMIT
            )
    reader.check_unread()
    return HttpLimits(**values)


def _read_tls(reader: ObjectReader, name: str) -> TlsFiles | None:
    if not reader.has(name):
        return None
    child = reader.child(name)
    paths = {
        member: Path(child.string(member)) if child.has(member) else None
        for member in ("certificate", "key", "authority")
    }
    child.check_unread()
    if (paths["certificate"] is None) != (paths["key"] is None):
        remedy = "set both `certificate` and `key`, or neither"
        reader.add_fault(name, "only one of certificate and key is set", remedy)
    return TlsFiles(**paths)


def _read_seeds(reader: ObjectReader) -> tuple[Address, ...]:
    seeds = []
    for text in reader.strings("seeds"):
        parsed = parse_address(text)
        if isinstance(parsed, Err):
            reader.add_fault("seeds", parsed.err_value, 'write ["IP:PORT", ...]')
        else:
            seeds.append(parsed.ok_value)
    return tuple(seeds)


def _read_rate_window(reader: ObjectReader) -> RateWindow | None:
    if not reader.has("rate_window"):
        return None
    child, defaults = reader.child("rate_window"), RateWindow()
    window = RateWindow(
        length=child.duration_ms("length_ms", defaults.length),
        overshoot=child.number("overshoot", defaults.overshoot, 0.0, 10.0),
        slack=child.number("slack", defaults.slack, 0.0, 1e6),
    )
    child.check_unread()
    return window


def _read_seed(reader: ObjectReader) -> int | None:
    if not reader.has("seed"):
        return None
    return reader.integer("seed", None, 0, 1 << 62)
