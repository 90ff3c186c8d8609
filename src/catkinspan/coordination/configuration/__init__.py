"""Accepted configuration: revisions, deltas, snapshots and repair."""
