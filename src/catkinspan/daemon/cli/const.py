"""Exit statuses and time limits of the commands."""

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_BAD_SETTINGS = 2
"""A file is unreadable or its settings have faults."""

EXIT_UP = 0
EXIT_DEGRADED = 1
EXIT_DOWN = 2
EXIT_NO_RESPONSE = 3
"""The host does not respond, or its response cannot be decoded."""

EXIT_BAD_ARGUMENTS = 64
"""Wrong arguments, as `EX_USAGE` of sysexits.h, since 2 means down."""

FETCH_TIMEOUT_SECONDS = 10.0
"""Longest wait for a response of the operators' listener."""

WATCH_INTERVAL_SECONDS = 2.0
"""Default refresh interval of ``status --watch``."""
