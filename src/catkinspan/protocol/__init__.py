"""Codecs of messages and documents, HTTP semantics and settings validation."""
