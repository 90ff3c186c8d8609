"""The complete request path over sockets, from caller to upstream."""

import asyncio
import http.client
import json
from typing import Any

import h11
import pytest

from catkinspan.standin.upstream import UpstreamFaults, UpstreamOptions
from tests.fleet import KEY, OTHER_KEY, Caller, Fleet, request, running_fleet

pytestmark = pytest.mark.asyncio(loop_scope="module")


async def test_request_and_response_pass_unchanged(fleet: Fleet) -> None:
    address = fleet.hosts[0].callers_address
    reply = await request(address, "/suites/7?size=a5")
    assert reply.status == 200
    assert json.loads(reply.body.rstrip(b"."))["target"] == "/suites/7?size=a5"
    assert reply.headers["x-request-id"]


async def test_standard_client_keeps_its_connection(fleet: Fleet) -> None:
    address = fleet.hosts[0].callers_address

    def exchange() -> list[int]:
        connection = http.client.HTTPConnection(address.ip, address.port, 10)
        statuses = []
        for method in ("GET", "HEAD", "POST", "GET"):
            body = b"x" * 100_000 if method == "POST" else None
            headers = {"Authorization": f"Bearer {KEY}"}
            connection.request(method, "/suites/1", body, headers)
            answer = connection.getresponse()
            answer.read()
            statuses.append(answer.status)
        connection.close()
        return statuses

    assert await asyncio.to_thread(exchange) == [200, 200, 200, 200]


async def test_large_body_streams_to_the_upstream(fleet: Fleet) -> None:
    address = fleet.hosts[0].callers_address
    reply = await request(address, "/suites/1", "POST", b"y" * 3_000_000)
    assert json.loads(reply.body.rstrip(b"."))["received_bytes"] == 3_000_000


async def test_chunked_body_and_chunked_answer(fleet: Fleet) -> None:
    caller = await Caller.connect(fleet.hosts[0].callers_address)
    headers = [
        ("Host", "fleet.example"),
        ("X-Api-Key", KEY),
        ("Transfer-Encoding", "chunked"),
    ]
    target = "/suites/chunked"
    caller.send(h11.Request(method="POST", target=target, headers=headers))
    for _ in range(3):
        caller.send(h11.Data(data=b"z" * 1000))
    caller.send(h11.EndOfMessage())
    reply = await caller.read_reply()
    assert (reply.status, reply.complete) == (200, True)
    assert json.loads(reply.body.rstrip(b"."))["received_bytes"] == 3000


async def test_large_answer_streams_in_chunks() -> None:
    options = UpstreamOptions("", "catalogue", 50, body_bytes=2_000_000)
    async with running_fleet(options=options) as fleet:
        address = fleet.hosts[0].callers_address
        for target in ("/suites/1", "/suites/chunked"):
            reply = await request(address, target)
            assert (reply.complete, len(reply.body)) == (True, 2_000_000)


async def test_expect_continue_comes_after_the_key_check(fleet: Fleet) -> None:
    address = fleet.hosts[0].callers_address
    for key, expected in ((KEY, 100), ("wrong", 401)):
        caller = await Caller.connect(address)
        headers = [
            ("Host", "a"),
            ("X-Api-Key", key),
            ("Content-Length", "4"),
            ("Expect", "100-continue"),
        ]
        caller.send(h11.Request(method="POST", target="/suites/1", headers=headers))
        event = await caller.next_event()
        assert event.status_code == expected
        if expected == 100:
            caller.send(h11.Data(data=b"data"), h11.EndOfMessage())
            assert (await caller.read_reply()).status == 200


@pytest.mark.parametrize(
    ("raw", "status"),
    [
        (b"GET /suites/1 HTTP/1.1\r\nHost: a b\r\n\r\n", 400),
        (b"GET /suites/1 HTTP/1.1\r\n\r\n", 400),
        (b"NONSENSE\r\n\r\n", 400),
        (
            b"POST /suites/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            400,
        ),
        (b"GET /suites/1 HTTP/1.1\r\nHost: a\r\nX: " + b"x" * 70_000, 431),
        (b"GET /suites/../prints HTTP/1.1\r\nHost: a\r\n\r\n", 400),
    ],
)
async def test_malformed_request_gets_a_typed_error(
    fleet: Fleet, raw: bytes, status: int
) -> None:
    """Guards against request smuggling and unbounded heads."""
    before = fleet.count_runs()
    caller = await Caller.connect(fleet.hosts[0].callers_address)
    caller.http.send(h11.Request(method="GET", target="/", headers=[("Host", "a")]))
    caller.http.send(h11.EndOfMessage())
    caller.writer.write(raw)
    reply = await caller.read_reply()
    assert (reply.status, reply.ran) == (status, "no")
    assert {"kind", "message", "remedy", "request_id"} == set(json.loads(reply.body))
    assert fleet.count_runs() == before


async def test_body_over_the_limit_is_refused_before_it_runs(fleet: Fleet) -> None:
    before = fleet.count_runs()
    address = fleet.hosts[0].callers_address
    reply = await request(address, "/small/1", "POST", b"b" * 1001)
    assert (reply.status, reply.ran) == (413, "no")
    assert fleet.count_runs() == before


