"""Benchmarks that produce the figures in docs/CAPACITY.md."""
