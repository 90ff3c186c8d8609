"""Budgets and waiting times of retries and hedges."""
