"""Authentication of callers' keys by their published digests."""
