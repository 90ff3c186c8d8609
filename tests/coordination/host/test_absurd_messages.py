"""A host survives well-formed messages with absurd values, and keeps its bounds."""

import gc
import types
from datetime import timedelta
from random import Random
from typing import Any

import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from catkinspan.coordination.configuration.models import Document, Snapshot
from catkinspan.coordination.const import TICK_SECONDS
from catkinspan.coordination.host.coordinator import (
    PEER_MESSAGES,
    HostCoordinator,
    HostIdentity,
)
from catkinspan.coordination.membership.models import Ack, Probe
from catkinspan.coordination.models import Origin, PeerMessage
from catkinspan.coordination.outbox import Outbox
from catkinspan.coordination.quarantine.models import CrashNews
from catkinspan.coordination.requests.models import Refused, RequestArrived
from catkinspan.protocol.peers.codec import PeerCodec
from catkinspan.protocol.settings.tree import TreeParser, split_documents
from catkinspan.state.hosts import ListedHost
from catkinspan.state.ids import HostId, RequestId, Revision
from catkinspan.state.tree import Address
from tests.absurd import messages, sample
from tests.fleet import KEY, node_settings, settings_tree

CODEC = PeerCodec(PEER_MESSAGES)
SENDERS = ("host-2", "host-3", "ghost")
INCARNATIONS = (0, 1, 1000, 2**53)


class Host:
    """One of three hosts, with its settings in force."""

    def __init__(self) -> None:
        nodes = [node_settings(i, Address("127.0.0.1", 1)) for i in range(3)]
        servers = {f"catalogue-{n}": Address("127.0.0.1", n) for n in (2, 3)}
        documents = split_documents(settings_tree(servers, nodes, 3)).unwrap()
        revision = Revision(5)
        own = nodes[0]
        listing = ListedHost(own.host_id, own.data_centre, own.peer_address)
        self.now = 100.0
        self.coordinator = HostCoordinator(
            HostIdentity(listing, 1000),
            TreeParser(),
            Outbox(),
            Random(1),
            100,
            self.now,
        )
        items = (Document(name, revision, text) for name, text in documents.items())
        self.coordinator.take_snapshot(Snapshot(revision, tuple(items)), self.now)
        self.run(6.0)

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / TICK_SECONDS)):
            self.now += TICK_SECONDS
            self.coordinator.tick(self.now)
            self.drain()

    def drain(self) -> list[object]:
        outbox = self.coordinator.outbox
        outbox.take_events()
        for envelope in outbox.take_envelopes():
            CODEC.encode(Origin(HostId("host-1"), 1), [envelope.message])
        return outbox.take_directives()

    def receive(self, sender: str, incarnation: int, messages: list[Any]) -> None:
        data = orjson.dumps([sender, incarnation, messages])
        frame = CODEC.decode(data).unwrap()
        for message in frame.messages:
            self.coordinator.handle(message, frame.origin, self.now)
        self.drain()


@settings(derandomize=True, max_examples=60, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(SENDERS),
            st.sampled_from(INCARNATIONS),
            st.lists(messages(absurd=True), min_size=1, max_size=6),
        ),
        max_size=6,
    )
)
def test_absurd_values_end_no_tick_and_no_request(
    frames: list[tuple[str, int, list[Any]]],
) -> None:
    """A fault in `tick` ends the host, so one bad peer could end the fleet."""
    host = Host()
    for sender, incarnation, sent in frames:
        host.receive(sender, incarnation, sent)
        host.run(TICK_SECONDS * 2)
    arrived = RequestArrived(
        RequestId("r1"),
        "GET",
        "a",
        "/suites/1",
        presented_key=KEY,
        deadline=timedelta(seconds=2),
    )
    host.coordinator.take_request(arrived, host.now)
    answers = host.drain()
    for _ in range(60):
        host.now += TICK_SECONDS
        host.coordinator.tick(host.now)
        answers += host.drain()
    ends = [a for a in answers if getattr(a, "request_id", None) == "r1"]
    assert ends, "the request hangs"
    assert not any(
        isinstance(a, Refused) and a.refusal.kind == "internal_error" for a in ends
    )


@pytest.mark.parametrize("sender", ["host-2", "ghost"])
@pytest.mark.parametrize(
    "cls", [c for c in PEER_MESSAGES if c not in (Probe, Ack, CrashNews)]
)
def test_invented_names_do_not_pile_up(cls: type[PeerMessage], sender: str) -> None:
    """A peer's messages with new names kept one object or more of each.

    Probes and acks introduce hosts up to MAX_MEMBERS; crash reports are kept up to
    MAX_FINGERPRINTS. Both bounds are tested with their concerns.
    """
    host = Host()
    sizes = []
    for batch in range(2):
        for number in range(150):
            serial = batch * 150 + number
            origin = sender if sender == "host-2" else f"ghost-{serial}"
            fields = sample(cls, f"new-{serial}")
            host.receive(origin, 1000, [[cls.__name__, fields]])
        host.run(0.1)
        sizes.append(count_objects(host.coordinator))
    assert sizes[1] - sizes[0] < 150


def count_objects(root: object) -> int:
    """Return the number of objects that can be reached from one."""
    seen: set[int] = set()
    stack = [root]
    while stack:
        item = stack.pop()
        if id(item) in seen or isinstance(item, type | types.ModuleType):
            continue
        seen.add(id(item))
        if not isinstance(item, types.FunctionType):
            stack.extend(gc.get_referents(item))
    return len(seen)
