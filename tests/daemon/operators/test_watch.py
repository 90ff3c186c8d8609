"""Tests of ``status --watch``: it refreshes and exits with the last status."""

from collections.abc import Iterator

from catkinspan.daemon.cli.status import watch


def test_watch_refreshes_until_interrupted() -> None:
    answers: Iterator[int] = iter([0, 1, 3, 2])
    slept: list[float] = []

    def sleep(seconds: float) -> None:
        slept.append(seconds)
        if len(slept) == 4:
            raise KeyboardInterrupt

    assert watch(lambda: next(answers), 1.5, sleep) == 2
    assert slept == [1.5] * 4
