"""Typed refusals of claims."""

from enum import StrEnum

from attrs import frozen


class UndecidedCause(StrEnum):
    """Why no majority of holders could decide."""

    NO_HOLDERS = "no_holders"
    """The host has no host list yet."""

    UNREACHABLE = "unreachable"
    HOLDERS_STARTED = "holders_started"
    LIST_CHANGING = "list_changing"
    HOLDERS_FULL = "holders_full"
    PAUSED = "paused"
    """The host itself was paused just before or during the claim."""


@frozen
class ClaimRefusal:
    """Base of the refusals; the refused request itself did not run."""

    retry_after: float
    """Seconds after which a resend with the same key may have another result."""

    @property
    def kind(self) -> str:
        """Return the stable name of the error."""
        return "claim_refused"

    @property
    def earlier_may_have_run(self) -> bool:
        """Return whether a request with the same key is known to have been claimed."""
        return True

    @property
    def remedy(self) -> str:
        """Return what the caller can do."""
        return "ask for the state of the first request before sending it again"


@frozen
class AlreadyRunning(ClaimRefusal):
    """A request with the same key is in progress."""

    @property
    def kind(self) -> str:
        """Return the stable name of the error."""
        return "already_running"

    def __str__(self) -> str:
        """Return the message."""
        return "a request with the same Idempotency-Key is in progress"


@frozen
class AlreadyRan(ClaimRefusal):
    """A request with the same key ran or may have run."""

    @property
    def kind(self) -> str:
        """Return the stable name of the error."""
        return "already_ran"

    def __str__(self) -> str:
        """Return the message."""
        return "a request with the same Idempotency-Key ran or may have run"


@frozen
class KeyMisused(ClaimRefusal):
    """Another request was sent with the same key."""

    @property
    def kind(self) -> str:
        """Return the stable name of the error."""
        return "idempotency_key_misused"

    @property
    def remedy(self) -> str:
        """Return what the caller can do."""
        return "use a new Idempotency-Key for each different request"

    def __str__(self) -> str:
        """Return the message."""
        return "the Idempotency-Key was used for another request"


@frozen
class Undecided(ClaimRefusal):
    """No majority of holders could decide; the request did not run."""

    cause: UndecidedCause

    @property
    def kind(self) -> str:
        """Return the stable name of the error."""
        return "claim_undecided"

    @property
    def earlier_may_have_run(self) -> bool:
        """Return whether a request with the same key is known to have been claimed."""
        return False

    @property
    def remedy(self) -> str:
        """Return what the caller can do."""
        return "send the request again later with the same Idempotency-Key"

    def __str__(self) -> str:
        """Return the message."""
        return f"the Idempotency-Key could not be checked: {self.cause}"


@frozen
class TooManyClaims(ClaimRefusal):
    """The workspace holds as many claims on this host as are allowed."""

    @property
    def kind(self) -> str:
        """Return the stable name of the error."""
        return "too_many_claims"

    @property
    def earlier_may_have_run(self) -> bool:
        """Return whether a request with the same key is known to have been claimed."""
        return False

    @property
    def remedy(self) -> str:
        """Return what the caller can do."""
        return "send fewer requests with an Idempotency-Key at once"

    def __str__(self) -> str:
        """Return the message."""
        return "the workspace has too many claims on this host"
