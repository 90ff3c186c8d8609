"""Route matching of requests."""
