"""Regenerates the tables of settings in a Markdown page.

Example: ``python -m catkinspan.daemon.settings_tables docs/OPERATIONS.md``.
"""

import argparse
import sys
from pathlib import Path

from catkinspan.protocol.settings.tables import update_tables


def main() -> int:
    """Rewrite the page given on the command line."""
    parser = argparse.ArgumentParser(description="Regenerate the tables of settings.")
    parser.add_argument("page", type=Path, help="Markdown page to rewrite")
    page: Path = parser.parse_args().page
    page.write_text(update_tables(page.read_text()))
    return 0


if __name__ == "__main__":
    sys.exit(main())
