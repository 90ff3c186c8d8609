"""A stopping host takes payments that it does not let the servers finish.

Without trouble no process is stopped.
"""

import asyncio
import signal
import time

from harness import (
    BROKEN,
    GRACE_SECONDS,
    HELD,
    Answer,
    Client,
    Fleet,
    Message,
    Server,
    main,
    rule,
)

TIMEOUT_MS, DEADLINE_MS = 2500, 5000
WORK_SECONDS = 2.2
SENT_AFTER_SECONDS = (0.5, 1.5, 2.5, 3.2, 3.4, 3.5, 3.6)
"""When the payments are sent, counted from SIGTERM."""

EXCUSED_UNTIL_SECONDS = 3.0
"""Requests that are sent no later may be cut in the last sixth of the grace period."""


async def case(fleet: Fleet, trouble: bool) -> int:
    """Stop both hosts of the zone and send payments meanwhile."""
    servers = [Server("accettazione", fleet.record) for _ in range(8)]
    rules = [rule("payment", "/payments/", "unsafe", "accettazione", TIMEOUT_MS)]
    await fleet.start(rules, servers)

    async def work(request: Message) -> None:
        await asyncio.sleep(WORK_SECONDS)

    for server in servers:
        server.work = work
    await asyncio.sleep(3.5)
    stopped_at = time.time()
    if trouble:
        for host in fleet.hosts:
            host.send_signal(signal.SIGTERM)
    payments = [
        asyncio.create_task(_pay(fleet, front, stopped_at + seconds))
        for seconds in SENT_AFTER_SECONDS
        for front in (host.front for host in fleet.hosts)
    ]
    answers = [answer for answer in await asyncio.gather(*payments) if answer]
    runs = {run.request_id: run for server in servers for run in server.runs}
    lost = 0
    for answer in answers:
        run = runs.get(answer.request_id)
        sent_after = answer.sent_at - stopped_at
        ended_after = answer.ended_at - stopped_at
        held_ms = (answer.ended_at - answer.sent_at) * 1000
        is_lost = (
            answer.message is None or not answer.message.complete
        ) and run is not None
        is_excused = (
            sent_after <= EXCUSED_UNTIL_SECONDS
            or held_ms >= TIMEOUT_MS
            or ended_after > GRACE_SECONDS + 1.0
        )
        if is_lost and not is_excused:
            lost += 1
            fleet.record.add(
                f"lost: {answer.request_id}, sent {sent_after:.2f} s after SIGTERM, at "
                f"work at {run.server if run else '-'}, cut after {held_ms:.0f} ms"
            )
    fleet.record.add(f"{len(answers)} payments were taken, {lost} of them lost")
    return BROKEN if lost else HELD


async def _pay(fleet: Fleet, front: str, at: float) -> Answer | None:
    """Send a payment on a new connection; None if the host accepts none."""
    await asyncio.sleep(max(0.0, at - time.time()))
    client = Client(fleet.record)
    try:
        await client.connect(front)
    except OSError:
        fleet.record.add(f"{front} accepts no connection")
        return None
    answer = await client.request(
        "POST", fleet.host, "/payments/1", DEADLINE_MS, b"x" * 1200
    )
    client.close()
    return answer


if __name__ == "__main__":
    main(__file__, 2, case)
