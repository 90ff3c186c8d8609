"""Encoding of the operators' interface: JSON, Prometheus text, histograms."""
