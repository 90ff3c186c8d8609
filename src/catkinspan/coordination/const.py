"""Constants that several concerns share."""

REPORT_INTERVAL_SECONDS = 0.2
"""Interval of reports to the first hub and of its answers. The concerns share it, so
that their messages travel in one frame."""

STANDBY_REPORT_INTERVAL_SECONDS = 1.0
"""Interval of reports to the other hubs, which keep them ready to take over."""

TICK_INTERVAL_SECONDS = 0.05
PAUSE_THRESHOLD_SECONDS = 1.0
"""A gap between two ticks longer than this counts as a pause of the process."""
