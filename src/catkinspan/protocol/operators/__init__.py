"""Encoding for the operator API: JSON, Prometheus text, histograms."""
