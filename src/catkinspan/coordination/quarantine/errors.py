"""Errors of request quarantine."""

from attrs import frozen


@frozen
class Quarantined:
    """The request is quarantined because it crashed upstreams; it did not run."""

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
