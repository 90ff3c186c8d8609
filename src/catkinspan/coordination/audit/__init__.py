"""The audit trail of a host."""
