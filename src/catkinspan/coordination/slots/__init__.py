"""Slots of the upstream servers: leases, dispatchers, fair queues and fallback."""
