"""Decisions of a host, free of I/O, encodings and clocks."""
