"""The rate of trials of a fleet of hosts that do not coordinate them."""

from attrs import define

from catkinspan.coordination.balancing.const import MAX_TRIAL_CREDIT, TRIALS_PER_SECOND


@define
class TrialSchedule:
    """Decides which requests of this host examine a random server of a service.

    A host examines its part of the servers in each interval, so that the fleet examines
    each server at a rate that depends neither on the number of hosts nor on that of
    requests. An examined server of high risk gets the request as a trial.

    Example::

        schedule = TrialSchedule(updated_at=now)
        if schedule.take(servers=60, hosts=12, now=now):
            server = rng.choice(servers)
    """

    updated_at: float
    credit: float = 0.0
    """Servers that this host has yet to examine."""

    def take(self, servers: int, hosts: int, now: float) -> bool:
        """Return whether the request of now examines a server."""
        seconds = max(0.0, now - self.updated_at)
        self.updated_at = now
        due = TRIALS_PER_SECOND * seconds * servers / max(1, hosts)
        self.credit = min(MAX_TRIAL_CREDIT, self.credit + due)
        if self.credit < 1.0:
            return False
        self.credit -= 1.0
        return True
