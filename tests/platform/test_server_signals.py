"""Headers by which servers announce that they leave, or ask for a pause.

Guards against requests to a server that wants none, over sockets.
"""

import pytest

from catkinspan.platform.http import HTTP_NAMES
from catkinspan.protocol.http.upstream import ResponseInfo
from tests.platform.test_path import STAMP, make_response, running_platform


@pytest.mark.parametrize(
    ("value", "seconds"),
    [
        (b"3", 3.0),
        (b"0.25", 0.25),
        (b" 2 ", 2.0),
        (b"0", 0.0),
        (b"-3", None),
        (b"", None),
        (b"soon", None),
        (b"1e9", None),
        (b"nan", None),
        (b"inf", None),
        (b"9" * 400, None),
        (b"1.", None),
        (b"\xb2", None),
        (b"Sat, 05 Dec 2026 10:00:00 GMT", None),
    ],
)
def test_retry_after_is_read_only_as_seconds(
    value: bytes, seconds: float | None
) -> None:
    info = ResponseInfo.from_headers([(b"retry-after", value)], HTTP_NAMES)
    assert info.retry_after == seconds


@pytest.mark.parametrize(
    ("status", "extra"),
    [
        ("200 OK", STAMP),
        ("500 Fault", STAMP),
        ("503 Full", "X-Not-Executed: 1\r\n"),
        ("421 Misdirected Request", ""),
    ],
)
async def test_leaving_server_gets_no_further_request(status: str, extra: str) -> None:
    """The announcement counts in each answer, failures and rejections included."""
    async with running_platform(2) as running:
        for server in running.servers:
            server.script = lambda i, h: make_response(
                i, status, f"{extra}Server-Leaving: 1\r\n"
            )
        replies = [await running.send(f"/pufi791/{n}", "POST", b"x") for n in range(6)]
        heads = [len(server.heads) for server in running.servers]
    assert heads == [1, 1]
    assert replies[-1].status == 503
    assert "retry-after" in replies[-1].headers


async def test_server_that_asked_for_a_pause_gets_no_further_request() -> None:
    async with running_platform(2) as running:
        for server in running.servers:
            server.script = lambda i, h: make_response(
                i, "503 Full", "X-Not-Executed: 1\r\nRetry-After: 20\r\n"
            )
        replies = [await running.send(f"/pufi791/{n}", "POST", b"x") for n in range(6)]
        heads = [len(server.heads) for server in running.servers]
    assert heads == [1, 1]
    assert replies[-1].status == 503
    assert float(replies[-1].headers["retry-after"]) > 15


async def test_pause_ends_after_its_time() -> None:
    async with running_platform() as running:
        server = running.servers[0]
        server.script = lambda i, h: make_response(
            i, "503 Full", "X-Not-Executed: 1\r\nRetry-After: 0.3\r\n"
        )
        assert (await running.send("/pufi791/1", "POST", b"x")).status == 503
        server.script = lambda i, h: make_response(i)
        status = 0
        while status != 200:
            status = (await running.send("/pufi791/2", "POST", b"x")).status
    assert len(server.heads) == 2
