"""Quarantine of requests that crash every upstream that runs them."""
