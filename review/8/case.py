"""Two of twelve machines lose their path to the store as a server is removed."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness2 as h  # noqa: E402

HOSTS = 12
CUT_HOSTS = 2
LINKS = (100.0,) * CUT_HOSTS + (10.0,) * (HOSTS - CUT_HOSTS)
"""Bandwidths of the hosts in Mbit/s; those with wide links are cut."""
ZONE = "tirano"
SERVERS = 9
REMOVED = 1
CUT_TO_REMOVAL_SECONDS = 0.4
CUT_SECONDS = 5.5
DRAIN_SECONDS = 2.5
SERVES_ON_SECONDS = 6.0
PAUSE_SECONDS = 0.06

arrivals: list[tuple[float, str, str]] = []
"""Time, server and host of each request that reached a server."""


async def handle(server: h.Server, connection: h.Connection, head: h.Message) -> bool:
    """Answer after a short time."""
    host = head.headers["x-request-id"].split(".")[0]
    arrivals.append((asyncio.get_running_loop().time(), server.id, host))
    server.runs.append(head.headers["x-request-id"])
    await asyncio.sleep(0.01)
    await connection.answer(head, b"a" * 400)
    return True


async def client(host: h.HostProcess, record: h.Record) -> None:
    """Send one request after the other to a host."""
    connection = None
    number = 0
    while True:
        number += 1
        try:
            if connection is None:
                connection = await asyncio.open_connection("127.0.0.1", host.port)
            reader, writer = connection
            id_ = f"{host.name}.{number}"
            writer.write(h.request_head("POST", "/order/1", id_))
            async with asyncio.timeout(3):
                answer = await h.read_answer(reader)
            if answer.status != 200:
                record(f"client: {id_}: {answer.status}")
            if answer.headers.get("connection") == "close":
                writer.close()
                connection = None
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            record(f"client: {host.name}.{number}: {error!r}")
            connection = None
        await asyncio.sleep(PAUSE_SECONDS)


async def case(record: h.Record, fleet: h.Fleet) -> bool:
    """Return whether no request reached a removed server too late."""
    loop = asyncio.get_running_loop()
    quiet = h.Record.quiet()
    servers = [
        h.Server(f"i-{n}", "orders", handle, quiet, zone=ZONE) for n in range(SERVERS)
    ]
    rules = [h.route("order", "unsafe", "orders")]
    configuration = h.configuration(7, rules, ["orders"])
    await fleet.start(servers, configuration, HOSTS, LINKS, (ZONE,))
    await asyncio.sleep(5)
    clients = [asyncio.create_task(client(host, record)) for host in fleet.hosts]
    await asyncio.sleep(3)
    cut = [host.name for host in fleet.hosts[:CUT_HOSTS]] if h.TROUBLE else []
    for name in cut:
        fleet.relays[name].cut()
    record(f"cut from the store: {cut}")
    await asyncio.sleep(CUT_TO_REMOVAL_SECONDS)
    removed = {}
    for server in servers[:REMOVED]:
        await fleet.store.put(f"servers/{server.id}", None)
        removed[server.id] = loop.time()
        record(f"the store has acknowledged that {server.id} is gone")
    await asyncio.sleep(CUT_SECONDS - CUT_TO_REMOVAL_SECONDS)
    for name in cut:
        fleet.relays[name].heal()
    record("the cut is healed")
    await asyncio.sleep(SERVES_ON_SECONDS - CUT_SECONDS)
    for task in clients:
        task.cancel()
    late = 0
    for at, server_id, host_name in arrivals:
        if server_id in removed and host_name not in cut and at > removed[server_id]:
            after = at - removed[server_id]
            record(f"{server_id} got a request of {host_name} {after:.3f} s later")
            late += after > DRAIN_SECONDS
    record(f"{late} requests of machines in touch came later than {DRAIN_SECONDS} s")
    return late == 0


if __name__ == "__main__":
    h.run_case(case, FOLDER)
