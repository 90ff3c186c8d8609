#!/bin/sh
# Builds the stand-ins of the second review: they are Python without other packages.
set -e
cd "$(dirname "$0")/.."
test -d target/deps/catkinspan || {
  echo "run the build of deploy/system.toml first" >&2
  exit 2
}
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
python3 -m py_compile review/harness2.py review/[6-9]/case.py
