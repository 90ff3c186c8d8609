"""A server that came and went while a host was cut off stays in use for good.

Without trouble the same server comes and goes, and the host is not cut off.
"""

import asyncio
import time

from harness import BROKEN, HELD, Client, Fleet, Message, Server, main, rule

CUT_SECONDS = 5.5
CONTACT_SECONDS = 3.0
DRAIN_SECONDS = 2.0
PAYMENTS = 9
"""Payments that are sent at once: more than the other servers have slots."""

STAY_SECONDS = 9.0
"""How long the server serves on after its entry was removed."""


async def case(fleet: Fleet, trouble: bool) -> int:
    """Add and remove a server during a cut, and look for requests to it afterwards."""
    servers = [Server("accettazione", fleet.record) for _ in range(2)]
    rules = [rule("payment", "/payments/", "unsafe", "accettazione", 2500)]
    await fleet.start(rules, servers)
    guest = Server("accettazione", fleet.record)
    await guest.start(f"{fleet.network}.150")

    async def work(request: Message) -> None:
        await asyncio.sleep(0.25)

    for server in (*servers, guest):
        server.work = work
    await asyncio.sleep(3.5)
    cut_at = time.time()
    if trouble:
        fleet.link.cut()
    await asyncio.sleep(1.0)
    await fleet.store.put(f"servers/{guest.id}", guest.entry("tirano"))
    fleet.record.add(f"the store acknowledged that {guest.id} is ready")
    await asyncio.sleep(4.0)
    await fleet.store.put(f"servers/{guest.id}", None)
    gone_at = time.time()
    fleet.record.add(f"the store acknowledged that {guest.id} is gone")
    await asyncio.sleep(max(0.0, cut_at + CUT_SECONDS - time.time()))
    if trouble:
        fleet.link.heal()
    await asyncio.sleep(max(0.0, cut_at + CUT_SECONDS + CONTACT_SECONDS - time.time()))
    fleet.record.add("the host is in touch")
    in_touch_at = time.time()
    while time.time() < gone_at + STAY_SECONDS:
        await asyncio.gather(*(_pay(fleet) for _ in range(PAYMENTS)))
        await asyncio.sleep(0.1)
    late = [
        run
        for run in guest.runs
        if run.started_at > max(gone_at + DRAIN_SECONDS, in_touch_at)
    ]
    for run in late:
        seconds = run.started_at - gone_at
        text = f"late: {run.request_id} ran {seconds:.2f} s after it was gone"
        fleet.record.add(text)
    payments = [asyncio.create_task(_pay(fleet)) for _ in range(PAYMENTS)]
    await asyncio.sleep(0.1)
    guest.stop()
    fleet.record.add(f"{guest.id} has ended")
    await asyncio.gather(*payments)
    fleet.record.add(f"{len(late)} requests reached the server that was gone")
    return BROKEN if late else HELD


async def _pay(fleet: Fleet) -> None:
    client = Client(fleet.record)
    await client.connect(fleet.hosts[0].front)
    await client.request("POST", fleet.host, "/payments/1", 5000, b"x" * 1200)
    client.close()


if __name__ == "__main__":
    main(__file__, 1, case)
