"""Accepted configuration: revisions, changes, full copies and repair."""
