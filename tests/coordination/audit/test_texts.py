"""Tests that each audit event has a description and that none holds a secret."""

import attrs

from catkinspan.coordination.audit.texts import describe, has_description
from catkinspan.coordination.configuration.errors import SettingsFault
from catkinspan.coordination.configuration.models import ConfigurationRejected
from catkinspan.coordination.health.models import ServerAvoided
from catkinspan.coordination.host.coordinator import COORDINATORS
from catkinspan.coordination.models import Event
from catkinspan.state.ids import Revision, ServerId, ServiceId


def test_each_event_has_a_description() -> None:
    assert COORDINATORS, "importing all coordinators defines their event classes"
    events = [e for e in Event.__subclasses__() if e.__module__.startswith("catkin")]
    assert len(events) >= 19
    assert [event for event in events if not has_description(event)] == []


def test_description_of_an_avoided_server_has_its_evidence() -> None:
    event = ServerAvoided(ServiceId("lab"), ServerId("s-1"), 0.8, 0.3, 2, "fleet")
    assert describe(event).text == (
        "server s-1 of lab is avoided: risk 0.80 (fleet evidence; own risk 0.30, 2 own "
        "requests overdue)"
    )


def test_rejection_details_list_each_fault_with_its_remedy() -> None:
    faults = (SettingsFault("root/fleet", "too small", "write more"),)
    event = ConfigurationRejected(Revision(1), Revision(2), "store", faults)
    assert describe(event).details == ("root/fleet: too small; write more",)


def test_event_without_description_shows_shortened_digests() -> None:
    seen = attrs.make_class("Seen", {"digest": attrs.field()}, bases=(Event,))
    assert describe(seen(b"\xab" * 32)).text == f"digest={'ab' * 6}"
