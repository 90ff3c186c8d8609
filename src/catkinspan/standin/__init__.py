"""Simulated platform store and upstream servers for the demo and the tests."""
