"""Settings of one host, read from its settings file at startup."""

from datetime import timedelta
from enum import StrEnum
from pathlib import Path

from attrs import NOTHING, frozen

from catkinspan.state.ids import DataCentre, HostId
from catkinspan.state.metadata import setting
from catkinspan.state.tree import Address


class Interface(StrEnum):
    """Header names and document formats in use on the wire."""

    CATKINSPAN = "catkinspan"
    """The built-in interface of catkinspan."""

    OPERATOR = "operator"
    """The interface of the operator platform, see docs/platform.md."""


@frozen
class TlsFiles:
    """PEM files for a listener or for one kind of outgoing connection."""

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
    """Limits of the listener for callers."""

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
class RateWindow:
    """Bound on the requests of a workspace that the fleet admits within a window."""

    length: timedelta = setting(
        timedelta(seconds=5), "ms", "Length of the window.", "length_ms"
    )
    overshoot: float = setting(0.25, "share", "Excess over rate and burst.")
    slack: float = setting(0.0, "requests", "Further excess.")


RETRY_SLACK = 60.0
"""Default of `NodeSettings.retry_slack`."""


@frozen
class NodeSettings:
    """Settings of a host that are read at startup."""

    host_id: HostId = setting(NOTHING, "", "Name of the host, unique in the fleet.")
    data_centre: DataCentre = setting(NOTHING, "", "Data centre of the host.")
    callers: Address = setting(NOTHING, "IP:PORT", "Listener for callers.")
    operators: Address = setting(
        NOTHING,
        "IP:PORT",
        "Listener for operators; it has no authentication, so keep it on loopback.",
        shown_default="127.0.0.1:9900",
    )
    peers: Address = setting(
        NOTHING, "IP:PORT", "Listener for other hosts, by TCP and UDP."
    )
    peer_address: Address = setting(
        NOTHING,
        "IP:PORT",
        "Address under which other hosts reach the peers' listener.",
        shown_default="the value of `peers`",
    )
    platform: Address = setting(NOTHING, "IP:PORT", "The platform's store.")
    interface: Interface = setting(
        Interface.CATKINSPAN,
        "",
        "What callers, upstreams and the store's documents speak: `catkinspan` or "
        "`operator`.",
    )
    seeds: tuple[Address, ...] = setting(
        (),
        "IP:PORT",
        "Peers' listeners of some hosts, to find the others; they may be down.",
        shown_default="none",
    )
    ready: Address | None = setting(
        None,
        "IP:PORT",
        "Listener for the balancer's check alone; left out for the callers' one.",
        shown_default="left out",
    )
    http: HttpLimits = setting(
        HttpLimits(), "", "Limits of the callers' listener, see below."
    )
    drain: timedelta = setting(
        timedelta(seconds=30),
        "ms",
        "Longest time from SIGTERM to the end of the process.",
        "drain_ms",
    )
    drain_notice: timedelta = setting(
        timedelta(seconds=2),
        "ms",
        "Time after SIGTERM in which the balancer still sends new connections.",
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
    link_mbps: float = setting(
        0.0,
        "Mbit/s",
        "Bandwidth of the host's network link; hosts with wide links become hubs.",
        shown_default="left out",
    )
    rate_window: RateWindow | None = setting(
        None,
        "",
        "Windowed bound of the rates, see below; left out for exact rates.",
        shown_default="left out",
    )
    retry_slack: float = setting(
        RETRY_SLACK,
        "retries",
        "Retries of the whole fleet for a service in 10 s, beyond its `retry_ratio`.",
    )
    seed: int | None = setting(
        None,
        "",
        "Seed of the host's random source; left out for a random one.",
        shown_default="left out",
    )

    @property
    def uses_tls(self) -> bool:
        """Return whether TLS is configured for any listener or connection."""
        return any((self.callers_tls, self.upstreams_tls, self.peers_tls))
