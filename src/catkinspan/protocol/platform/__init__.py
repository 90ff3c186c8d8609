"""Answers of the platform's configuration service."""
