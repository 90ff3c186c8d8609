"""Exit statuses of the commands."""

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
"""Also the status for settings with faults."""
