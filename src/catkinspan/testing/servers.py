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
        return self.rng.expovariate(1.0 / self.mean_seconds) * entry.slowness

    def finish(self, server: ServerId) -> None:
        """End a running request."""
        entry = self.servers[server]
        entry.running -= 1
        entry.served += 1
