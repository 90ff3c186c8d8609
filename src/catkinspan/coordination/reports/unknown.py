"""Descriptions for operators of what a host currently cannot know."""

from catkinspan.coordination.membership.const import HUB_SILENT_SECONDS
from catkinspan.coordination.reports.const import (
    MAX_HOSTS_NAMED,
    STORE_SILENT_SECONDS,
)
from catkinspan.coordination.reports.gather import HostFacts
from catkinspan.state.hosts import HostStatus


def unknown_to_host(facts: HostFacts) -> tuple[str, ...]:
    """Return which facts about the fleet and the settings the host cannot know."""
    lines = (
        _isolation_text(facts),
        _store_text(facts),
        _hub_text(facts),
        _silent_hosts_text(facts),
    )
    return tuple(line for line in lines if line)


def format_duration(seconds: float) -> str:
    """Return a duration in the largest fitting unit, such as ``2.5 h``."""
    if seconds < 120:
        return f"{seconds:.0f} s"
    if seconds < 7200:
        return f"{seconds / 60:.0f} min"
    return f"{seconds / 3600:.1f} h"


def _isolation_text(facts: HostFacts) -> str:
    if not facts.isolated:
        return ""
    return (
        "isolated: no news of the store, and most hosts are silent; withdrawn keys, "
        "new settings and new servers are unknown to this host"
    )


def _store_text(facts: HostFacts) -> str:
    age = facts.configuration.store_contact_age
    if age is None:
        return "nobody known has reached the store since the start of this host"
    if age < STORE_SILENT_SECONDS:
        return ""
    return (
        f"nobody known has reached the store for {format_duration(age)}: "
        "changes may be missing"
    )


def _hub_text(facts: HostFacts) -> str:
    view = facts.membership.view
    if view.hubs == (view.self_id,):
        return (
            "no other host of the data centre is a hub: risks rest on this host alone"
        )
    last_message_at = facts.membership.last_hub_message_at
    if (
        last_message_at is not None
        and facts.now - last_message_at <= HUB_SILENT_SECONDS
    ):
        return ""
    return "no hub answers: loads, risks and levels are those of this host alone"


def _silent_hosts_text(facts: HostFacts) -> str:
    view, last_seen_at = facts.membership.view, facts.membership.last_seen_at
    silent = sorted(
        host
        for host, record in view.hosts.items()
        if host in last_seen_at and host not in view.usable and not record.leaving
    )
    if not silent:
        return ""
    shown = ", ".join(silent[:MAX_HOSTS_NAMED])
    more = len(silent) - MAX_HOSTS_NAMED
    rest = f" and {more} more" if more > 0 else ""
    return f"hosts that are {HostStatus.SILENT}: {shown}{rest}"
