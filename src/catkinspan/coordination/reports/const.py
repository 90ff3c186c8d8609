"""Constants of the reports."""

FAILED_SHARE_DOWN = 0.5
"""Share of failed requests from which a service is down."""

FAILED_SHARE_DEGRADED = 0.05
"""Share of requests that failed or found no capacity from which a service is
degraded."""

STORE_SILENT_SECONDS = 5.0
"""Age of the last store contact from which a host reports that it may miss changes. A
watch answers every second, so this is five missed answers."""

ASSESSMENT_INTERVAL_SECONDS = 1.0
"""Time between the assessments of two services, one after the other."""

MAX_WORKSPACES_SHOWN = 200
"""Workspaces in one report; those that are held back come first."""

MAX_FAULTS_SHOWN = 5
MAX_SERVERS_NAMED = 5
MAX_HOSTS_NAMED = 5
