"""Stand-ins for the platform and for upstream servers, used by the demo and tests."""
