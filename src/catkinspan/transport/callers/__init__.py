"""Listeners for callers and the connections they accept."""
