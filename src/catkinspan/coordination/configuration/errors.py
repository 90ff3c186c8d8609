"""Typed errors of the configuration."""

from attrs import frozen

from catkinspan.state.ids import Revision


@frozen
class SettingsFault:
    """One fault in a settings document."""

    path: str
    """Place in the document, such as ``services/catalogue/routes/suites/match``."""

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


def base_unknown(revision: Revision, base: Revision) -> RejectedConfiguration:
    """Return the error for a delta that starts after the revision in force."""
    return RejectedConfiguration(
        revision,
        (
            SettingsFault(
                "",
                f"the delta starts at revision {base}, which is not in force here",
                "offer a snapshot, or a delta from the revision in force",
            ),
        ),
    )


def document_too_large(name: str, length: int, limit: int) -> SettingsFault:
    """Return the fault for a document above the bound."""
    return SettingsFault(
        name,
        f"the document has {length} characters; at most {limit} are allowed",
        "split it into several documents",
    )


def too_many_documents(count: int, limit: int) -> SettingsFault:
    """Return the fault for a configuration with too many documents."""
    return SettingsFault(
        "",
        f"the configuration has {count} documents; at most {limit} are allowed",
        "merge small documents",
    )
