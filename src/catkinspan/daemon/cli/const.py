"""Exit statuses of the commands."""

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
"""Also the status for settings with faults."""

EXIT_UP = 0
EXIT_DEGRADED = 1
EXIT_DOWN = 2
EXIT_NO_ANSWER = 3
"""The host cannot be asked, or its answer is not understood."""

EXIT_BAD_ARGUMENTS = 64
"""Wrong arguments, as `EX_USAGE` of sysexits.h; 2 would read as down."""

ASK_SECONDS = 10.0
"""Longest wait for an answer of the operators' listener."""

WATCH_SECONDS = 2.0
"""Default time between two refreshes of ``status --watch``."""
