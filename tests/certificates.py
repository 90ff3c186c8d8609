"""Certificates issued by the tests."""

import ssl
from datetime import UTC, datetime, timedelta
from ipaddress import ip_address
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.hazmat.primitives.serialization import (
    Encoding,
    NoEncryption,
    PrivateFormat,
)
from cryptography.x509.oid import NameOID

from catkinspan.state.node import TlsFiles

DAY = timedelta(days=1)
LOOPBACK = "127.0.0.1"


class Authority:
    """A certificate authority that writes its certificates to a folder."""

    def __init__(self, folder: Path, name: str = "authority") -> None:
        self.folder = folder
        self.path = folder / f"{name}.pem"
        self._key = ec.generate_private_key(ec.SECP256R1())
        self._name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
        constraint = x509.BasicConstraints(ca=True, path_length=None)
        builder = self._builder(self._name, self._key, days=1)
        builder = builder.add_extension(constraint, critical=True)
        self.certificate = builder.sign(self._key, hashes.SHA256())
        self.path.write_bytes(self.certificate.public_bytes(Encoding.PEM))

    def issue(self, file: str, *names: str, days: float = 1) -> TlsFiles:
        """Write a certificate for DNS names and IP addresses.

        It expires after `days`; a negative number issues an expired one.
        """
        key = ec.generate_private_key(ec.SECP256R1())
        subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, file)])
        builder = self._builder(subject, key, days)
        if names:
            general = x509.SubjectAlternativeName(
                [_general_name(name) for name in names]
            )
            builder = builder.add_extension(general, critical=False)
        certificate = builder.sign(self._key, hashes.SHA256())
        path, key_path = self.folder / f"{file}.pem", self.folder / f"{file}.key"
        path.write_bytes(certificate.public_bytes(Encoding.PEM))
        key_format = PrivateFormat.PKCS8, NoEncryption()
        key_path.write_bytes(key.private_bytes(Encoding.PEM, *key_format))
        return TlsFiles(path, key_path, self.path)

    def caller(self) -> ssl.SSLContext:
        """Return a TLS context for a caller that trusts this authority."""
        context = ssl.create_default_context(cafile=str(self.path))
        context.set_alpn_protocols(["h2", "http/1.1"])
        return context

    def _builder(
        self, subject: x509.Name, key: ec.EllipticCurvePrivateKey, days: float
    ) -> x509.CertificateBuilder:
        now = datetime.now(UTC)
        return (
            x509.CertificateBuilder()
            .subject_name(subject)
            .issuer_name(self._name)
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - 10 * DAY)
            .not_valid_after(now + days * DAY)
        )


def server_context(files: TlsFiles) -> ssl.SSLContext:
    """Return a TLS context for a stand-in server."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    assert files.certificate is not None
    context.load_cert_chain(files.certificate, files.key)
    return context


def _general_name(name: str) -> x509.GeneralName:
    try:
        return x509.IPAddress(ip_address(name))
    except ValueError:
        return x509.DNSName(name)
