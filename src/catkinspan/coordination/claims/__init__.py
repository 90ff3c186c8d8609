"""Claims on idempotency keys, so that a resent request runs at most once."""
