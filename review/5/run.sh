#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=review exec python3 review/5/case.py
