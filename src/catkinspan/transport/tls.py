"""TLS contexts of a host, and checks of the names in certificates.

`tls_loading` checks all files and builds new contexts. Each host has one `TlsContexts`.
Its `replace` activates checked contexts for new connections; open connections keep
their negotiated session.
"""

import ssl
from collections.abc import Mapping, Sequence
from ipaddress import ip_address
from typing import Any

from attrs import fields, frozen

Certificate = Mapping[str, Any]
"""A verified certificate in the format of `ssl.SSLSocket.getpeercert`."""


class SettingsError(Exception):
    """Invalid settings; each fault names its location and the remedy."""

    def __init__(self, faults: Sequence[object]) -> None:
        super().__init__(" | ".join(map(str, faults)))
        self.faults = faults


class WrongServerError(ConnectionError):
    """A server's certificate names neither its address nor its id."""


class ReloadableContext(ssl.SSLContext):
    """A context that delegates each new connection to a replaceable context.

    asyncio and grpclib keep the context that they were given. Both open a TLS
    connection with `wrap_bio`, so certificates can be reloaded without closing a
    listener.
    """

    _current: ssl.SSLContext

    def __new__(cls, current: ssl.SSLContext) -> "ReloadableContext":
        """Create a context that delegates to `current`."""
        context = super().__new__(cls, current.protocol)
        context._current = current
        return context

    def replace(self, current: ssl.SSLContext) -> None:
        """Use another context for new connections."""
        self._current = current

    def wrap_bio(self, *args: Any, **kwargs: Any) -> ssl.SSLObject:
        """Start a connection with the current context."""
        return self._current.wrap_bio(*args, **kwargs)


@frozen
class TlsContexts:
    """The contexts of a host; None for a listener or client without TLS files."""

    callers: ReloadableContext | None = None
    upstreams: ReloadableContext | None = None
    peers_server: ReloadableContext | None = None
    peers_client: ReloadableContext | None = None
    peers_seed: ReloadableContext | None = None
    """For a peer that is known by its address only; accepts every certified host."""

    def replace(self, other: "TlsContexts") -> None:
        """Use the contexts of another instance for new connections."""
        for attribute in fields(TlsContexts):
            ours, theirs = getattr(self, attribute.name), getattr(other, attribute.name)
            if ours is not None and theirs is not None:
                ours.replace(theirs._current)


def dns_names(certificate: Certificate | None) -> frozenset[str]:
    """Return the DNS names of a verified certificate, if any."""
    names = (certificate or {}).get("subjectAltName", ())
    return frozenset(value for kind, value in names if kind == "DNS")


def verify_server_name(certificate: Certificate | None, ip: str, server: str) -> None:
    """Raise WrongServerError unless a certificate names a server.

    It must contain the server's IP address or its id; wildcards do not match.
    """
    names = (certificate or {}).get("subjectAltName", ())
    addresses = {ip_address(value) for kind, value in names if kind == "IP Address"}
    if ip_address(ip) in addresses or server in dns_names(certificate):
        return
    message = f"the certificate of {ip} names neither the address nor {server!r}"
    raise WrongServerError(f"{message}; issue it with one of them")
