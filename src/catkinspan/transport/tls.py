"""TLS contexts of a host, and the names that certificates must hold.

`tls_loading` checks all files and builds new contexts. A `TlsContexts` belongs to one
host; `replace` puts checked contexts in force for new connections, and open
connections go on with what they agreed on.
"""

import ssl
from collections.abc import Mapping, Sequence
from ipaddress import ip_address
from typing import Any

from attrs import fields, frozen

Certificate = Mapping[str, Any]
"""A verified certificate in the form of `ssl.SSLSocket.getpeercert`."""


class SettingsError(Exception):
    """Settings that cannot be used; each fault names its place and the remedy."""

    def __init__(self, faults: Sequence[object]) -> None:
        super().__init__(" | ".join(map(str, faults)))
        self.faults = faults


class WrongServerError(ConnectionError):
    """A server whose certificate names neither its address nor its id."""


class LiveContext(ssl.SSLContext):
    """A context that hands each new connection to the context in force.

    asyncio and grpclib keep the context that they were given. Both open a TLS
    connection by `wrap_bio`, so files can be replaced without closing a listener.
    """

    _current: ssl.SSLContext

    def __new__(cls, current: ssl.SSLContext) -> "LiveContext":
        """Create a context that stands for another one."""
        live = super().__new__(cls, current.protocol)
        live._current = current
        return live

    def replace(self, current: ssl.SSLContext) -> None:
        """Use another context for new connections."""
        self._current = current

    def wrap_bio(self, *args: Any, **kwargs: Any) -> ssl.SSLObject:
        """Begin a connection with the context in force."""
        return self._current.wrap_bio(*args, **kwargs)


@frozen
class TlsContexts:
    """The contexts of a host; None where the settings name no files."""

    callers: LiveContext | None = None
    upstreams: LiveContext | None = None
    peers_server: LiveContext | None = None
    peers_client: LiveContext | None = None
    peers_seed: LiveContext | None = None
    """For a peer that is known by its address only: any certified host will do."""

    def replace(self, other: "TlsContexts") -> None:
        """Put the contexts of another instance in force for new connections."""
        for attribute in fields(TlsContexts):
            mine, its = getattr(self, attribute.name), getattr(other, attribute.name)
            if mine is not None and its is not None:
                mine.replace(its._current)


def dns_names(certificate: Certificate | None) -> frozenset[str]:
    """Return the DNS names of a verified certificate; none without one."""
    names = (certificate or {}).get("subjectAltName", ())
    return frozenset(value for kind, value in names if kind == "DNS")


def check_server(certificate: Certificate | None, ip: str, server: str) -> None:
    """Raise WrongServerError unless a certificate names a server.

    The name is the server's IP address or its id. There are no wildcards.
    """
    names = (certificate or {}).get("subjectAltName", ())
    addresses = {ip_address(value) for kind, value in names if kind == "IP Address"}
    if ip_address(ip) in addresses or server in dns_names(certificate):
        return
    message = f"the certificate of {ip} names neither the address nor {server!r}"
    raise WrongServerError(f"{message}; issue it with one of them")
