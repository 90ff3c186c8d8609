"""Constants that several concerns share."""

EXCHANGE_SECONDS = 0.2
"""Interval of reports to the first hub and of its answers. The concerns share it, so
that their messages travel in one frame."""

STANDBY_SECONDS = 1.0
"""Interval of reports to the other hubs, which keep them ready to take over."""

TICK_SECONDS = 0.05
PAUSE_SECONDS = 1.0
"""A gap between two ticks longer than this counts as a pause of the process."""
