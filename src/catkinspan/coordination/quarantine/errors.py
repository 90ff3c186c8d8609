"""Typed refusals of the quarantine."""

from attrs import frozen


@frozen
class Quarantined:
    """The request crashed upstreams and is refused for a while; it did not run."""

    retry_after: float
    """Seconds until the quarantine ends."""

    crashes: int

    @property
    def kind(self) -> str:
        """Return the stable name of the error."""
        return "quarantined"

    @property
    def remedy(self) -> str:
        """Return what the caller can do."""
        return "do not send this request again; report it to the operators"

    def __str__(self) -> str:
        """Return the message."""
        return f"upstream connections died {self.crashes} times while running it"
