"""Building of TLS contexts from the files that a host's settings name.

Separate from `tls`, so that a host without TLS does not load the certificate library.
"""

import ssl
from datetime import datetime

from attrs import evolve
from cryptography import x509
from cryptography.hazmat.primitives.serialization import Encoding
from result import Err, Ok, Result

from catkinspan.state.ids import HostId
from catkinspan.state.node import NodeSettings, TlsFiles
from catkinspan.transport.tls import ReloadableContext, SettingsError, TlsContexts
from catkinspan.transport.tls_files import (
    Identity,
    PemFile,
    TlsFault,
    TlsFaultKind,
    check_peer_identity,
    load_authority,
    load_identity,
)

CALLERS_ALPN = ["http/1.1"]
PEERS_ALPN = ["h2"]

BuiltContext = Result[ssl.SSLContext, TlsFault]


class TlsSettingsError(SettingsError):
    """TLS files that cannot be used."""


def load_tls(
    settings: NodeSettings, now: datetime
) -> Result[TlsContexts, tuple[TlsFault, ...]]:
    """Build the contexts that a host's settings require, or return all faults.

    `now` is the wall-clock time at which certificates must be valid.
    """
    results: dict[str, BuiltContext] = {}
    if files := settings.callers_tls:
        results["callers"] = _callers_context(files, now)
    if files := settings.upstreams_tls:
        results["upstreams"] = _upstreams_context(files, now)
    if files := settings.peers_tls:
        host_id = settings.host_id
        results["peers_server"] = _peers_context(files, host_id, now, True)
        results["peers_client"] = _peers_context(files, host_id, now, False)
        seed = _peers_context(files, host_id, now, False)
        results["peers_seed"] = seed.map(_without_hostname_check)
    contexts = TlsContexts()
    faults: list[TlsFault] = []
    for name, result in results.items():
        if isinstance(result, Ok):
            contexts = evolve(contexts, **{name: ReloadableContext(result.ok_value)})
        elif result.err_value not in faults:
            faults.append(result.err_value)
    return Err(tuple(faults)) if faults else Ok(contexts)


def _callers_context(files: TlsFiles, now: datetime) -> BuiltContext:
    context = _new_context(ssl.PROTOCOL_TLS_SERVER, CALLERS_ALPN)
    added = _add_identity(context, files, "callers_tls", now)
    if isinstance(added, Err) or files.authority is None:
        return added.map(lambda _: context)
    context.verify_mode = ssl.CERT_REQUIRED
    return _add_authority(context, files, "callers_tls", now).map(lambda _: context)


def _upstreams_context(files: TlsFiles, now: datetime) -> BuiltContext:
    context = _new_context(ssl.PROTOCOL_TLS_CLIENT, CALLERS_ALPN)
    # `verify_server_name` compares the names instead: a certificate may name the
    # server's id or its address, while OpenSSL checks a single name.
    context.check_hostname = False
    added = _add_authority(context, files, "upstreams_tls", now)
    if isinstance(added, Err):
        return added
    if files.certificate is None and files.key is None:
        return Ok(context)
    return _add_identity(context, files, "upstreams_tls", now).map(lambda _: context)


def _peers_context(
    files: TlsFiles, host_id: HostId, now: datetime, server: bool
) -> BuiltContext:
    protocol = ssl.PROTOCOL_TLS_SERVER if server else ssl.PROTOCOL_TLS_CLIENT
    context = _new_context(protocol, PEERS_ALPN)
    context.verify_mode = ssl.CERT_REQUIRED
    # A resumed session skips certificate verification, so a peer could still connect
    # after a rotation has removed its authority.
    context.options |= ssl.OP_NO_TICKET
    if server:
        context.num_tickets = 0
    identity = _add_identity(context, files, "peers_tls", now)
    if isinstance(identity, Err):
        return identity
    authority = _add_authority(context, files, "peers_tls", now)
    if isinstance(authority, Err):
        return authority
    fault = check_peer_identity(identity.ok_value, authority.ok_value, host_id)
    return Ok(context) if fault is None else Err(fault)


def _add_identity(
    context: ssl.SSLContext, files: TlsFiles, setting: str, now: datetime
) -> Result[Identity, TlsFault]:
    certificate = PemFile(f"{setting}/certificate", files.certificate)
    key = PemFile(f"{setting}/key", files.key)
    identity = load_identity(certificate, key, now)
    if isinstance(identity, Err):
        return identity
    assert files.certificate is not None
    try:
        # The empty password stops OpenSSL from prompting for one on the terminal.
        context.load_cert_chain(files.certificate, files.key, password="")
    except (OSError, ValueError) as error:
        return Err(certificate.fault(TlsFaultKind.MALFORMED, f"{error}"[:80]))
    return identity


def _add_authority(
    context: ssl.SSLContext, files: TlsFiles, setting: str, now: datetime
) -> Result[list[x509.Certificate], TlsFault]:
    file = PemFile(f"{setting}/authority", files.authority)
    authority = load_authority(file, now)
    if isinstance(authority, Err):
        return authority
    der = [item.public_bytes(Encoding.DER) for item in authority.ok_value]
    try:
        context.load_verify_locations(cadata=b"".join(der))
    except ssl.SSLError as error:
        return Err(file.fault(TlsFaultKind.MALFORMED, f"{error}"[:80]))
    return authority


def _without_hostname_check(context: ssl.SSLContext) -> ssl.SSLContext:
    """Accept every certificate of the authority, whichever host it names."""
    context.check_hostname = False
    return context


def _new_context(protocol: int, alpn: list[str]) -> ssl.SSLContext:
    context = ssl.SSLContext(protocol)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.hostname_checks_common_name = False
    context.set_alpn_protocols(alpn)
    return context
