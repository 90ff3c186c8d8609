"""The coordinators that process a request."""

from typing import Protocol

from attrs import frozen

from catkinspan.coordination.balancing.balancer import Balancer
from catkinspan.coordination.health.coordinator import HealthCoordinator
from catkinspan.coordination.keys.coordinator import KeyCoordinator
from catkinspan.coordination.metrics.coordinator import MetricsCoordinator
from catkinspan.coordination.quarantine.coordinator import QuarantineCoordinator
from catkinspan.coordination.rates.coordinator import RateCoordinator
from catkinspan.coordination.retries.coordinator import RetryCoordinator
from catkinspan.coordination.routing.coordinator import RoutingCoordinator


class AdmissionGate(Protocol):
    """Reports whether the host may serve requests."""

    def is_ready(self, now: float) -> bool:
        """Return whether the host has a configuration."""

    def is_up_to_date(self, now: float) -> bool:
        """Return whether the settings in force were recently known to be the newest."""

    def is_catching_up(self, now: float) -> bool:
        """Return whether newer settings are known to exist."""

    def is_isolated(self, now: float) -> bool:
        """Return whether keyed requests must be refused."""


@frozen
class RequestDependencies:
    """The coordinators that process a request, in order of use."""

    gate: AdmissionGate
    routing: RoutingCoordinator
    keys: KeyCoordinator
    quarantine: QuarantineCoordinator
    rates: RateCoordinator
    balancer: Balancer
    retries: RetryCoordinator
    health: HealthCoordinator
    metrics: MetricsCoordinator
