"""Frames from peers are decoded to validated messages or to a typed error."""

import base64
import math
import sys
import zlib
from collections.abc import Callable
from typing import Any

import attrs
import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from catkinspan.coordination.configuration.models import Changes as StoreChangesMessage
from catkinspan.coordination.configuration.models import Document, Freshness, Pull
from catkinspan.coordination.health.models import (
    HostCounts,
    ServerCounts,
    ServerState,
    ServerStates,
)
from catkinspan.coordination.host.coordinator import PEER_MESSAGES
from catkinspan.coordination.membership.models import Heartbeat, Roster, RosterEntry
from catkinspan.coordination.models import Sender
from catkinspan.coordination.quarantine.models import CrashNews
from catkinspan.coordination.rates.models import Levels, WorkspaceLevel
from catkinspan.protocol.peers.codec import (
    MAX_FRAME_BYTES,
    MAX_FRAME_MESSAGES,
    PeerCodec,
)
from catkinspan.state.hosts import HostRecord
from catkinspan.state.ids import DataCentre, HostId, Revision, ServerId, WorkspaceId
from catkinspan.state.tree import Address
from tests.absurd import messages

CODEC = PeerCodec(PEER_MESSAGES)
SENDER = Sender(HostId("host-2"), 7)
json_values = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**63), 2**64 - 1) | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=3), inner, max_size=3)
    ),
    max_leaves=6,
)


def decode(value: Any) -> tuple[tuple[Any, ...], int]:
    frame = CODEC.decode(orjson.dumps(value)).unwrap()
    return frame.messages, frame.skipped_count


@settings(derandomize=True, max_examples=60, deadline=None)
@given(st.binary(max_size=60) | json_values.map(orjson.dumps))
def test_arbitrary_input_is_a_typed_error(data: bytes) -> None:
    result = CODEC.decode(data)
    assert result.is_ok() or str(result.unwrap_err()).startswith("malformed peer frame")


@settings(derandomize=True, max_examples=100, deadline=None)
@given(st.lists(messages(include_invalid=True), max_size=4))
def test_decoded_numbers_are_within_their_bounds(tagged: list[Any]) -> None:
    """Guards against numbers out of range.

    Some could be decoded but not encoded again; others overflowed in sums.
    """
    decoded, skipped_count = decode(["host-2", 7, tagged])
    assert len(decoded) + skipped_count == len(tagged)
    for message in decoded:
        check_numbers(message)
        again = CODEC.decode(CODEC.encode(SENDER, [message])).unwrap()
        assert again.messages == (message,)


def check_numbers(value: Any) -> None:
    if attrs.has(type(value)):
        for field in attrs.fields(type(value)):
            check_numbers(getattr(value, field.name))
    elif isinstance(value, tuple):
        for item in value:
            check_numbers(item)
    elif isinstance(value, float):
        assert math.isfinite(value)
        assert -1e9 <= value <= 1e12
    elif isinstance(value, int):
        assert 0 <= value < 2**64


@pytest.mark.parametrize(
    "tagged",
    [
        ["Pull", ["7"]],
        ["Pull", [-1]],
        ["Pull", [2**53 + 1]],
        ["Pull", [True]],
        ["Pull", ["9" * 400]],
        ["Freshness", [1, 10**13]],
        ["Levels", [[["w", "nan", 1]]]],
        ["Levels", [[["w", 1e13, 1]]]],
        ["HostCounts", [[["s", -1, 0, 0, 0]]]],
        ["HostCounts", [[["s", 1, 0, 0]]]],
        ["ServerStates", [0, 1, 5, "AAAA"]],
        ["ServerStates", [0, 1, 5, "AAAAAAD/"]],
        ["ServerStates", [0, 1, 5, "!AAAAAAA"]],
        ["ServerStates", [0, 1, 5, [1, 0, 0.5]]],
        ["Heartbeat", [["h", "perth-1", ["example.org", 80], 1, False]]],
        ["Heartbeat", [["h", "perth-1", ["127.0.0.1", 70000], 1, False]]],
        ["Heartbeat", [["h", "perth-1", ["127.0.0.1", 80], 1, "yes"]]],
        ["NoSuchMessage", []],
        ["Pull"],
        None,
    ],
)
def test_invalid_message_is_skipped_and_the_next_one_kept(tagged: Any) -> None:
    """Guards against values of the wrong type, sign or size.

    By default cattrs converts or accepts them, so that they reached the coordinators.
    """
    decoded, skipped_count = decode(["host-2", 7, [tagged, ["Pull", [5]]]])
    assert (decoded, skipped_count) == ((Pull(Revision(5)),), 1)


@pytest.mark.parametrize("incarnation", [-1, 2**53 + 1, True, 1.0, None, "1"])
def test_head_with_an_invalid_incarnation_is_refused(incarnation: object) -> None:
    data = orjson.dumps(["host-2", incarnation, []])
    assert CODEC.decode(data).is_err()


def test_frame_of_very_many_messages_is_refused() -> None:
    """A single frame of 4 MB could block the host task for seconds."""
    many = [["Pull", [5]]] * (MAX_FRAME_MESSAGES + 1)
    assert CODEC.decode(orjson.dumps(["host-2", 7, many])).is_err()
    assert CODEC.decode(orjson.dumps(["host-2", 7, many[1:]])).is_ok()


