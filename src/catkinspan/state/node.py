"""Settings of one host, read from its file at start."""

from datetime import timedelta
from pathlib import Path
from typing import Any

from attrs import NOTHING, Attribute, field, frozen

from catkinspan.state.ids import DataCentre, HostId
from catkinspan.state.tree import Address


def node_setting(
    default: Any, unit: str, description: str, json: str = "", shown_default: str = ""
) -> Any:
    """Declare one host setting with its unit and its name in JSON.

    `shown_default` tells of a default that the reader of the file fills in.
    """
    metadata = {
        "unit": unit,
        "description": description,
        "json": json,
        "shown_default": shown_default,
    }
    return field(default=default, metadata=metadata)


def node_json_name(attribute: "Attribute[Any]") -> str:
    """Return the name of a host setting in JSON."""
    return attribute.metadata["json"] or attribute.name


@frozen
class TlsFiles:
    """PEM files of one listener or one kind of outgoing connection."""

    certificate: Path | None = node_setting(
        None, "path", "Own certificate with its chain.", shown_default="left out"
    )
    key: Path | None = node_setting(
        None, "path", "Private key of the certificate.", shown_default="left out"
    )
    authority: Path | None = node_setting(
        None,
        "path",
        "Certificates that sign the other side's certificate.",
        shown_default="left out",
    )


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

    host_id: HostId = node_setting(
        NOTHING, "", "Name of the host, as in the platform's host list."
    )
    data_centre: DataCentre = node_setting(
        NOTHING, "", "Data centre of the host, as in the host list."
    )
    callers: Address = node_setting(NOTHING, "IP:PORT", "Listener for callers.")
    operators: Address = node_setting(
        NOTHING,
        "IP:PORT",
        "Listener for operators; it has no authentication, so keep it on loopback.",
        shown_default="127.0.0.1:9900",
    )
    peers: Address = node_setting(NOTHING, "IP:PORT", "Listener for other hosts.")
    peer_address: Address = node_setting(
        NOTHING,
        "IP:PORT",
        "Address under which other hosts reach the peers' listener.",
        shown_default="the value of `peers`",
    )
    platform: Address = node_setting(
        NOTHING, "IP:PORT", "The platform's configuration service."
    )
    http: HttpLimits = node_setting(
        HttpLimits(), "", "Limits of the callers' listener, see below."
    )
    drain: timedelta = node_setting(
        timedelta(seconds=30),
        "ms",
        "Longest time for running requests to finish after SIGTERM.",
        "drain_ms",
    )
    drain_notice: timedelta = node_setting(
        timedelta(seconds=2),
        "ms",
        "Time between failing the balancer's check and refusing new connections.",
        "drain_notice_ms",
    )
    callers_tls: TlsFiles | None = node_setting(
        None,
        "",
        "Files of the callers' listener, see below; left out for plain HTTP.",
        shown_default="left out",
    )
    upstreams_tls: TlsFiles | None = node_setting(
        None,
        "",
        "Files for connections to upstreams, see below; left out for plain HTTP.",
        shown_default="left out",
    )
    peers_tls: TlsFiles | None = node_setting(
        None,
        "",
        "Files for traffic between hosts, see below; left out for plain TCP.",
        shown_default="left out",
    )
    probe_interval: timedelta | None = node_setting(
        timedelta(seconds=5),
        "ms",
        "Time between two requests to each upstream's health endpoint; null for none.",
        "probe_interval_ms",
    )
    seed: int | None = node_setting(
        None,
        "",
        "Seed of the host's random source; left out for a random one.",
        shown_default="left out",
    )
