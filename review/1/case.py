"""An unsafe request whose path lacks the slash of a safe route's prefix runs twice.

Without trouble the servers deliver all answers. With it, some servers lose the answers
of a part of the requests that they ran.
"""

import asyncio
import random

from harness import BROKEN, HELD, Client, Fleet, Message, Server, main, rule

RULES = [
    rule("deposits", "/repairs/", "unsafe", "accettazione", 2500),
    rule("deposit", "/repairs/deposits/", "safe", "accettazione", 2000),
]
TARGETS = ("/repairs/deposits", "/repairs/labels")
"""Of the two prefixes, only that of the unsafe route begins these paths."""

REQUESTS = 80
LOST_SHARE = 0.4
SERVERS, LOSING_SERVERS = 5, 3


async def case(fleet: Fleet, trouble: bool) -> int:
    """Send unsafe requests and count the runs of each."""
    servers = [Server("accettazione", fleet.record) for _ in range(SERVERS)]
    await fleet.start(RULES, servers)
    await asyncio.sleep(3.5)
    rng = random.Random(1)

    async def lose_answer(request: Message) -> None:
        await asyncio.sleep(0.02)
        if rng.random() < LOST_SHARE:
            raise ConnectionResetError

    if trouble:
        for server in servers[:LOSING_SERVERS]:
            server.work = lose_answer
    for number in range(REQUESTS):
        client = Client(fleet.record)
        await client.connect(rng.choice(fleet.hosts).front)
        target = TARGETS[number % len(TARGETS)]
        body = b"%01200d" % number
        await client.request("POST", fleet.host, target, 5000, body)
        client.close()
        await asyncio.sleep(0.015)
    await asyncio.sleep(1.0)
    ids = [run.request_id for server in servers for run in server.runs]
    twice = {id_ for id_ in ids if ids.count(id_) > 1}
    for server in servers:
        for run in server.runs:
            if run.request_id in twice:
                text = f"ran more than once: {run.request_id} {run.target}"
                fleet.record.add(f"{text} at {run.server}")
    fleet.record.add(f"{len(set(ids))} unsafe requests ran, {len(twice)} of them twice")
    return BROKEN if twice else HELD


if __name__ == "__main__":
    main(__file__, 2, case)
