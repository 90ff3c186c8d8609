"""Restarts of processes after keys were withdrawn and servers have left.

Guards against a key or a server that is in use again after a restart.
"""

import json

import pytest

from catkinspan.coordination.requests.errors import RefusalKind
from catkinspan.coordination.requests.models import RequestArrived
from catkinspan.state.ids import HostId, RequestId
from catkinspan.testing.hosts import VirtualFleet
from tests.platform.entries import KEY, configuration, platform_fleet
from tests.virtual_fleet import READY_SECONDS

NEW_KEY = "new-key"
LEFT = "i-0"


def fleet_after_changes() -> VirtualFleet:
    """Return a fleet whose first key was withdrawn and whose first server has left."""
    fleet = platform_fleet(hosts=9)
    fleet.channel.run(READY_SECONDS)
    document = json.loads(configuration(version=9))
    document["tenants"][0]["api_keys"] = [NEW_KEY]
    fleet.store.put({"op/config": json.dumps(document), f"servers/{LEFT}": None})
    fleet.channel.run(fleet.channel.now + 3.0)
    return fleet


def check_new_processes(fleet: VirtualFleet, hosts: list[HostId]) -> None:
    """Send requests from the start of the processes on until they are served."""
    since = fleet.channel.now
    sent: dict[RequestId, HostId] = {}
    served: dict[RequestId, HostId] = {}
    for number in range(60):
        for host in hosts:
            for key, ids in ((KEY, sent), (NEW_KEY, served)):
                request_id = RequestId(f"{key}-{since}-{host}-{number}")
                ids[request_id] = host
                arrived = RequestArrived(
                    request_id, "POST", "ficu95.example", "/pufi791/1", {}, key
                )
                fleet.submit_request(host, arrived)
        fleet.channel.run(fleet.channel.now + 0.1)
    fleet.channel.run(fleet.channel.now + 2.0)
    for request_id, host in sent.items():
        assert request_id not in fleet.hosts[host].finished
        refusal = fleet.hosts[host].refusals[request_id]
        assert refusal.kind is not RefusalKind.NO_CAPACITY
    for host in hosts:
        finished = [i for i, h in served.items() if h == host]
        assert any(i in fleet.hosts[host].finished for i in finished)
    used = {a.assigned.server for a in fleet.attempts if a.started_at >= since}
    assert LEFT not in used


@pytest.mark.parametrize("is_store_down", [False, True], ids=["store", "no store"])
def test_restarted_hosts_use_no_withdrawn_key_and_no_left_server(
    is_store_down: bool,
) -> None:
    """Each host is restarted in turn, hubs and readers included."""
    fleet = fleet_after_changes()
    fleet.store.is_down = is_store_down
    for host in list(fleet.hosts):
        fleet.crash_host(host)
        fleet.start_host(host)
        check_new_processes(fleet, [host])


def test_fleet_restarted_as_a_whole_uses_no_withdrawn_key_and_no_left_server() -> None:
    fleet = fleet_after_changes()
    hosts = list(fleet.hosts)
    for host in hosts:
        fleet.crash_host(host)
    for host in hosts:
        fleet.start_host(host)
    check_new_processes(fleet, hosts)
