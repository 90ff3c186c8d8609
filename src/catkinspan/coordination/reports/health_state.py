"""The state of a service or host, as reports show it."""

from enum import StrEnum


class HealthState(StrEnum):
    """Health of a service or host."""

    UP = "up"
    DEGRADED = "degraded"
    DOWN = "down"
