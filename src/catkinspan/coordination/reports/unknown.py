"""What a host cannot know now, in words for operators."""

from collections.abc import Sequence

from catkinspan.coordination.membership.const import PROBES_PER_SECOND
from catkinspan.coordination.membership.models import MembershipSnapshot
from catkinspan.coordination.reports.const import (
    ASSESSOR_SILENT_SECONDS,
    MAX_HOSTS_NAMED,
    PEER_SILENT_ROUNDS,
    PEER_SILENT_SECONDS,
    PLATFORM_SILENT_SECONDS,
)
from catkinspan.coordination.reports.gather import HostFacts, ServiceFacts
from catkinspan.state.hosts import HostStatus


def unknown_to_host(facts: HostFacts) -> tuple[str, ...]:
    """Return what the host cannot know about the fleet and the settings."""
    lines = (
        _isolation(facts),
        _superseded(facts),
        _platform(facts),
        _silent_peers(facts),
        _one_way(facts.membership),
    )
    return tuple(line for line in lines if line)


def unknown_of_services(services: Sequence[ServiceFacts], now: float) -> list[str]:
    """Return what the host cannot know about the health of services."""
    silent = [facts for facts in services if _assessor_is_silent(facts, now)]
    if len(silent) <= MAX_HOSTS_NAMED:
        return [_silent_assessor(facts, now) for facts in silent]
    return [f"assessors of {len(silent)} services not heard: their ejections are old"]


def span(seconds: float) -> str:
    """Return a duration in the largest fitting unit, such as ``2.5 h``."""
    if seconds < 120:
        return f"{seconds:.0f} s"
    if seconds < 7200:
        return f"{seconds / 60:.0f} min"
    return f"{seconds / 3600:.1f} h"


def _isolation(facts: HostFacts) -> str:
    if not facts.isolated:
        return ""
    return (
        "isolated: reaches neither the configuration service nor half of its peers; "
        "withdrawn keys, new settings and ejections are not known here"
    )


def _superseded(facts: HostFacts) -> str:
    if not facts.membership.superseded:
        return ""
    return "a newer process runs under this host's id; this one should be stopped"


def _platform(facts: HostFacts) -> str:
    configuration = facts.configuration
    contact = configuration.platform_contact_at
    if not configuration.is_reader:
        return ""
    if contact is None:
        return "configuration service never reached since the start of this reader"
    age = facts.now - contact
    if age < PLATFORM_SILENT_SECONDS:
        return ""
    return (
        f"configuration service not reached for {span(age)}: newer published "
        "settings are not known here"
    )


def _silent_peers(facts: HostFacts) -> str:
    membership = facts.membership
    round_seconds = len(membership.sightings) / PROBES_PER_SECOND
    limit = max(PEER_SILENT_SECONDS, PEER_SILENT_ROUNDS * round_seconds)
    silent = sorted(
        host
        for host, sighting in membership.sightings.items()
        if host in membership.view.hosts
        and membership.view.hosts[host].status is not HostStatus.DEAD
        and (sighting.heard_at is None or facts.now - sighting.heard_at > limit)
    )
    if not silent:
        return ""
    shown = ", ".join(silent[:MAX_HOSTS_NAMED])
    rest = f" and {len(silent) - MAX_HOSTS_NAMED} more" * (
        len(silent) > MAX_HOSTS_NAMED
    )
    return f"peers not heard for {span(limit)}: {shown}{rest}"


def _one_way(membership: MembershipSnapshot) -> str:
    if not membership.one_way_paths:
        return ""
    names = ", ".join(p.target for p in membership.one_way_paths[:MAX_HOSTS_NAMED])
    return f"these peers do not hear this host, which hears them: {names}"


def _assessor_is_silent(facts: ServiceFacts, now: float) -> bool:
    heard = facts.health.assessor_heard
    return heard is None or now - heard > ASSESSOR_SILENT_SECONDS


def _silent_assessor(facts: ServiceFacts, now: float) -> str:
    health = facts.health
    if health.assessor is None:
        return f"{health.service}: no assessor; only this host's own evidence counts"
    heard = health.assessor_heard
    age = "never" if heard is None else f"not for {span(now - heard)}"
    return (
        f"{health.service}: assessor {health.assessor} heard {age}; ejections may be "
        "missing here"
    )
