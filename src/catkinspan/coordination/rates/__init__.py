"""Rate limits and bursts of workspaces across the whole fleet."""
