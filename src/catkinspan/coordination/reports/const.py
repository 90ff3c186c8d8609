"""Constants of the reports."""

FAILED_SHARE_DOWN = 0.5
"""Share of recent requests that failed from which a service is down."""

FAILED_SHARE_DEGRADED = 0.05
"""Share of recent requests that failed or found no capacity from which a service is
degraded."""

STORE_SILENT_SECONDS = 5.0
"""Age of the news of the store from which a host says that it may miss changes. A
watch answers every second, so that this is five missed answers."""

SAMPLE_SECONDS = 1.0
"""Time between the judgements of two services, one after another."""

MAX_WORKSPACES_SHOWN = 200
"""Workspaces in one report, those that are held back first."""

MAX_SERVERS_NAMED = 5
MAX_HOSTS_NAMED = 5
