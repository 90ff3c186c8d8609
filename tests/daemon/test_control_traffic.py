from loguru import logger

from catkinspan.coordination.configuration.models import Freshness, Pull
from catkinspan.daemon.control_traffic import LOG_INTERVAL_SECONDS, ControlTraffic
from catkinspan.state.ids import Revision


def test_log_tells_which_kind_of_message_fills_the_link() -> None:
    lines: list[dict[str, object]] = []
    handler = logger.add(lambda line: lines.append(dict(line.record["extra"])))
    try:
        traffic = ControlTraffic(now=100.0)
        for _ in range(10):
            traffic.record(Freshness(Revision(1), 0), 50)
        traffic.record(Pull(Revision(1)), 20)
        traffic.log_if_due(3, now=100.0 + LOG_INTERVAL_SECONDS / 2)
        assert lines == []
        traffic.log_if_due(3, now=100.0 + LOG_INTERVAL_SECONDS)
        traffic.record(Pull(Revision(1)), 40)
        traffic.log_if_due(3, now=100.0 + 2 * LOG_INTERVAL_SECONDS)
    finally:
        logger.remove(handler)
    assert [line["event"] for line in lines] == ["control_traffic"] * 2
    assert lines[0]["bytes_per_second_by_kind"] == {"Freshness": 100, "Pull": 4}
    assert lines[0]["dropped_messages"] == 3
    assert lines[1]["bytes_per_second_by_kind"] == {"Pull": 8}
    assert traffic.bytes_by_kind == {"Freshness": 500, "Pull": 60}
