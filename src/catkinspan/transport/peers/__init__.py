"""Streams and datagrams between hosts."""
