"""Audit events in words."""

from collections.abc import Callable, Iterable
from typing import Any

import attrs
from attrs import frozen

from catkinspan.coordination.configuration.models import (
    ConfigurationAccepted,
    ConfigurationRejected,
    StartupDecided,
)
from catkinspan.coordination.health.models import (
    EjectionHeld,
    PathAvoided,
    ServerDraining,
    ServerEjected,
    ServerReturned,
)
from catkinspan.coordination.keys.models import (
    KeyGiven,
    KeysChanged,
    KeyWithdrawn,
    shown_digest,
)
from catkinspan.coordination.membership.models import (
    HostIsolated,
    HostStatusChanged,
    HostSuperseded,
    IsolationEnded,
    OneWayPathEnded,
    OneWayPathFound,
)
from catkinspan.coordination.models import Event
from catkinspan.coordination.naming import counted
from catkinspan.coordination.quarantine.models import (
    QuarantineEnded,
    RequestQuarantined,
)

MAX_VALUE_CHARS = 200


@frozen
class Told:
    """An event in words, with further lines where one is not enough."""

    text: str
    details: tuple[str, ...] = ()


def describe(event: Event) -> Told:
    """Return an event in words; one without words of its own as its fields."""
    told = _TEXTS.get(type(event))
    if told is None:
        return Told(_fields(event))
    answer: Told | str = told(event)
    return Told(answer) if isinstance(answer, str) else answer


def has_words(event: type[Event]) -> bool:
    """Return whether a class of events has words of its own."""
    return event in _TEXTS


def _accepted(event: ConfigurationAccepted) -> Told:
    changed = _names(event.changed) or "no document"
    text = (
        f"revision {event.revision} is in force, after {event.previous}, "
        f"from {event.source}; changed: {changed}"
    )
    return Told(text, event.differences)


def _rejected(event: ConfigurationRejected) -> Told:
    changed = _names(event.changed) or "no document"
    text = (
        f"revision {event.revision} from {event.source} was rejected; revision "
        f"{event.in_force} stays in force; changed: {changed}"
    )
    return Told(text, tuple(map(str, event.faults)))


def _startup(event: StartupDecided) -> str:
    return (
        f"the host serves with revision {event.revision}; "
        f"{event.peers_answered} of {event.peers_asked} asked peers answered"
    )


def _ejected(event: ServerEjected) -> str:
    hosts = counted(len(event.hosts), "host")
    evidence = f"{hosts} in {_names(event.data_centres)}"
    return (
        f"server {event.server} of {event.service} ejected for at least "
        f"{event.hold:.0f} s: {event.reason}; evidence of {evidence}"
    )


def _returned(event: ServerReturned) -> str:
    return f"server {event.server} of {event.service} is back in service"


def _held(event: EjectionHeld) -> str:
    return (
        f"server {event.server} of {event.service} is unhealthy but stays in service, "
        f"since the floor allows no ejection: {event.reason}"
    )


def _avoided(event: PathAvoided) -> str:
    return (
        f"this host avoids server {event.server} of {event.service}, which others "
        f"reach: {event.reason}"
    )


def _draining(event: ServerDraining) -> str:
    return f"server {event.server} of {event.service} sent a drain signal"


def _key_given(event: KeyGiven) -> str:
    return f"key {event.key} ({event.digest}) of workspace {event.workspace} works"


def _key_withdrawn(event: KeyWithdrawn) -> str:
    return (
        f"key {event.key} ({event.digest}) of workspace {event.workspace} was "
        "withdrawn; its connections are closed"
    )


def _keys_changed(event: KeysChanged) -> str:
    return (
        f"revision {event.revision} gave {event.given} keys and withdrew "
        f"{event.withdrawn}"
    )


def _host_status(event: HostStatusChanged) -> str:
    return f"host {event.host} is {event.status} (incarnation {event.incarnation})"


def _one_way(event: OneWayPathFound) -> str:
    return f"{event.target} does not hear {event.source}, which hears it"


def _one_way_ended(event: OneWayPathEnded) -> str:
    return f"{event.target} hears {event.source} again"


def _superseded(event: HostSuperseded) -> str:
    return (
        f"a newer process of host {event.host} is known (incarnation {event.newer}); "
        f"this one ({event.incarnation}) holds no roles any more"
    )


def _isolated(event: HostIsolated) -> str:
    return (
        "isolated: no contact with the configuration service, and "
        f"{event.connectivity:.0%} of the peers answered, within "
        f"{event.limit_seconds:.0f} s; requests with a key are refused"
    )


def _isolation_ended(event: IsolationEnded) -> str:
    return "isolation ended; requests with a key are served again"


def _quarantined(event: RequestQuarantined) -> str:
    return (
        f"a request of workspace {event.workspace} (fingerprint "
        f"{event.fingerprint[:12]}) is refused for {event.seconds:.0f} s after "
        f"{event.crashes} crashes, at {_names(event.servers)}"
    )


def _quarantine_ended(event: QuarantineEnded) -> str:
    return (
        f"the request of workspace {event.workspace} (fingerprint "
        f"{event.fingerprint[:12]}) may run again"
    )


_TEXTS: dict[type[Event], Callable[[Any], Told | str]] = {
    ConfigurationAccepted: _accepted,
    ConfigurationRejected: _rejected,
    StartupDecided: _startup,
    ServerEjected: _ejected,
    ServerReturned: _returned,
    EjectionHeld: _held,
    PathAvoided: _avoided,
    ServerDraining: _draining,
    KeyGiven: _key_given,
    KeyWithdrawn: _key_withdrawn,
    KeysChanged: _keys_changed,
    HostStatusChanged: _host_status,
    OneWayPathFound: _one_way,
    OneWayPathEnded: _one_way_ended,
    HostSuperseded: _superseded,
    HostIsolated: _isolated,
    IsolationEnded: _isolation_ended,
    RequestQuarantined: _quarantined,
    QuarantineEnded: _quarantine_ended,
}


def _names(values: Iterable[str]) -> str:
    return ", ".join(values)


def _fields(event: Event) -> str:
    """Return the fields of an event; bytes, which may be digests, are shortened."""
    parts = []
    for field in attrs.fields(type(event)):
        value = getattr(event, field.name)
        shown = shown_digest(value) if isinstance(value, bytes) else str(value)
        parts.append(f"{field.name}={shown[:MAX_VALUE_CHARS]}")
    return " ".join(parts)
