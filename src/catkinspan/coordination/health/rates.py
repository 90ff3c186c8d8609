"""Rates of attempts, by which successes that nobody reports are accounted for."""

from collections.abc import Mapping

from attrs import Factory, define

from catkinspan.coordination.health.const import MAX_REPORT_AGE_SECONDS
from catkinspan.state.ids import DataCentre, HostId, ServiceId


@define
class _HostRates:
    at: float
    rates: dict[ServiceId, float]


@define
class _PlaceRate:
    at: float
    rate: float


@define
class RateTable:
    """Attempts per second at an average server, as hosts and assessors report them."""

    _hosts: dict[HostId, _HostRates] = Factory(dict)
    _places: dict[tuple[ServiceId, DataCentre], _PlaceRate] = Factory(dict)

    def set_host(
        self, host: HostId, rates: Mapping[ServiceId, float], now: float
    ) -> None:
        """Take over a host's report; services it leaves out have no traffic there."""
        self._hosts[host] = _HostRates(now, dict(rates))

    def update_host(
        self, host: HostId, service: ServiceId, rate: float, now: float
    ) -> None:
        """Take over the rate of one service."""
        held = self._hosts.setdefault(host, _HostRates(now, {}))
        held.at = now
        held.rates[service] = rate

    def set_place(
        self, service: ServiceId, place: DataCentre, rate: float, now: float
    ) -> None:
        """Take over the rate of a data centre."""
        self._places[service, place] = _PlaceRate(now, rate)

    def of_hosts(self, service: ServiceId, hosts: int) -> float:
        """Return the rate of `hosts` hosts, extrapolated from those that report."""
        if not self._hosts:
            return 0.0
        total = sum(held.rates.get(service, 0.0) for held in self._hosts.values())
        return total / len(self._hosts) * hosts

    def of_place(self, service: ServiceId, place: DataCentre) -> float | None:
        """Return the rate of a data centre, None if unknown."""
        held = self._places.get((service, place))
        return None if held is None else held.rate

    def prune(self, now: float) -> None:
        """Drop rates that are no longer reported."""
        oldest = now - MAX_REPORT_AGE_SECONDS
        for host in [h for h, held in self._hosts.items() if held.at < oldest]:
            del self._hosts[host]
        for key in [k for k, held in self._places.items() if held.at < oldest]:
            del self._places[key]
