"""Codec of the messages between hosts."""
