"""Frames of other hosts decode to checked messages or to a typed error."""

import math
from typing import Any

import attrs
import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from catkinspan.coordination.claims.models import Answer, ClaimAnswer
from catkinspan.coordination.health.models import (
    HealthDigest,
    ReportAck,
    ServerEvidence,
    Signal,
)
from catkinspan.coordination.host.coordinator import PEER_MESSAGES
from catkinspan.coordination.membership.models import Place, Probe
from catkinspan.coordination.models import Origin
from catkinspan.coordination.quarantine.models import CrashNews
from catkinspan.protocol.peers.codec import MAX_FRAME_MESSAGES, PeerCodec
from catkinspan.state.ids import DataCentre, HostId, Revision, ServerId, ServiceId
from tests.absurd import messages

CODEC = PeerCodec(PEER_MESSAGES)
ORIGIN = Origin(HostId("host-2"), 7)
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
    return frame.messages, frame.unknown


@settings(derandomize=True, max_examples=60, deadline=None)
@given(st.binary(max_size=60) | json_values.map(orjson.dumps))
def test_nonsense_is_a_typed_error(data: bytes) -> None:
    result = CODEC.decode(data)
    assert result.is_ok() or str(result.unwrap_err()).startswith("malformed peer frame")


@settings(derandomize=True, max_examples=100, deadline=None)
@given(st.lists(messages(absurd=True), max_size=4))
def test_decoded_numbers_are_within_their_bounds(tagged: list[Any]) -> None:
    """Messages that passed could not be encoded again, or overflowed in sums."""
    decoded, unknown = decode(["host-2", 7, tagged])
    assert len(decoded) + unknown == len(tagged)
    for message in decoded:
        check_numbers(message)
        again = CODEC.decode(CODEC.encode(ORIGIN, [message])).unwrap()
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
        assert 0.0 <= value <= 1e12
    elif isinstance(value, int):
        assert 0 <= value < 2**64


@pytest.mark.parametrize(
    "tagged",
    [
        ["ReportAck", ["nan"]],
        ["ReportAck", ["1e400"]],
        ["ReportAck", [1e13]],
        ["ReportAck", [True]],
        ["Probe", ["9" * 400, 1, False, [], []]],
        ["Probe", [-1, 1, False, [], []]],
        ["Probe", [2**53 + 1, 1, False, [], []]],
        ["Probe", [1, 1, "yes", [], []]],
        ["Probe", [1, 1, False, [], [["host-9", "perth-1", "example.org", 80]]]],
        ["Probe", [1, 1, False, [], [["host-9", "perth-1", "127.0.0.1", 70000]]]],
        ["ClaimAnswer", [1, 2, 99, 0, []]],
        ["HealthDigest", ["s", 1.0, [["a", "no-signal", 1.0]], {}]],
        ["HealthDigest", ["s", 1.0, [["a", "slow", -1.0]], {}]],
        ["SlotAsk", ["s", [[1, "w", 1.0, 10**13, True, []]]]],
        ["NoSuchMessage", []],
        ["Probe"],
        None,
    ],
)
def test_absurd_message_is_left_out_and_the_next_one_kept(tagged: Any) -> None:
    """Text, signs and sizes that cattrs would convert reached the coordinators."""
    decoded, unknown = decode(["host-2", 7, [tagged, ["ReportAck", [1.5]]]])
    assert (decoded, unknown) == ((ReportAck(1.5),), 1)


@pytest.mark.parametrize("incarnation", [-1, 2**53 + 1, True, 1.0, None, "1"])
def test_head_with_an_absurd_incarnation_is_refused(incarnation: object) -> None:
    data = orjson.dumps(["host-2", incarnation, []])
    assert CODEC.decode(data).is_err()


def test_frame_of_very_many_messages_is_refused() -> None:
    """One frame of 4 MB could hold the host task for seconds."""
    many = [["ReportAck", [1.5]]] * (MAX_FRAME_MESSAGES + 1)
    assert CODEC.decode(orjson.dumps(["host-2", 7, many])).is_err()
    assert CODEC.decode(orjson.dumps(["host-2", 7, many[1:]])).is_ok()


def test_valid_messages_keep_their_types() -> None:
    sent = [
        HealthDigest(
            ServiceId("s"),
            1.0,
            (ServerEvidence(ServerId("a"), Signal.SLOW, 2.5),),
            {ServerId("a"): 3},
        ),
        ClaimAnswer(1, 2, Answer.FULL, 3, ((HostId("h"),),)),
        Probe(
            1,
            Revision(2),
            places=(Place(HostId("h"), DataCentre("d"), "127.0.0.1", 9),),
        ),
        CrashNews(),
    ]
    decoded = CODEC.decode(CODEC.encode(ORIGIN, sent)).unwrap()
    assert list(decoded.messages) == sent
    assert isinstance(decoded.messages[0].entries[0].signal, Signal)


def test_fields_at_their_default_cost_no_bytes() -> None:
    """Guards the budget for control: most probes carry no updates."""
    codec = PeerCodec([Probe])
    origin = Origin(HostId("h"), 1)
    data = codec.encode(origin, [Probe(7, Revision(12))])
    assert data == b'["h",1,[["Probe",[7,12]]]]'
    assert codec.decode(data).unwrap().messages == (Probe(7, Revision(12)),)
