"""Descriptions of audit events for operators."""

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
    SettingsFaultTolerated,
    StoreContactLost,
    StoreContactRegained,
)
from catkinspan.coordination.health.models import (
    ServerAvoided,
    ServerBack,
    ServerDraining,
    ServerMisdirected,
    ServerPaused,
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
class EventText:
    """Description of an event: a line of text and optional detail lines."""

    text: str
    details: tuple[str, ...] = ()


def describe(event: Event) -> EventText:
    """Return the description of an event, by default the values of its fields."""
    formatter = _FORMATTERS.get(type(event))
    if formatter is None:
        return EventText(_field_values(event))
    text: EventText | str = formatter(event)
    return EventText(text) if isinstance(text, str) else text


def has_description(event: type[Event]) -> bool:
    """Return whether a class of events has a description of its own."""
    return event in _FORMATTERS


def _configuration_accepted(event: ConfigurationAccepted) -> EventText:
    text = (
        f"revision {event.revision} is in force, after {event.previous}, from "
        f"{event.source} at store revision {event.store_revision}"
    )
    return EventText(text, event.differences)


def _configuration_rejected(event: ConfigurationRejected) -> EventText:
    text = (
        f"revision {event.revision} from {event.source} was rejected; revision "
        f"{event.in_force} stays in force"
    )
    return EventText(text, tuple(map(str, event.faults)))


def _entry_ignored(event: EntryIgnored) -> str:
    return f"store entry ignored: {event.fault}"


def _settings_fault_tolerated(event: SettingsFaultTolerated) -> str:
    return f"revision {event.revision} is in force except for {event.fault}"


def _servers_changed(event: ServersChanged) -> str:
    parts = (
        ("added", event.added),
        ("leaving", event.leaving),
        ("removed", event.removed),
    )
    changes = "; ".join(f"{what}: {_join(names)}" for what, names in parts if names)
    return f"servers {changes} (store revision {event.store_revision}, {event.source})"


def _servers_lapsed(event: ServersLapsed) -> str:
    return (
        f"entries of {_join(event.names)} disappeared around a store outage; "
        f"they stay in use for {event.grace_seconds:.1f} s"
    )


def _store_contact_lost(event: StoreContactLost) -> str:
    return f"no known host has reached the store for {event.age_seconds:.1f} s"


def _store_contact_regained(event: StoreContactRegained) -> str:
    cause = "calls failed" if event.calls_failed else "its readers were silent"
    seconds = f"{event.outage_seconds:.1f} s"
    return f"store contact regained by {event.source} after {seconds}; {cause}"


def _reading_changed(event: ReadingChanged) -> str:
    action = (
        "started reading the store" if event.active else "stopped reading the store"
    )
    return (
        f"this host {action} (candidate {event.rank} of its data centre, last known "
        f"store contact {event.contact_age_ms} ms ago)"
    )


def _server_avoided(event: ServerAvoided) -> str:
    return (
        f"server {event.server} of {event.service} is avoided: risk {event.risk:.2f} "
        f"({event.evidence} evidence; own risk {event.own_risk:.2f}, "
        f"{event.overdue} own requests overdue)"
    )


def _server_back(event: ServerBack) -> str:
    return (
        f"server {event.server} of {event.service} is in normal use again after "
        f"{event.avoided_seconds:.1f} s"
    )


def _server_misdirected(event: ServerMisdirected) -> str:
    return (
        f"the address of server {event.server} of {event.service} answers for another "
        "server"
    )


def _server_paused(event: ServerPaused) -> str:
    return (
        f"server {event.server} of {event.service} asked this host to send it no "
        f"requests for {event.seconds:.2f} s"
    )


def _server_draining(event: ServerDraining) -> str:
    return f"server {event.server} of {event.service} sent a drain signal"


def _key_given(event: KeyGiven) -> str:
    return f"key {event.key} ({event.digest}) of workspace {event.workspace} is valid"


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


def _host_status_changed(event: HostStatusChanged) -> str:
    return (
        f"host {event.host} is {event.status}, last heard {event.heard_age_ms} ms "
        f"ago; {event.known} hosts known"
    )


def _hubs_changed(event: HubsChanged) -> str:
    return (
        f"hubs are {_join(event.hubs)}; this host is candidate {event.rank} of its "
        "data centre"
    )


def _host_paused(event: HostPaused) -> str:
    return (
        f"the process was paused; its machine was suspended for "
        f"{event.suspended_seconds:.1f} s"
    )


def _host_isolated(event: HostIsolated) -> str:
    return (
        f"isolated: no news of the store for {event.contact_age_seconds:.0f} s, and "
        f"{event.heard_share:.0%} of the known hosts are heard; requests with a key "
        "are refused"
    )


def _isolation_ended(event: IsolationEnded) -> str:
    return "isolation ended; requests with a key are served again"


def _request_quarantined(event: RequestQuarantined) -> str:
    return (
        f"a request of workspace {event.workspace} (fingerprint "
        f"{event.fingerprint[:12]}) is refused for {event.seconds:.0f} s after "
        f"{event.crashes} crashes, at {_join(event.servers)}"
    )


def _quarantine_ended(event: QuarantineEnded) -> str:
    return (
        f"the request of workspace {event.workspace} (fingerprint "
        f"{event.fingerprint[:12]}) may run again"
    )


_FORMATTERS: dict[type[Event], Callable[[Any], EventText | str]] = {
    ConfigurationAccepted: _configuration_accepted,
    ConfigurationRejected: _configuration_rejected,
    EntryIgnored: _entry_ignored,
    SettingsFaultTolerated: _settings_fault_tolerated,
    ServersChanged: _servers_changed,
    ServersLapsed: _servers_lapsed,
    StoreContactLost: _store_contact_lost,
    StoreContactRegained: _store_contact_regained,
    ReadingChanged: _reading_changed,
    ServerAvoided: _server_avoided,
    ServerBack: _server_back,
    ServerDraining: _server_draining,
    ServerPaused: _server_paused,
    ServerMisdirected: _server_misdirected,
    KeyGiven: _key_given,
    KeyWithdrawn: _key_withdrawn,
    KeysChanged: _keys_changed,
    HostStatusChanged: _host_status_changed,
    HubsChanged: _hubs_changed,
    HostPaused: _host_paused,
    HostIsolated: _host_isolated,
    IsolationEnded: _isolation_ended,
    RequestQuarantined: _request_quarantined,
    QuarantineEnded: _quarantine_ended,
}


def _join(values: Iterable[str]) -> str:
    return ", ".join(values)


def _field_values(event: Event) -> str:
    """Return the fields of an event; bytes may be digests and are shortened."""
    parts = []
    for field in attrs.fields(type(event)):
        value = getattr(event, field.name)
        shown = digest_prefix(value) if isinstance(value, bytes) else str(value)
        parts.append(f"{field.name}={shown[:MAX_VALUE_CHARS]}")
    return " ".join(parts)
