"""Accepted configuration: revisions, changes, whole copies and repair."""
