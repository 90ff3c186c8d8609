"""``python -m bench [NAME ...]``: run all benches, or those named."""

import importlib
import sys

BENCHES = (
    "rates",
    "configuration",
    "health",
    "slots",
    "claims",
    "detection",
    "invariants",
    "operators",
    "path",
)


def main(names: list[str]) -> int:
    """Run benches one after another; an unknown name is an error."""
    unknown = sorted(set(names) - set(BENCHES))
    if unknown:
        print(f"unknown bench {unknown}; name some of {BENCHES}", file=sys.stderr)
        return 2
    for name in names or BENCHES:
        importlib.import_module(f"bench.{name}").run()
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
