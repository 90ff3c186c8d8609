"""Errors of the configuration."""

from attrs import frozen

from catkinspan.state.ids import Revision


@frozen
class SettingsFault:
    """An error in a document, with its location and its correction."""

    path: str
    """Location in the document, such as ``services/catalogue/routes/suites/match``."""

    message: str
    remedy: str

    def __str__(self) -> str:
        """Return the fault on one line."""
        return f"{self.path}: {self.message}; {self.remedy}"


@frozen
class RejectedConfiguration:
    """A configuration that was not accepted; the last accepted one stays in force."""

    revision: Revision
    faults: tuple[SettingsFault, ...]

    @property
    def kind(self) -> str:
        """Return the stable name of the error."""
        return "rejected_configuration"

    def __str__(self) -> str:
        """Return all faults on one line."""
        return f"revision {self.revision}: " + " | ".join(map(str, self.faults))
