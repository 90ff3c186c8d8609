"""The client of the platform's configuration service."""
