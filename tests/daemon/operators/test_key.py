"""Tests of ``catkinspan key``: keys are strong and never given as an argument."""

import hashlib
import json
from io import StringIO

import pytest

from catkinspan.daemon.cli import main
from catkinspan.daemon.cli.key import KEY_BYTES


def test_new_keys_differ_and_match_their_entry(capsys: pytest.CaptureFixture) -> None:
    keys = set()
    for _ in range(3):
        assert main(["key", "new", "--id", "k"]) == 0
        printed = capsys.readouterr()
        key = printed.err.strip().rpartition(" ")[2]
        entry = {"id": "k", "sha256": hashlib.sha256(key.encode()).hexdigest()}
        assert json.loads(printed.out) == entry
        keys.add(key)
    assert len(keys) == 3
    assert KEY_BYTES * 8 >= 128


def test_hash_reads_standard_input(
    capsys: pytest.CaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    key = "a-key-with-enough-characters"
    monkeypatch.setattr("sys.stdin", StringIO(f"{key}\n"))
    assert main(["key", "hash"]) == 0
    printed = capsys.readouterr()
    entry = json.loads(printed.out)
    assert entry["sha256"] == hashlib.sha256(key.encode()).hexdigest()
    assert key not in printed.out + printed.err


@pytest.mark.parametrize(
    "key", ["", "short", "with a space in the middle of it", "é" * 30]
)
def test_weak_or_unusable_keys_are_refused_without_echo(
    key: str, capsys: pytest.CaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("sys.stdin", StringIO(f"{key}\n"))
    assert main(["key", "hash"]) == 1
    printed = capsys.readouterr()
    assert "catkinspan key new" in printed.err
    assert not key or key not in printed.err


def test_key_as_an_argument_is_refused() -> None:
    with pytest.raises(SystemExit) as ended:
        main(["key", "hash", "a-key-on-the-command-line"])
    assert ended.value.code == 64
