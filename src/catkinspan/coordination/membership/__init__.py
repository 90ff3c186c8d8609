"""Observed peers and the host's view of the fleet."""
