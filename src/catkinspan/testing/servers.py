"""Fake upstream servers with slots, in virtual time."""

from random import Random

from attrs import define, field

from catkinspan.state.ids import ServerId


@define
class FakeServer:
    """A server that runs as many requests as it has slots and sheds the others."""

    slots: int
    slowness: float = 1.0
    """Factor on the service time; above 1 the server is gray."""

    running: int = 0
    served: int = 0
    shed: int = 0
    seconds: float = 0.0
    """Service time of all requests that were started, without the slowness."""

    started: int = 0


@define
class FakeServers:
    """The servers of a service.

    Example::

        seconds = servers.start(server)  # None when the server sheds
        ...                              # after that time
        servers.finish(server)
    """

    mean_seconds: float
    rng: Random
    servers: dict[ServerId, FakeServer] = field(factory=dict)

    @property
    def shed(self) -> int:
        """Return the requests that were shed."""
        return sum(server.shed for server in self.servers.values())

    @property
    def served(self) -> int:
        """Return the requests that ran."""
        return sum(server.served for server in self.servers.values())

    @property
    def mean_drawn(self) -> float:
        """Return the mean of the service times so far, without the slowness."""
        started = sum(server.started for server in self.servers.values())
        return sum(s.seconds for s in self.servers.values()) / max(1, started)

    def add(self, server: ServerId, slots: int) -> None:
        """Add a server with idle slots."""
        self.servers[server] = FakeServer(slots)

    def start(self, server: ServerId) -> float | None:
        """Start a request; return its service time, or None when it is shed."""
        entry = self.servers[server]
        if entry.running >= entry.slots:
            entry.shed += 1
            return None
        entry.running += 1
        seconds = self.rng.expovariate(1.0 / self.mean_seconds)
        entry.seconds += seconds
        entry.started += 1
        return seconds * entry.slowness

    def finish(self, server: ServerId) -> None:
        """End a running request."""
        entry = self.servers[server]
        entry.running -= 1
        entry.served += 1
