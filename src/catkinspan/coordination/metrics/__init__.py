"""Counts and latencies of the requests that one host has served."""
