"""Codec for messages between hosts."""
