"""Decoding and validation of JSON settings: the settings tree and node settings."""
