"""``catkinspan key``: create keys of callers and the entries to publish."""

import argparse
import hashlib
import secrets
import sys

import orjson

from catkinspan.daemon.cli.common import Subparsers
from catkinspan.daemon.cli.const import EXIT_FAILED, EXIT_OK

KEY_BYTES = 32
"""256 random bits; at least 128 are required."""

MIN_KEY_CHARS = 22
"""Length of 128 bits in base64."""

MAX_KEY_CHARS = 4096


def add_parser(subparsers: Subparsers) -> None:
    """Add the command with its two subcommands."""
    parser = subparsers.add_parser(
        "key",
        help="create a key, or the hash entry of a key",
        description="Keys are published as SHA-256 hashes only. A key is never given "
        "on the command line, where other users and the shell history can see it.",
    )
    subcommands = parser.add_subparsers(dest="kind", required=True)
    new_parser = subcommands.add_parser(
        "new",
        help="print a random key and its hash entry",
        description="Print a random key on standard error, for the workspace, and "
        "the entry to publish on standard output.",
    )
    new_parser.set_defaults(run=run_new)
    hash_parser = subcommands.add_parser(
        "hash",
        help="print the hash entry of a key from standard input",
        description="Read a key from standard input, without its line end, and print "
        "the entry to publish.",
    )
    hash_parser.set_defaults(run=run_hash)
    for subparser in (new_parser, hash_parser):
        subparser.add_argument(
            "--id", default="key-1", help="id of the key in the tree"
        )


def run_new(args: argparse.Namespace) -> int:
    """Print a new key and its entry."""
    key = secrets.token_urlsafe(KEY_BYTES)
    print(f"key (give it to the workspace, it is not stored): {key}", file=sys.stderr)
    print(hash_entry(args.id, key))
    return EXIT_OK


def run_hash(args: argparse.Namespace) -> int:
    """Print the entry of the key on standard input."""
    text = sys.stdin.readline(MAX_KEY_CHARS + 2)
    key = text.rstrip("\r\n")
    fault = _key_fault(key)
    if fault:
        print(fault, file=sys.stderr)
        return EXIT_FAILED
    print(hash_entry(args.id, key))
    return EXIT_OK


def hash_entry(key_id: str, key: str) -> str:
    """Return the entry of a key for the settings tree."""
    digest = hashlib.sha256(key.encode()).hexdigest()
    return orjson.dumps({"id": key_id, "sha256": digest}).decode()


def _key_fault(key: str) -> str:
    if len(key) > MAX_KEY_CHARS:
        return (
            f"the key has more than {MAX_KEY_CHARS} characters; "
            "use `catkinspan key new`"
        )
    if len(key) < MIN_KEY_CHARS:
        return (
            f"the key has fewer than {MIN_KEY_CHARS} characters, too few for 128 "
            "random bits; use `catkinspan key new`"
        )
    if not key.isascii() or not key.isprintable() or " " in key:
        return (
            "the key has characters that a header cannot contain; "
            "use `catkinspan key new`"
        )
    return ""
