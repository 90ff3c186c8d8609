"""Refusals of a caller's key."""

from enum import StrEnum

from attrs import frozen


class KeyRefusalKind(StrEnum):
    """Why a key was refused."""

    MISSING = "key_missing"
    UNKNOWN = "key_unknown"
    WITHDRAWN = "key_withdrawn"


_MESSAGES = {
    KeyRefusalKind.MISSING: "the request carries no key",
    KeyRefusalKind.UNKNOWN: "the key is not known",
    KeyRefusalKind.WITHDRAWN: "the key was withdrawn",
}

_REMEDIES = {
    KeyRefusalKind.MISSING: "send the header 'Authorization: Bearer KEY'",
    KeyRefusalKind.UNKNOWN: "check the key, or ask your operator for a new one",
    KeyRefusalKind.WITHDRAWN: "use your current key, or ask your operator for one",
}


@frozen
class KeyRefusal:
    """A refused key; its texts never contain the key or its digest."""

    kind: KeyRefusalKind

    @property
    def message(self) -> str:
        """Return the reason of the refusal."""
        return _MESSAGES[self.kind]

    @property
    def remedy(self) -> str:
        """Return how the caller can correct the request."""
        return _REMEDIES[self.kind]

    def __str__(self) -> str:
        """Return message and remedy on one line."""
        return f"{self.message}; {self.remedy}"
