"""Measures the processor time and memory of a start of a host.

Two installations are compared in one run, in turns, since the machine's speed varies.
Run it with ``python -m bench.startup OLDER NEWER``, where each argument is a folder
with the package and its libraries, compiled by ``python -m compileall``.
"""

import os
import subprocess
import sys
from statistics import median

RUNS = 7
_START = """
import resource, time
start = time.process_time()
from catkinspan.daemon.cli import main
try:
    main(["serve", "--help"])
except SystemExit:
    pass
peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
print(time.process_time() - start, peak / 1024)
"""


def measure_start(folder: str) -> tuple[float, float]:
    """Return the processor time in seconds, and the peak memory in MB."""
    environment = {**os.environ, "PYTHONPATH": folder}
    run = subprocess.run(
        [sys.executable, "-c", _START],
        capture_output=True,
        text=True,
        check=True,
        env=environment,
        cwd=folder,
    )
    seconds, megabytes = run.stdout.splitlines()[-1].split()
    return float(seconds), float(megabytes)


def main() -> None:
    """Print the medians of both and the ratio of their processor times."""
    if len(sys.argv) != 3:
        sys.exit("name two folders with installations: OLDER NEWER")
    pairs = [tuple(map(measure_start, sys.argv[1:])) for _ in range(RUNS)]
    medians = []
    for index, folder in enumerate(sys.argv[1:]):
        seconds = median(pair[index][0] for pair in pairs)
        megabytes = median(pair[index][1] for pair in pairs)
        medians.append(seconds)
        print(f"{folder}: {seconds * 1000:.0f} ms, {megabytes:.1f} MB")
    print(f"ratio {medians[1] / medians[0]:.2f}")


if __name__ == "__main__":
    main()
