"""Formats reports as text for a terminal."""
