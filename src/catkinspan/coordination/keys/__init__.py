"""Callers' keys: the index of published digests."""
