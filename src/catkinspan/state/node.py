"""Settings of one host, read from its file at start."""

from datetime import timedelta
from pathlib import Path

from attrs import NOTHING, frozen

from catkinspan.state.ids import DataCentre, HostId
from catkinspan.state.metadata import setting
from catkinspan.state.tree import Address


@frozen
class TlsFiles:
    """PEM files of one listener or one kind of outgoing connection."""

    certificate: Path | None = setting(
        None, "path", "Own certificate with its chain.", shown_default="left out"
    )
    key: Path | None = setting(
        None, "path", "Private key of the certificate.", shown_default="left out"
    )
    authority: Path | None = setting(
        None,
        "path",
        "Certificates that sign the other side's certificate.",
        shown_default="left out",
    )


@frozen
class HttpLimits:
    """Limits of the callers' listener."""

    header_bytes: int = setting(32 * 1024, "bytes", "Largest request head.")
    header_timeout: timedelta = setting(
        timedelta(seconds=10),
        "ms",
        "Longest time for a request head to arrive.",
        "header_timeout_ms",
    )
    body_timeout: timedelta = setting(
        timedelta(seconds=30),
        "ms",
        "Longest wait for the next piece of a body, and for a slow reader.",
        "body_timeout_ms",
    )
    idle_timeout: timedelta = setting(
        timedelta(seconds=60), "ms", "Life of an idle connection.", "idle_timeout_ms"
    )
    max_connections: int = setting(4000, "connections", "Connections at once.")
    max_requests: int = setting(2000, "requests", "Requests running or queued.")


@frozen
class NodeSettings:
    """What a host learns at start."""

    host_id: HostId = setting(
        NOTHING, "", "Name of the host, as in the platform's host list."
    )
    data_centre: DataCentre = setting(
        NOTHING, "", "Data centre of the host, as in the host list."
    )
    callers: Address = setting(NOTHING, "IP:PORT", "Listener for callers.")
    operators: Address = setting(
        NOTHING,
        "IP:PORT",
        "Listener for operators; it has no authentication, so keep it on loopback.",
        shown_default="127.0.0.1:9900",
    )
    peers: Address = setting(NOTHING, "IP:PORT", "Listener for other hosts.")
    peer_address: Address = setting(
        NOTHING,
        "IP:PORT",
        "Address under which other hosts reach the peers' listener.",
        shown_default="the value of `peers`",
    )
    platform: Address = setting(
        NOTHING, "IP:PORT", "The platform's configuration service."
    )
    http: HttpLimits = setting(
        HttpLimits(), "", "Limits of the callers' listener, see below."
    )
    drain: timedelta = setting(
        timedelta(seconds=30),
        "ms",
        "Longest time for running requests to finish after SIGTERM.",
        "drain_ms",
    )
    drain_notice: timedelta = setting(
        timedelta(seconds=2),
        "ms",
        "Time between failing the balancer's check and refusing new connections.",
        "drain_notice_ms",
    )
    callers_tls: TlsFiles | None = setting(
        None,
        "",
        "Files of the callers' listener, see below; left out for plain HTTP.",
        shown_default="left out",
    )
    upstreams_tls: TlsFiles | None = setting(
        None,
        "",
        "Files for connections to upstreams, see below; left out for plain HTTP.",
        shown_default="left out",
    )
    peers_tls: TlsFiles | None = setting(
        None,
        "",
        "Files for traffic between hosts, see below; left out for plain TCP.",
        shown_default="left out",
    )
    probe_interval: timedelta | None = setting(
        timedelta(seconds=5),
        "ms",
        "Time between two requests to each upstream's health endpoint; null for none.",
        "probe_interval_ms",
    )
    seed: int | None = setting(
        None,
        "",
        "Seed of the host's random source; left out for a random one.",
        shown_default="left out",
    )
