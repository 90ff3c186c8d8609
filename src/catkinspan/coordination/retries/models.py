"""State of the retry budgets, for operators."""

from attrs import frozen


@frozen
class RetryBudget:
    """Retry budget of one service on this host, which also covers hedges."""

    ratio: float
    first_attempts: int
    spent: int
    """Retries and hedges since the host started."""

    refused: int
    """Retries and hedges refused by the budget."""

    available: float
    """Retries and hedges that the budget currently allows."""
