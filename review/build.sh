#!/usr/bin/env bash
# Builds what the scripts of the review start, after the build of the deploy file.  The
# stand-ins are Python, and need the libraries in target/deps only.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH=target/deps
python3 -m compileall -q review standins
python3 -c 'import aiohttp, standins.store'
