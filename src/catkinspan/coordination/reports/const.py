"""Constants of the reports."""

from catkinspan.coordination.health.const import MAX_REPORT_AGE_SECONDS

FAILED_SHARE_DOWN = 0.5
"""Share of recent requests that failed from which a service is down."""

FAILED_SHARE_DEGRADED = 0.05
"""Share of recent requests that failed or found no capacity from which a service is
degraded."""

ASSESSOR_SILENT_SECONDS = MAX_REPORT_AGE_SECONDS
"""An assessor that did not answer for this long counts as not heard. Hosts report to
it every 30 s, so this is two missed answers."""

PLATFORM_SILENT_SECONDS = 60.0
"""A reader that did not reach the configuration service for this long says so. A
watch answers at least every 30 s."""

PEER_SILENT_SECONDS = 10.0
"""A peer without a message for this long counts as not heard, in a small fleet."""

PEER_SILENT_ROUNDS = 3.0
"""Rounds of probes over all peers in which a heard peer sends something; a round
takes 5 s at 40 hosts and 140 s at 1,100."""

SAMPLE_SECONDS = 0.2
"""Time between the judgements of two services, one after another."""

MAX_WORKSPACES_SHOWN = 200
"""Workspaces in one report, those that are held back first."""

MAX_SERVERS_NAMED = 5
MAX_HOSTS_NAMED = 5
