"""Rates and bursts of workspaces, counted over the whole fleet."""
