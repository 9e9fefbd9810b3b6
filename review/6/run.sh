#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
root=$(cd ../.. && pwd)
PYTHONPATH="$root/target/deps:$root/review:$root" exec python3 run.py
