"""Settings that all tests share."""

import pytest
from loguru import logger


@pytest.fixture(autouse=True)
def quiet_logs() -> None:
    """Keep the hosts' logs out of the test output."""
    logger.remove()
    logger.configure(extra={"host": "-", "request_id": "-"})
