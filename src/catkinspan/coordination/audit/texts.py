"""Audit events in words."""

from collections.abc import Callable, Iterable
from typing import Any

import attrs
from attrs import frozen

from catkinspan.coordination.configuration.models import (
    ConfigurationAccepted,
    ConfigurationRejected,
    EntryIgnored,
    ReadingChanged,
    ServersChanged,
    ServersLapsed,
    StoreContactLost,
    StoreContactRegained,
)
from catkinspan.coordination.health.models import (
    ServerAvoided,
    ServerBack,
    ServerDraining,
    ServerMisdirected,
)
from catkinspan.coordination.keys.models import (
    KeyGiven,
    KeysChanged,
    KeyWithdrawn,
    digest_prefix,
)
from catkinspan.coordination.membership.isolation import HostIsolated, IsolationEnded
from catkinspan.coordination.membership.models import HostStatusChanged, HubsChanged
from catkinspan.coordination.models import Event, HostPaused
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
    text = (
        f"revision {event.revision} is in force, after {event.previous}, from "
        f"{event.source} at store revision {event.store_revision}"
    )
    return Told(text, event.differences)


def _rejected(event: ConfigurationRejected) -> Told:
    text = (
        f"revision {event.revision} from {event.source} was rejected; revision "
        f"{event.in_force} stays in force"
    )
    return Told(text, tuple(map(str, event.faults)))


def _ignored(event: EntryIgnored) -> str:
    return f"an entry of the store is ignored: {event.fault}"


def _servers(event: ServersChanged) -> str:
    parts = (
        ("added", event.added),
        ("leaving", event.leaving),
        ("removed", event.removed),
    )
    changes = "; ".join(f"{what}: {_names(names)}" for what, names in parts if names)
    return f"servers {changes} (store revision {event.store_revision}, {event.source})"


def _lapsed(event: ServersLapsed) -> str:
    return (
        f"entries of {_names(event.names)} vanished around an outage of the store; "
        f"they stay in use for {event.grace_seconds:.1f} s"
    )


def _contact_lost(event: StoreContactLost) -> str:
    return f"nobody known has reached the store for {event.age_seconds:.1f} s"


def _contact_regained(event: StoreContactRegained) -> str:
    return (
        f"the store is reached again, by {event.source}, after "
        f"{event.outage_seconds:.1f} s"
    )


def _reading(event: ReadingChanged) -> str:
    does = "reads the store from now on" if event.active else "reads the store no more"
    return (
        f"this host {does} (candidate {event.rank} of its data centre, news "
        f"{event.contact_age_ms} ms old)"
    )


def _avoided(event: ServerAvoided) -> str:
    return (
        f"server {event.server} of {event.service} is avoided: risk {event.risk:.2f} "
        f"({event.evidence} evidence; own risk {event.own_risk:.2f}, "
        f"{event.overdue} own requests overdue)"
    )


def _back(event: ServerBack) -> str:
    return (
        f"server {event.server} of {event.service} is in normal use again after "
        f"{event.avoided_seconds:.1f} s"
    )


def _misdirected(event: ServerMisdirected) -> str:
    return f"the address of server {event.server} of {event.service} is another's"


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
    return (
        f"host {event.host} is {event.status}, last heard {event.heard_age_ms} ms "
        f"ago; {event.known} hosts known"
    )


def _hubs(event: HubsChanged) -> str:
    return (
        f"hubs are {_names(event.hubs)}; this host is candidate {event.rank} of its "
        "data centre"
    )


def _paused(event: HostPaused) -> str:
    return (
        f"the process stood still; its machine was suspended for "
        f"{event.suspended_seconds:.1f} s"
    )


def _isolated(event: HostIsolated) -> str:
    return (
        f"isolated: no news of the store for {event.contact_age_seconds:.0f} s, and "
        f"{event.heard_share:.0%} of the known hosts are heard of; requests with a "
        "key are refused"
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
    EntryIgnored: _ignored,
    ServersChanged: _servers,
    ServersLapsed: _lapsed,
    StoreContactLost: _contact_lost,
    StoreContactRegained: _contact_regained,
    ReadingChanged: _reading,
    ServerAvoided: _avoided,
    ServerBack: _back,
    ServerDraining: _draining,
    ServerMisdirected: _misdirected,
    KeyGiven: _key_given,
    KeyWithdrawn: _key_withdrawn,
    KeysChanged: _keys_changed,
    HostStatusChanged: _host_status,
    HubsChanged: _hubs,
    HostPaused: _paused,
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
        shown = digest_prefix(value) if isinstance(value, bytes) else str(value)
        parts.append(f"{field.name}={shown[:MAX_VALUE_CHARS]}")
    return " ".join(parts)
