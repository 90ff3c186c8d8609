"""Helpers that run a fleet of whole hosts in virtual time with small settings."""

import hashlib
from collections.abc import Callable
from datetime import timedelta
from random import Random
from typing import Any

from attrs import define, field

from catkinspan.coordination.requests.models import RequestArrived
from catkinspan.protocol.settings.documents import TREE_KEY_PREFIX, TreeDocuments
from catkinspan.protocol.settings.tree import split_documents
from catkinspan.state.hosts import HostRecord
from catkinspan.state.ids import DataCentre, HostId, RequestId
from catkinspan.state.node import RateWindow
from catkinspan.state.tree import Address
from catkinspan.testing.hosts import ResponsePolicy, VirtualFleet, always_ok

DATA_CENTRES = ("north", "east", "south")
READY_SECONDS = 3.0


def host_records(
    count: int, data_centres: tuple[str, ...] = DATA_CENTRES
) -> list[HostRecord]:
    return [
        HostRecord(
            HostId(f"host-{n}"),
            DataCentre(data_centres[n % len(data_centres)]),
            Address(f"10.0.{n // 250}.{n % 250}", 9700),
        )
        for n in range(count)
    ]


def small_settings_tree(
    servers: int = 6,
    rate: float = 1e6,
    burst: float = 1e6,
    workspaces: int = 1,
    settings: dict[str, Any] | None = None,
) -> dict[str, Any]:
    upstreams = [
        {
            "id": f"server-{n}",
            "address": f"10.9.0.{n + 1}:80",
            "data_centre": DATA_CENTRES[n % len(DATA_CENTRES)],
            "slots": 3,
        }
        for n in range(servers)
    ]
    return {
        "defaults": {"deadline_ms": 3000, **(settings or {})},
        "services": {
            "prints": {
                "upstreams": upstreams,
                "routes": {"jobs": {"match": {"path_prefix": "/jobs"}}},
            }
        },
        "workspaces": {
            f"studio-{n}": {
                "keys": [{"id": "k", "sha256": digest(f"key-{n}")}],
                "rate": rate,
                "burst": burst,
            }
            for n in range(workspaces)
        },
    }


def digest(key: str) -> str:
    return hashlib.sha256(key.encode()).hexdigest()


def store_documents(tree: dict[str, Any]) -> dict[str, str]:
    texts = split_documents(tree).unwrap()
    return {TREE_KEY_PREFIX + name: text for name, text in texts.items()}


@define
class Traffic:
    """Sends requests to random hosts and collects the refused ones."""

    fleet: VirtualFleet
    rng: Random
    sent: list[tuple[float, HostId, RequestId]] = field(factory=list)

    def run(
        self,
        until: float,
        per_second: float,
        workspace: int = 0,
        method: str = "GET",
        hosts: list[HostId] | None = None,
    ) -> None:
        channel = self.fleet.channel
        at = channel.now
        while (at := at + self.rng.expovariate(per_second)) < until:
            channel.run(at)
            host = self.rng.choice(hosts or list(self.fleet.hosts))
            request_id = RequestId(f"r{len(self.sent)}")
            request = RequestArrived(
                request_id,
                method,
                "shop.example",
                f"/jobs/{len(self.sent)}",
                presented_key=f"key-{workspace}",
                deadline=timedelta(seconds=3),
            )
            self.sent.append((channel.now, host, request_id))
            self.fleet.submit_request(host, request)
        channel.run(until)

    def refused(self, since: float = 0.0) -> list[tuple[float, str]]:
        refusals = []
        for at, host, request_id in self.sent:
            node = self.fleet.hosts.get(host)
            refusal = node.refusals.get(request_id) if node else None
            if at >= since and refusal is not None:
                refusals.append((at, str(refusal.kind)))
        return refusals


def virtual_fleet(
    hosts: int = 12,
    tree: dict[str, Any] | None = None,
    seed: int = 1,
    respond: ResponsePolicy = always_ok,
    rate_window: RateWindow | None = None,
    edit_tree: Callable[[dict[str, Any]], None] | None = None,
    data_centres: tuple[str, ...] = DATA_CENTRES,
) -> VirtualFleet:
    """Start a fleet in its data centres and run it for `READY_SECONDS`."""
    settings = tree or small_settings_tree()
    if edit_tree is not None:
        edit_tree(settings)
    fleet = VirtualFleet(
        host_records(hosts, data_centres),
        store_documents(settings),
        TreeDocuments,
        Random(seed),
        respond,
        rate_window=rate_window,
    )
    fleet.channel.run(READY_SECONDS)
    return fleet
