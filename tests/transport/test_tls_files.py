"""Guards against TLS faults that name no file or remedy, and partly loaded files."""

import os
from collections.abc import Callable
from datetime import UTC, datetime
from pathlib import Path

import pytest
from attrs import evolve

from catkinspan.state.node import NodeSettings, TlsFiles
from catkinspan.state.tree import Address
from catkinspan.transport.tls_files import TlsFaultKind
from catkinspan.transport.tls_loading import load_tls
from tests.certificates import LOOPBACK, Authority
from tests.fleet import free_addresses, node_settings

Corruption = Callable[[Authority, TlsFiles], TlsFiles]


@pytest.fixture
def authority(tmp_path: Path) -> Authority:
    return Authority(tmp_path)


@pytest.fixture
def settings() -> NodeSettings:
    return node_settings(0, Address(LOOPBACK, 1), free_addresses(1))


def key_of_another_certificate(authority: Authority, files: TlsFiles) -> TlsFiles:
    return evolve(files, key=authority.issue("other", "host-1").key)


def authority_of_another_fleet(authority: Authority, files: TlsFiles) -> TlsFiles:
    return evolve(files, authority=Authority(authority.folder, "stranger").path)


def invalid_pem(part: str) -> Corruption:
    def corrupt(authority: Authority, files: TlsFiles) -> TlsFiles:
        path = authority.folder / f"garbage-{part}"
        path.write_bytes(b"\x00no PEM\xff")
        return evolve(files, **{part: path})

    return corrupt


def missing_file(part: str) -> Corruption:
    return lambda authority, files: evolve(
        files, **{part: authority.folder / "absent.pem"}
    )


@pytest.mark.parametrize(
    ("part", "corrupt", "kind"),
    [
        ("certificate", missing_file("certificate"), TlsFaultKind.MISSING),
        ("key", missing_file("key"), TlsFaultKind.MISSING),
        ("authority", missing_file("authority"), TlsFaultKind.MISSING),
        ("certificate", invalid_pem("certificate"), TlsFaultKind.MALFORMED),
        ("key", invalid_pem("key"), TlsFaultKind.MALFORMED),
        ("authority", invalid_pem("authority"), TlsFaultKind.MALFORMED),
        ("key", lambda a, f: evolve(f, key=a.folder), TlsFaultKind.UNREADABLE),
        (
            "key",
            lambda _, f: evolve(f, key=Path("a\x00b")),
            TlsFaultKind.MISSING,
        ),
        ("key", key_of_another_certificate, TlsFaultKind.MISMATCHED),
        ("authority", lambda _, f: evolve(f, authority=None), TlsFaultKind.NOT_NAMED),
        ("certificate", authority_of_another_fleet, TlsFaultKind.UNTRUSTED),
        (
            "certificate",
            lambda a, _: a.issue("old", "host-1", days=-1),
            TlsFaultKind.EXPIRED,
        ),
        (
            "certificate",
            lambda a, _: a.issue("wild", "host-2", "*.host-1"),
            TlsFaultKind.WRONG_NAME,
        ),
    ],
)
def test_fault_names_file_and_remedy(
    authority: Authority,
    settings: NodeSettings,
    part: str,
    corrupt: Corruption,
    kind: TlsFaultKind,
) -> None:
    files = corrupt(authority, authority.issue("host-1", "host-1"))
    loaded = load_tls(evolve(settings, peers_tls=files), datetime.now(UTC))
    (fault,) = loaded.unwrap_err()
    path = getattr(files, part)
    assert (fault.kind, fault.setting, fault.path) == (kind, f"peers_tls/{part}", path)
    assert str(path or "file") in str(fault)
    assert str(fault).endswith(fault.remedy)


def test_file_that_the_user_may_not_read(
    authority: Authority, settings: NodeSettings
) -> None:
    files = authority.issue("host-1", LOOPBACK)
    assert files.key is not None
    files.key.chmod(0)
    loaded = load_tls(evolve(settings, callers_tls=files), datetime.now(UTC))
    if os.geteuid() == 0:  # The superuser can read the file regardless of its mode.
        assert loaded.is_ok()
    else:
        assert loaded.unwrap_err()[0].kind is TlsFaultKind.UNREADABLE


def test_expired_authority_beside_its_successor_is_ignored(
    authority: Authority, settings: NodeSettings
) -> None:
    """Guards against a rotation that fails when the old authority expires."""
    files = authority.issue("host-1", "host-1")
    old = authority.issue("old", days=-1)
    assert old.certificate is not None
    assert files.authority is not None
    with files.authority.open("ab") as authority_file:
        authority_file.write(old.certificate.read_bytes())
    loaded = load_tls(evolve(settings, peers_tls=files), datetime.now(UTC))
    assert loaded.is_ok()


def test_settings_without_tls_build_no_context(settings: NodeSettings) -> None:
    contexts = load_tls(settings, datetime.now(UTC)).unwrap()
    assert contexts.callers is contexts.upstreams is contexts.peers_server is None
