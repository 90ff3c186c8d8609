"""Settings of one host, read from its file at start."""

from datetime import timedelta
from pathlib import Path
from typing import Any

from attrs import Attribute, field, frozen

from catkinspan.state.ids import DataCentre, HostId
from catkinspan.state.tree import Address


def node_setting(default: Any, unit: str, description: str, json: str = "") -> Any:
    """Declare one host setting with its unit and its name in JSON."""
    metadata = {"unit": unit, "description": description, "json": json}
    return field(default=default, metadata=metadata)


def node_json_name(attribute: "Attribute[Any]") -> str:
    """Return the name of a host setting in JSON."""
    return attribute.metadata["json"] or attribute.name


@frozen
class TlsFiles:
    """PEM files of one listener or one kind of outgoing connection."""

    certificate: Path | None = None
    key: Path | None = None
    authority: Path | None = None
    """Certificates that sign the other side's certificate."""


@frozen
class HttpLimits:
    """Limits of the callers' listener."""

    header_bytes: int = node_setting(32 * 1024, "bytes", "Largest request head.")
    header_timeout: timedelta = node_setting(
        timedelta(seconds=10),
        "ms",
        "Longest time for a request head to arrive.",
        "header_timeout_ms",
    )
    body_timeout: timedelta = node_setting(
        timedelta(seconds=30),
        "ms",
        "Longest wait for the next piece of a body, and for a slow reader.",
        "body_timeout_ms",
    )
    idle_timeout: timedelta = node_setting(
        timedelta(seconds=60), "ms", "Life of an idle connection.", "idle_timeout_ms"
    )
    max_connections: int = node_setting(4000, "connections", "Connections at once.")
    max_requests: int = node_setting(2000, "requests", "Requests running or queued.")


@frozen
class NodeSettings:
    """What a host learns at start."""

    host_id: HostId
    data_centre: DataCentre
    callers: Address
    """Listener for callers."""

    operators: Address
    """Listener for operators; loopback by default."""

    peers: Address
    """Listener for other hosts."""

    peer_address: Address
    """Address under which other hosts reach the peers' listener."""

    platform: Address
    """The platform's configuration service."""

    http: HttpLimits = HttpLimits()
    drain: timedelta = timedelta(seconds=30)
    """Longest time for running requests to finish after SIGTERM."""

    drain_notice: timedelta = timedelta(seconds=2)
    """Time between failing the balancer's check and refusing new connections."""

    callers_tls: TlsFiles | None = None
    upstreams_tls: TlsFiles | None = None
    peers_tls: TlsFiles | None = None
    probe_interval: timedelta | None = timedelta(seconds=5)
    """Time between two requests to each upstream's health endpoint; None for none."""

    seed: int | None = None
    """Seed of the host's random source; None for a random one."""
