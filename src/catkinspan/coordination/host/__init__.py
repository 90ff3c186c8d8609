"""Composition of the coordinators of one host."""
