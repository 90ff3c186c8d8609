"""Constants that several concerns share."""

TICK_SECONDS = 0.05
PAUSE_SECONDS = 1.0
"""A gap between two ticks longer than this counts as a pause of the process."""