def test_valid_messages_keep_their_types() -> None:
    record = HostRecord(HostId("h"), DataCentre("d"), Address("127.0.0.1", 9), 4)
    sent = [
        HostCounts((ServerCounts(ServerId("a"), 1, 0, 2, 3),)),
        ServerStates(4, 5, 1234, (ServerState(2**32 - 1, 3, 0.95),)),
        Heartbeat(record, hub_index=None),
        Roster((RosterEntry(record, 12),)),
        StoreChangesMessage(
            Revision(1), Revision(2), (Document("servers/a", Revision(2), None),)
        ),
        CrashNews(),
    ]
    decoded = CODEC.decode(CODEC.encode(SENDER, sent)).unwrap()
    assert list(decoded.messages) == sent


@pytest.mark.parametrize("level", [-3.5, 0.0, 7.25])
def test_level_may_be_negative(level: float) -> None:
    """Guards against an annotated float that is decoded as an integer.

    As a result, every host dropped the levels of a workspace that had run out of tokens
    and admitted only its own share.
    """
    sent = Levels((WorkspaceLevel(WorkspaceId("w"), level, 0.2),))
    decoded = CODEC.decode(CODEC.encode(SENDER, [sent])).unwrap()
    assert decoded.messages == (sent,)


def test_trailing_default_fields_are_omitted() -> None:
    """Limits control traffic: most heartbeats go to the primary hub, the default."""
    codec = PeerCodec([Freshness, Heartbeat])
    sender = Sender(HostId("h"), 1)
    record = HostRecord(HostId("h"), DataCentre("d"), Address("127.0.0.1", 9), 4)
    data = codec.encode(sender, [Heartbeat(record)])
    assert data == b'["h",1,[["Heartbeat",[["h","d",["127.0.0.1",9],4,false,0.0]]]]]'


def test_large_message_is_compressed() -> None:
    """Guards against copies of the settings that fill a hub's link for seconds."""
    text = "".join(f'"workspace-{n}": {{"rate": {n}}},' for n in range(1000))
    documents = (Document("catkinspan/workspaces/0", Revision(3), text),)
    sent = StoreChangesMessage(Revision(2), Revision(3), documents)
    data = CODEC.encode(SENDER, [sent])
    assert len(data) < len(text) / 2
    assert CODEC.decode(data).unwrap().messages == (sent,)


@pytest.mark.parametrize(
    "content",
    [
        base64.b64encode(zlib.compress(b" " * (MAX_FRAME_BYTES + 1))).decode(),
        base64.b64encode(zlib.compress(b'["Pull",[5]]')[:-3]).decode(),
        base64.b64encode(zlib.compress(b"5")).decode(),
        "?",
        5,
    ],
    ids=["too large", "cut off", "no message", "no base64", "no text"],
)
def test_invalid_compressed_message_is_skipped(content: object) -> None:
    """Guards against a small frame that takes all memory when it is decompressed."""
    assert decode(["host-2", 7, [["Z", content]]]) == ((), 1)


def test_message_to_many_peers_is_encoded_once() -> None:
    """A hub sends the same states to every follower; encoding took most of its time."""
    codec = PeerCodec(PEER_MESSAGES)
    message = HostCounts((ServerCounts(ServerId("a"), 1, 0, 2, 3),))
    first = codec.encode(SENDER, [message])
    assert codec.encode(SENDER, [message]) == first
    other = codec.encode(SENDER, [HostCounts(())])
    assert other != first


CALLS_PER_OBJECT = 4
"""Python functions that may build one object, beside those that check its values."""

MAX_CALLS_PER_FRAME = 50
"""Python functions beside those for the objects of a message."""


def count_calls(run: Callable[[], object]) -> int:
    """Return the number of Python functions that `run` calls."""
    calls = 0

    def count(frame: Any, event: str, argument: Any) -> None:
        nonlocal calls
        calls += event == "call"

    sys.setprofile(count)
    try:
        run()
    finally:
        sys.setprofile(None)
    return calls


def test_each_value_of_a_message_is_converted_by_one_call() -> None:
    """Guards against conversion rules that are looked up again for every value."""

    def counts(servers: int) -> HostCounts:
        return HostCounts(
            tuple(ServerCounts(ServerId(f"s{n}"), 1, 0, 2, 3) for n in range(servers))
        )

    objects = 100
    values = objects * len(attrs.fields(ServerCounts))
    codec = PeerCodec(PEER_MESSAGES)
    codec.decode(codec.encode(SENDER, [counts(2)]))
    sent = [counts(objects)]
    encoding = count_calls(lambda: codec.encode(SENDER, sent))
    data = codec.encode(SENDER, sent)
    decoding = count_calls(lambda: codec.decode(data))
    assert encoding <= values
    assert decoding <= values + CALLS_PER_OBJECT * objects


def test_states_of_servers_are_decoded_with_one_call_each() -> None:
    """Guards against arithmetic on each state that a hub sends to all followers."""
    servers = 100
    states = tuple(ServerState(n, 2, 0.05 * (n % 20)) for n in range(servers))
    data = CODEC.encode(SENDER, [ServerStates(4, 5, 1234, states)])
    CODEC.decode(data)
    calls = count_calls(lambda: CODEC.decode(data))
    assert calls <= servers + MAX_CALLS_PER_FRAME


@pytest.mark.parametrize("steps", [21, 255])
def test_states_with_a_risk_above_one_are_skipped(steps: int) -> None:
    states = base64.b64encode(b"\0\0\0\7" + bytes([2, steps])).decode()
    assert decode(["host-2", 7, [["ServerStates", [4, 5, 1234, states]]]]) == ((), 1)
