"""Benchmarks in virtual and real time."""
