"""Entry point of ``python -m catkinspan``."""

import sys

from catkinspan.daemon.cli import main

if __name__ == "__main__":
    sys.exit(main())
