"""Connections to upstream servers and the attempts that use them."""
