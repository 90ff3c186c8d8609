"""Guards against concerns that each meet their target and miss it together."""

from statistics import median

import pytest
from bench.detection import DetectionRun, ServerFault


@pytest.mark.parametrize("fault", list(ServerFault))
def test_whole_hosts_find_a_failing_server(fault: ServerFault) -> None:
    """Slots once kept all evidence in one data centre, and nothing was ejected."""
    seconds = [DetectionRun(fault, 1 / 3, seed).run().seconds for seed in range(3)]
    assert median(seconds) < 2.0
    assert max(seconds) < 5.0
