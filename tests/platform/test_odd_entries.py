"""Odd entries of other writers on their way from the store to each host.

Guards against hosts that end, or that no longer follow the list of servers.
"""

import base64
import json
from collections.abc import Mapping
from datetime import timedelta
from typing import Any

import orjson
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from catkinspan.coordination.audit.texts import describe
from catkinspan.coordination.configuration.models import Changes, Document
from catkinspan.coordination.host.coordinator import PEER_MESSAGES
from catkinspan.coordination.models import Sender
from catkinspan.coordination.requests.models import RequestArrived
from catkinspan.platform.configuration import STORE_KEY_PREFIXES
from catkinspan.platform.store import PlatformStore
from catkinspan.protocol.peers.codec import PeerCodec
from catkinspan.state.ids import NO_REVISION, HostId, RequestId, Revision, ServerId
from catkinspan.state.tree import Address
from catkinspan.testing.hosts import VirtualFleet
from catkinspan.transport.http_client import FetchResponse
from tests.platform.entries import KEY, platform_fleet, server_entry
from tests.virtual_fleet import READY_SECONDS

ODD_NUMBERS = st.one_of(
    st.integers(min_value=-(10**40), max_value=10**40),
    st.floats(allow_nan=False, allow_infinity=False),
    st.sampled_from([0, 1, 2**31, 2**53, 2**53 + 1, 2**63, 2**64, 65535, 65536]),
)
ODD_VALUES = st.recursive(
    st.one_of(st.none(), st.booleans(), ODD_NUMBERS, st.text(max_size=20)),
    lambda inner: st.one_of(
        st.lists(inner, max_size=3), st.dictionaries(st.text(max_size=5), inner)
    ),
    max_leaves=8,
)
PATHS = (
    ("address",),
    ("born",),
    ("info",),
    ("info", "service"),
    ("info", "zone"),
    ("info", "slots"),
    ("status",),
    ("status", "state"),
    ("status", "sequence"),
    ("status", "warmup_left_ms"),
)
ODD_TEXTS = [
    "[" * 5000 + "]" * 5000,
    '{"info":' * 2000 + "1" + "}" * 2000,
    "1e999",
    '{"born": 1' + "0" * 5000 + "}",
    '{"address": "10.0.0.1:1' + "0" * 5000 + '"}',
    "\x00\ufffd",
    "",
    "null",
    "x" * 100_000,
]


def with_value(path: tuple[str, ...], value: Any) -> str:
    """Return an entry of a server with one odd value."""
    entry: dict[str, Any] = json.loads(server_entry(3))
    target = entry
    for name in path[:-1]:
        target = target[name]
    target[path[-1]] = value
    return json.dumps(entry)


def check_that_hosts_follow(fleet: VirtualFleet, text: str) -> None:
    """Store an odd entry, then another server; all hosts must use the latter."""
    fleet.store.put({"servers/odd": text})
    fleet.channel.run(fleet.channel.now + 0.5)
    fleet.store.put({"servers/i-9": server_entry(9)})
    fleet.channel.run(fleet.channel.now + 0.5)
    for host in fleet.hosts.values():
        upstreams = next(iter(host.coordinator.tree.services.values())).upstreams
        assert ServerId("i-9") in {upstream.id for upstream in upstreams}
        for event in host.events:
            orjson.dumps(describe(event).text)
        host.events.clear()
    fleet.store.put({"servers/i-9": None, "servers/odd": None})
    fleet.channel.run(fleet.channel.now + 0.5)


def running_fleet() -> VirtualFleet:
    fleet = platform_fleet(hosts=3, servers=3)
    fleet.channel.run(READY_SECONDS)
    return fleet


@pytest.mark.parametrize("text", ODD_TEXTS, ids=range(len(ODD_TEXTS)))
def test_hosts_follow_the_list_after_an_odd_text(text: str) -> None:
    check_that_hosts_follow(running_fleet(), text)


FLEETS: list[VirtualFleet] = []


