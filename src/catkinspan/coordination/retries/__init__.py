"""Budgets and backoff of retries and hedges."""
