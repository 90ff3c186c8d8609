"""Command line and composition of an entry host."""
