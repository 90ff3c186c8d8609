"""Connections to upstream servers and the attempts that run on them."""
