"""State of the retry budgets for operators."""

from attrs import frozen


@frozen
class RetryBudget:
    """The retries and hedges of one service on this host."""

    ratio: float
    first_attempts: int
    spent: int
    """Retries and hedges since the start of the host."""

    refused: int
    """Retries and hedges that the budget did not allow."""

    available: float
    """Retries and hedges that the budget allows now."""