@settings(
    max_examples=60,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
@given(path=st.sampled_from(PATHS), value=ODD_VALUES)
def test_hosts_follow_the_list_after_an_odd_value(
    path: tuple[str, ...], value: Any
) -> None:
    if not FLEETS:
        FLEETS.append(running_fleet())
    check_that_hosts_follow(FLEETS[0], with_value(path, value))


@settings(max_examples=200, deadline=None, derandomize=True)
@given(name=st.text(min_size=1, max_size=50), text=st.text(max_size=200))
def test_odd_document_reaches_peers_unchanged(name: str, text: str) -> None:
    document = Document(f"servers/{name}", Revision(7), text)
    codec = PeerCodec(PEER_MESSAGES)
    message = Changes(NO_REVISION, Revision(7), (document,))
    frame = codec.decode(codec.encode(Sender(HostId("a"), 1), [message])).unwrap()
    assert frame.messages == (message,)


def test_server_with_extreme_values_is_used_without_a_fault() -> None:
    """Guards against limits of an encoder between hosts."""
    entry = json.loads(server_entry(0))
    entry["info"]["slots"] = 10_000
    entry["status"].update(sequence=2**53, warmup_left_ms=3_600_000)
    entry["born"] = 2**53
    fleet = running_fleet()
    fleet.store.put({"servers/i-0": json.dumps(entry)})
    fleet.channel.run(fleet.channel.now + 1.0)
    for number in range(400):
        arrived = RequestArrived(
            RequestId(f"r-{number}"),
            "GET",
            "ficu95.example",
            "/lohu930/1",
            presented_key=KEY,
            deadline=timedelta(seconds=2),
        )
        fleet.submit_request(HostId("host-0"), arrived)
    fleet.channel.run(fleet.channel.now + 1.0)
    finished = fleet.hosts[HostId("host-0")].finished
    assert len(finished) > 300


def encoded(text: str) -> str:
    return base64.b64encode(text.encode()).decode()


GOOD = {"key": "servers/i-1", "revision": 5, "value": encoded("text")}
ODD_ITEMS: list[Any] = [
    7,
    None,
    {},
    {"key": 7, "revision": 5, "value": ""},
    {"key": "servers/\ud800", "revision": 5, "value": ""},
    {"key": "servers/a\nb", "revision": 5, "value": ""},
    {"key": "servers/" + "x" * 5000, "revision": 5, "value": ""},
]
UNREADABLE_ITEMS: list[Any] = [
    {"key": "servers/odd", "revision": 5},
    {"key": "servers/odd", "revision": 5, "value": 7},
    {"key": "servers/odd", "revision": 5, "value": "not base64!"},
    {"key": "servers/odd", "revision": "5", "value": encoded("")},
    {"key": "servers/odd", "revision": 10**30, "value": encoded("")},
    {"key": "servers/odd", "value": encoded("")},
]


def store_returning(items: list[Any], monkeypatch: Any) -> PlatformStore:
    async def fetch(address: Address, target: str, timeout: float) -> FetchResponse:
        name = "items" if "range" in target else "events"
        body: Mapping[str, Any] = {name: items, "store_revision": 9}
        return FetchResponse(200, json.dumps(body).encode())

    monkeypatch.setattr("catkinspan.platform.store.async_fetch", fetch)
    return PlatformStore(Address("127.0.0.1", 1), STORE_KEY_PREFIXES[1:])


@pytest.mark.asyncio
@pytest.mark.parametrize("item", ODD_ITEMS, ids=range(len(ODD_ITEMS)))
async def test_item_without_a_usable_key_leaves_the_others(
    item: Any, monkeypatch: Any
) -> None:
    store = store_returning([item, GOOD], monkeypatch)
    snapshot = await store.async_read_all()
    assert [document.name for document in snapshot.documents] == ["servers/i-1"]
    changes = await store.async_watch(Revision(1))
    assert [document.name for document in changes.documents] == ["servers/i-1"]


@pytest.mark.asyncio
@pytest.mark.parametrize("item", UNREADABLE_ITEMS, ids=range(len(UNREADABLE_ITEMS)))
async def test_unreadable_item_names_no_server_and_leaves_the_others(
    item: Any, monkeypatch: Any
) -> None:
    store = store_returning([item, GOOD], monkeypatch)
    for documents in (
        (await store.async_read_all()).documents,
        (await store.async_watch(Revision(1))).documents,
    ):
        odd, good = documents
        assert (odd.text, good.text) == ("", "text")
        assert 5 <= odd.revision <= 9
