"""A server that has left is used on after hubs froze.

Without trouble no machine freezes.
"""

import asyncio
import random
import signal
import time

from harness import BROKEN, HELD, CaseError, Client, Fleet, Message, Server, main, rule

HOSTS, FROZEN_HOSTS = 40, 4
ROUNDS = 2
FREEZE_SECONDS = 3.5
DRAIN_SECONDS = 2.0
STAY_SECONDS = 2.6
"""How long the server serves on after its entry was removed."""

PAY_SECONDS = 4.0
"""How long payments are sent after that."""


async def case(fleet: Fleet, trouble: bool) -> int:
    """Freeze the hubs as a server leaves, and look for requests that reach it late."""
    servers = [Server("accettazione", fleet.record) for _ in range(8)]
    rules = [rule("payment", "/payments/", "unsafe", "accettazione", 2500)]
    await fleet.start(rules, servers)

    async def work(request: Message) -> None:
        await asyncio.sleep(0.1)

    for server in servers:
        server.work = work
    late = 0
    for number in range(ROUNDS):
        await asyncio.sleep(7.0)
        late += await _freeze_hubs(fleet, servers[number], trouble)
    return BROKEN if late else HELD


async def _freeze_hubs(fleet: Fleet, leaving: Server, trouble: bool) -> int:
    """Return how many requests reached the leaving server too late."""
    ranks = {host.name: await host.rank() for host in fleet.hosts}
    hubs = [host for host in fleet.hosts if ranks[host.name] < FROZEN_HOSTS]
    others = [host for host in fleet.hosts if host not in hubs]
    if len(hubs) != FROZEN_HOSTS:
        raise CaseError(f"the ranks are {ranks}")
    await _wait_before_watch_ends(fleet)
    if trouble:
        for hub in hubs:
            hub.send_signal(signal.SIGSTOP)
    frozen_at = time.time()
    await fleet.store.put(f"servers/{leaving.id}", None)
    gone_at = time.time()
    fleet.record.add(f"the store acknowledged that {leaving.id} is gone")
    clients = [
        asyncio.create_task(_pay_until(fleet, others, gone_at)) for _ in range(8)
    ]
    await asyncio.sleep(max(0.0, gone_at + STAY_SECONDS - time.time()))
    leaving.stop()
    fleet.record.add(f"{leaving.id} has ended")
    await asyncio.sleep(max(0.0, frozen_at + FREEZE_SECONDS - time.time()))
    if trouble:
        for hub in hubs:
            hub.send_signal(signal.SIGCONT)
    await asyncio.gather(*clients)
    limit = gone_at + DRAIN_SECONDS
    late = [run for run in leaving.runs if run.started_at > limit]
    for run in late:
        seconds = run.started_at - gone_at
        text = f"late: {run.request_id} ran {seconds:.2f} s after it was gone"
        fleet.record.add(f"{text}, {run.ended}")
    lost = sum(run.ended == "dropped" for run in late)
    text = f"{len(late)} requests reached the server that was gone"
    fleet.record.add(f"{text}, {lost} of them ended with it")
    return len(late)


async def _wait_before_watch_ends(fleet: Fleet) -> None:
    """Wait until the one host that watches the store is about to hear from it.

    A change ends its watch. The next one begins 0.1 s later and lasts 1 s.
    """
    server = fleet.servers[-1]
    await fleet.store.put(f"servers/{server.id}", server.entry("tirano"))
    await asyncio.sleep(0.02)
    await asyncio.sleep(max(0.0, fleet.store.answered_at + 1.07 - time.time()))


async def _pay_until(fleet: Fleet, hosts: list, gone_at: float) -> None:
    while time.time() < gone_at + PAY_SECONDS:
        client = Client(fleet.record)
        await client.connect(random.choice(hosts).front)
        await client.request("POST", fleet.host, "/payments/1", 5000, b"x" * 1200)
        client.close()


if __name__ == "__main__":
    main(__file__, HOSTS, case)
