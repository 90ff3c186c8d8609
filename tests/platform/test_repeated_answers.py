"""Answers that a faulty server writes once more on a kept connection.

Guards against an answer to another request, and against a false "not run".
"""

import pytest

from tests.platform.test_path import RunningPlatform, make_response, running_platform

NOT_RUN = [
    ("503 Full", "X-Not-Executed: 1\r\n"),
    ("429 Many", "X-Not-Executed: 1\r\n"),
    ("400 Bad", "X-Not-Executed: 1\r\n"),
    ("421 Misdirected Request", ""),
]


def without_id(response: str) -> str:
    lines = response.split("\r\n")
    return "\r\n".join(li for li in lines if not li.startswith("X-Request-Id"))


async def use_connection(running: RunningPlatform) -> None:
    """Leave a connection that has carried a request."""
    assert (await running.send("/pufi791/1", "POST", b"x")).status == 200
    assert running.servers[0].connections == 1


@pytest.mark.parametrize(("status", "extra"), NOT_RUN)
async def test_rejection_without_an_id_on_a_kept_connection_proves_nothing(
    status: str, extra: str
) -> None:
    async with running_platform() as running:
        await use_connection(running)
        running.servers[0].script = lambda i, h: without_id(
            make_response(i, status, extra)
        )
        reply = await running.send("/pufi791/2", "POST", b"x")
        heads = len(running.servers[0].heads)
    assert reply.status == 502
    assert heads == 2


@pytest.mark.parametrize(("status", "extra"), NOT_RUN)
async def test_rejection_of_another_request_is_skipped(status: str, extra: str) -> None:
    async with running_platform() as running:
        await use_connection(running)
        running.servers[0].script = lambda i, h: (
            make_response("earlier", status, extra) + make_response(i, body="right")
        )
        reply = await running.send("/pufi791/2", "POST", b"x")
    assert (reply.status, reply.body) == (200, b"right")


async def test_success_without_an_id_on_a_kept_connection_is_not_passed_on() -> None:
    async with running_platform() as running:
        await use_connection(running)
        running.servers[0].script = lambda i, h: without_id(
            make_response(i, body="earlier")
        )
        reply = await running.send("/pufi791/2", "POST", b"x")
    assert reply.status == 502
    assert b"earlier" not in reply.body


@pytest.mark.parametrize(("status", "extra"), NOT_RUN[:1])
async def test_rejection_without_an_id_on_a_new_connection_is_believed(
    status: str, extra: str
) -> None:
    """No earlier answer can arrive on a connection without an earlier request."""
    async with running_platform() as running:
        running.servers[0].script = lambda i, h: without_id(
            make_response(i, status, extra)
        )
        reply = await running.send("/pufi791/2", "POST", b"x")
    assert reply.status == 503


async def test_retry_at_the_same_server_uses_a_new_connection() -> None:
    """A second copy of the first rejection would have the id of the retry."""
    async with running_platform() as running:
        server = running.servers[0]
        answers = iter(["503 Full", "200 OK"])

        def answer(request_id: str, head: str) -> str:
            status = next(answers)
            extra = "X-Not-Executed: 1\r\n" if status.startswith("503") else None
            if extra is None:
                return make_response(request_id, status)
            return make_response(request_id, status, extra)

        server.script = answer
        reply = await running.send("/pufi791/2", "POST", b"x")
    assert reply.status == 200
    assert (len(server.heads), server.connections) == (2, 2)
