"""Reading and validation of the PEM files that TLS contexts are built from."""

from datetime import datetime
from enum import StrEnum
from pathlib import Path

from attrs import field, frozen
from cryptography import x509
from cryptography.exceptions import InvalidSignature, UnsupportedAlgorithm
from cryptography.hazmat.primitives.serialization import (
    Encoding,
    PublicFormat,
    load_pem_private_key,
)
from result import Err, Ok, Result


class TlsFaultKind(StrEnum):
    """Reasons why a TLS file cannot be used."""

    NOT_NAMED = "not_named"
    MISSING = "missing"
    UNREADABLE = "unreadable"
    MALFORMED = "malformed"
    MISMATCHED = "mismatched"
    EXPIRED = "expired"
    NOT_YET_VALID = "not_yet_valid"
    WRONG_NAME = "wrong_name"
    UNTRUSTED = "untrusted"


_REMEDIES = {
    TlsFaultKind.NOT_NAMED: "name a PEM file there, or remove the whole setting",
    TlsFaultKind.MISSING: "create the file or correct its path in the settings",
    TlsFaultKind.UNREADABLE: "let the process's user read the file",
    TlsFaultKind.MALFORMED: "write it in PEM, and a key without a password",
    TlsFaultKind.MISMATCHED: "install a certificate and its own key together",
    TlsFaultKind.EXPIRED: "install a renewed certificate",
    TlsFaultKind.NOT_YET_VALID: "check the clock, or install a valid certificate",
    TlsFaultKind.WRONG_NAME: "issue it with the host id as a DNS alternative name",
    TlsFaultKind.UNTRUSTED: "add the certificate that signed it to the authority file",
}


@frozen
class TlsFault:
    """A TLS file that cannot be used."""

    kind: TlsFaultKind
    setting: str
    """Name of the setting, such as ``peers_tls/key``."""

    path: Path | None
    """The file, or None if the setting names none."""

    detail: str = ""

    @property
    def remedy(self) -> str:
        """Return what an operator can do about the fault."""
        return _REMEDIES[self.kind]

    def __str__(self) -> str:
        """Return the fault and its remedy on one line."""
        kind = self.kind.replace("_", " ")
        detail = f" ({self.detail})" if self.detail else ""
        return f"{self.setting}: {self.path or 'file'} is {kind}{detail}; {self.remedy}"


@frozen
class PemFile:
    """A file that a setting names."""

    setting: str
    path: Path | None

    def fault(self, kind: TlsFaultKind, detail: object = "") -> TlsFault:
        """Create a fault for this file."""
        return TlsFault(kind, self.setting, self.path, str(detail))

    def read(self) -> Result[bytes, TlsFault]:
        """Return the file's content."""
        if self.path is None:
            return Err(self.fault(TlsFaultKind.NOT_NAMED))
        try:
            return Ok(self.path.read_bytes())
        except FileNotFoundError:
            return Err(self.fault(TlsFaultKind.MISSING))
        except OSError as error:
            return Err(self.fault(TlsFaultKind.UNREADABLE, error.strerror))
        except ValueError as error:  # The path contains a null byte.
            return Err(self.fault(TlsFaultKind.MISSING, error))

    def certificates(self) -> Result[list[x509.Certificate], TlsFault]:
        """Return the certificates in the file, at least one."""
        return self.read().and_then(self._parse_certificates)

    def _parse_certificates(
        self, data: bytes
    ) -> Result[list[x509.Certificate], TlsFault]:
        try:
            return Ok(x509.load_pem_x509_certificates(data))
        except ValueError:
            detail = "it contains no PEM certificate"
            return Err(self.fault(TlsFaultKind.MALFORMED, detail))


@frozen
class Identity:
    """A validated certificate with its chain and key."""

    certificate: PemFile
    key: PemFile
    chain: list[x509.Certificate] = field(repr=False)

    @property
    def leaf(self) -> x509.Certificate:
        """Return the certificate of the host itself."""
        return self.chain[0]


def load_identity(
    certificate: PemFile, key: PemFile, now: datetime
) -> Result[Identity, TlsFault]:
    """Check that the certificates are valid now and that the key matches."""
    chain = certificate.certificates()
    if isinstance(chain, Err):
        return chain
    for item in chain.ok_value:
        if fault := _validity_fault(certificate, item, now):
            return Err(fault)
    identity = Identity(certificate, key, chain.ok_value)
    return key.read().and_then(lambda data: _match_key(identity, data))


def _match_key(identity: Identity, data: bytes) -> Result[Identity, TlsFault]:
    try:
        private_key = load_pem_private_key(data, None)
    except (ValueError, TypeError, UnsupportedAlgorithm) as error:
        return Err(identity.key.fault(TlsFaultKind.MALFORMED, f"{error}"[:80]))
    encoding = Encoding.DER, PublicFormat.SubjectPublicKeyInfo
    public_key = identity.leaf.public_key().public_bytes(*encoding)
    if private_key.public_key().public_bytes(*encoding) != public_key:
        detail = f"it does not belong to {identity.certificate.path}"
        return Err(identity.key.fault(TlsFaultKind.MISMATCHED, detail))
    return Ok(identity)


def load_authority(
    file: PemFile, now: datetime
) -> Result[list[x509.Certificate], TlsFault]:
    """Return the certificates that are valid now; fails if there is none.

    During a rotation the file may hold an expired certificate beside its successor.
    """
    loaded = file.certificates()
    if isinstance(loaded, Err):
        return loaded
    faults = [_validity_fault(file, item, now) for item in loaded.ok_value]
    first = faults[0]
    if first is not None and None not in faults:
        return Err(first)
    pairs = zip(loaded.ok_value, faults, strict=True)
    return Ok([item for item, fault in pairs if fault is None])


def _validity_fault(
    file: PemFile, certificate: x509.Certificate, now: datetime
) -> TlsFault | None:
    not_after, not_before = (
        certificate.not_valid_after_utc,
        certificate.not_valid_before_utc,
    )
    if not_after < now:
        return file.fault(TlsFaultKind.EXPIRED, f"since {not_after:%Y-%m-%d %H:%M} UTC")
    if not_before > now:
        until = f"until {not_before:%Y-%m-%d %H:%M} UTC"
        return file.fault(TlsFaultKind.NOT_YET_VALID, until)
    return None


def check_peer_identity(
    identity: Identity, authority: list[x509.Certificate], host_id: str
) -> TlsFault | None:
    """Return why other hosts would reject this host's certificate, or None."""
    file = identity.certificate
    if host_id not in _dns_names(identity.leaf):
        return file.fault(TlsFaultKind.WRONG_NAME, f"it does not name {host_id!r}")
    issuers = [*identity.chain[1:], *authority]
    if not any(_is_issued_by(identity.leaf, issuer) for issuer in issuers):
        return file.fault(TlsFaultKind.UNTRUSTED, "the authority did not sign it")
    return None


def _dns_names(certificate: x509.Certificate) -> list[str]:
    try:
        names = certificate.extensions.get_extension_for_class(
            x509.SubjectAlternativeName
        )
    except (x509.ExtensionNotFound, ValueError):
        return []
    return names.value.get_values_for_type(x509.DNSName)


def _is_issued_by(certificate: x509.Certificate, issuer: x509.Certificate) -> bool:
    try:
        certificate.verify_directly_issued_by(issuer)
    except (ValueError, TypeError, InvalidSignature):
        return False
    return True
