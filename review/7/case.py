"""A faulty server breaks off its error answers while a sound one has the request."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness2 as h  # noqa: E402

SERVERS = 25
FAULTY_SERVERS = 10
CLIENTS = 65
WARM_UP_SECONDS = 3.0
TROUBLE_SECONDS = 5.5
WORK_SECONDS = 0.2
FAULT_SECONDS = 0.53
FAULT_EVERY = 50
"""Of the answers of the faulty servers, 1 in 50 fails."""
PAUSE_SECONDS = 0.005

trouble: list[float] = []
"""Begin and end of the trouble on the clock of the event loop."""
answers_of_faulty: list[str] = []
running: dict[str, set[str]] = {}
"""Sound servers that work on a request, by its id."""
faults: list[str] = []


async def handle(server: h.Server, connection: h.Connection, head: h.Message) -> bool:
    """Answer after some time; faulty servers fail 1 in 50 requests."""
    id_ = head.headers["x-request-id"]
    server.runs.append(id_)
    now = asyncio.get_running_loop().time()
    if int(server.id[2:]) < FAULTY_SERVERS and trouble[0] <= now < trouble[1]:
        answers_of_faulty.append(id_)
        is_failure = len(answers_of_faulty) % FAULT_EVERY == 0
    else:
        is_failure = False
    if is_failure:
        await asyncio.sleep(FAULT_SECONDS)
        body = b"e" * 400
        faults.append(id_)
        start = h.answer_head(head, len(body), 500)
        if h.TROUBLE:
            start, body = h.answer_head(head, None, 500), b"not a chunk\r\n" + body
        connection.writer.write(start + body)
        server.record(f"server {server.id}: answers {id_} with 500")
        return not h.TROUBLE
    running.setdefault(id_, set()).add(server.id)
    try:
        work = asyncio.create_task(asyncio.sleep(WORK_SECONDS))
        gone = asyncio.create_task(connection.reader.read(1))
        await asyncio.wait({work, gone}, return_when=asyncio.FIRST_COMPLETED)
        if not work.done():
            server.record(f"server {server.id}: {id_} is cancelled while it runs")
            return False
        gone.cancel()
        await connection.answer(head, b"a" * 400)
        return True
    finally:
        running[id_].discard(server.id)


async def client(port: int, number: int, record: h.Record, cut: list[str]) -> None:
    """Send requests on one connection, and open another one after each loss."""
    connection = None
    count = 0
    while asyncio.get_running_loop().time() < trouble[1] + 1.0:
        kept = connection is not None
        if connection is None:
            connection = await asyncio.open_connection("127.0.0.1", port)
        reader, writer = connection
        count += 1
        id_ = f"c{number}-{count}"
        writer.write(h.request_head("GET", f"/look/{id_}", id_))
        try:
            async with asyncio.timeout(6):
                answer = await h.read_answer(reader)
            record(f"client: {id_}: {answer.status}")
            if answer.headers.get("connection") == "close":
                writer.close()
                connection = None
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
            at = sorted(running.get(id_, ()))
            record(f"client: {id_}: {error!r}, kept: {kept}, running at {at}")
            if kept and at:
                cut.append(id_)
            writer.close()
            connection = None
        await asyncio.sleep(PAUSE_SECONDS)


async def case(record: h.Record, fleet: h.Fleet) -> bool:
    """Return whether at most three requests were cut while a sound server ran them."""
    zones = ("tirano", "lecco", "chiavenna")
    servers = [
        h.Server(f"i-{n}", "parts", handle, record, zone=zones[n % 3])
        for n in range(SERVERS)
    ]
    rules = [h.route("look", "safe", "parts", 2000)]
    await fleet.start(servers, h.configuration(7, rules, ["parts"]))
    await asyncio.sleep(4)
    begin = asyncio.get_running_loop().time() + WARM_UP_SECONDS
    trouble.extend((begin, begin + TROUBLE_SECONDS))
    cut: list[str] = []
    port = fleet.hosts[0].port
    await asyncio.gather(*(client(port, n, record, cut) for n in range(CLIENTS)))
    record(f"{len(faults)} of {len(answers_of_faulty)} answers of faulty servers fail")
    record(f"{len(cut)} requests cut while a sound server ran them: {cut}")
    return len(cut) <= 3


if __name__ == "__main__":
    h.run_case(case, FOLDER)