async def test_hop_by_hop_headers_and_keys_are_not_forwarded(fleet: Fleet) -> None:
    """Guards against a caller's key or connection options reaching an upstream."""
    address = fleet.hosts[0].callers_address
    headers = [
        ("Connection", "x-private"),
        ("X-Private", "1"),
        ("Proxy-Authorization", "Basic eA=="),
        ("Cookie", f"session={KEY}"),
        ("X-Api-Key", KEY),
        ("X-Kept", "yes"),
    ]
    for target in ("/suites/1", "/public/1", f"/linked/1?a=b&key={KEY}"):
        reply = await request(address, target, headers=headers)
        assert reply.status == 200
    text = json.dumps(
        [[run.target, run.headers] for run in fleet.upstreams["catalogue-1"].runs]
    ).lower()
    assert KEY not in text
    assert "x-private" not in text
    assert "proxy-authorization" not in text
    assert text.count('"x-kept": "yes"') == 3


async def test_key_in_the_query_works_only_where_the_route_allows_it(
    fleet: Fleet,
) -> None:
    address = fleet.hosts[0].callers_address
    linked = await request(address, f"/linked/1?key={KEY}", key=None)
    assert linked.status == 200
    other = await request(address, f"/suites/1?key={KEY}", key=None)
    assert other.status == 401


@pytest.mark.parametrize(
    ("key", "kind"), [(None, "key_missing"), ("wrong", "key_unknown")]
)
async def test_missing_and_wrong_keys_are_refused(
    fleet: Fleet, key: str | None, kind: str
) -> None:
    before = fleet.count_runs()
    reply = await request(fleet.hosts[0].callers_address, "/suites/1", key=key)
    assert (reply.status, reply.ran) == (401, "no")
    assert json.loads(reply.body)["kind"] == kind
    assert fleet.count_runs() == before


async def test_withdrawn_key_ends_idle_and_streaming_connections() -> None:
    """Guards against a withdrawn key that still works on open connections."""
    options = UpstreamOptions("", "catalogue", 50)
    async with running_fleet(hosts=2, options=options) as fleet:
        idle = await Caller.connect(fleet.hosts[0].callers_address)
        idle.send_request("/suites/1")
        assert (await idle.read_reply()).status == 200
        fleet.upstreams["catalogue-1"].set_faults(UpstreamFaults(hang=True))
        running = await Caller.connect(fleet.hosts[1].callers_address)
        running.send_request("/suites/2")
        await fleet.wait_until(
            lambda: any("/suites/2" in r.target for r in _runs(fleet)),
        )
        fleet.upstreams["catalogue-1"].set_faults(UpstreamFaults())
        fleet.tree["workspaces"]["studio"]["keys"] = []
        await fleet.publish()
        # The running request was admitted while the key was valid. It ends by its own
        # timeout, since a reset would leave the caller without a response.
        reply = await running.read_reply()
        assert (reply.status, reply.ran) == (504, "maybe")
        assert reply.headers["connection"] == "close"
        assert await idle.reader.read() == b""
        for host in fleet.hosts:
            reply = await request(host.callers_address, "/suites/3")
            assert (reply.status, reply.ran) == (401, "no")
            other = await request(host.callers_address, "/suites/3", key=OTHER_KEY)
            assert other.status == 200


def _runs(fleet: object) -> list[object]:
    return [run for up in fleet.upstreams.values() for run in up.runs]  # type: ignore


async def test_change_reaches_a_host_that_cannot_read_the_platform() -> None:
    """Guards against changes that reach only the hosts that read the platform."""
    async with running_fleet(hosts=3) as fleet:
        fleet.tree["services"]["catalogue"]["routes"]["new"] = {
            "match": {"path_prefix": "/new"}
        }
        await fleet.publish()
        await fleet.wait_revision(fleet.platform.revision)
        for host in fleet.hosts:
            assert (await request(host.callers_address, "/new/1")).status == 200


async def test_rejected_configuration_changes_nothing() -> None:
    async with running_fleet() as fleet:
        good = dict(fleet.tree)
        fleet.tree = {**good, "fleet": {"max_hosts": -1}, "services": {}}
        await fleet.publish()
        await asyncio.sleep(0.3)
        address = fleet.hosts[0].callers_address
        assert (await request(address, "/suites/1")).status == 200
        fleet.tree = good
        fleet.tree["defaults"] = {"deadline_ms": 4000}
        await fleet.publish()
        await fleet.wait_revision(fleet.platform.revision)


async def test_body_of_many_small_chunks_arrives_whole() -> None:
    """Guards against a pause between chunks that never ends."""

    def long_deadline(tree: dict[str, Any]) -> None:
        tree["defaults"]["deadline_ms"] = 60_000

    async with running_fleet(edit_tree=long_deadline) as fleet:
        for count in (3000, 70_000):
            await send_small_chunks(fleet, count)


async def send_small_chunks(fleet: Fleet, count: int) -> None:
    headers = [
        ("Host", "fleet.example"),
        ("X-Api-Key", KEY),
        ("Transfer-Encoding", "chunked"),
    ]
    caller = await Caller.connect(fleet.hosts[0].callers_address)
    target = f"/suites/{count}"
    caller.send(h11.Request(method="POST", target=target, headers=headers))
    caller.writer.write(b"1\r\nz\r\n" * count + b"0\r\n\r\n")
    reply = await caller.read_reply()
    assert (reply.status, reply.complete) == (200, True)
    assert json.loads(reply.body.rstrip(b"."))["received_bytes"] == count
    caller.close()
