"""Constants shared by several coordinators."""

REPORT_INTERVAL_SECONDS = 0.2
"""Interval of reports to the primary hub and of its replies. The coordinators share
it so that their messages are sent in one frame."""

STANDBY_REPORT_INTERVAL_SECONDS = 1.0
"""Interval of reports to the standby hubs, which keep them ready to take over."""

TICK_INTERVAL_SECONDS = 0.05
PAUSE_THRESHOLD_SECONDS = 1.0
"""A longer gap between two calls of the host coordinator counts as a pause of the
process."""
