"""Quarantine of requests that crash each upstream that runs them."""
