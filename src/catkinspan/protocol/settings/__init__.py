"""Checks and decoding of JSON settings: the settings tree and node settings."""
