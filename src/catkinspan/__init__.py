"""A proxy fleet and coordination library for upstreams with gray failures."""
