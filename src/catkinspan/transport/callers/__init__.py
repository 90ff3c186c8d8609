"""The callers' listener and its connections."""
