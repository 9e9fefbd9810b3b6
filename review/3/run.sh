#!/usr/bin/env bash
# Plays the case; see claim.txt.  TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.."
PYTHONPATH=target/deps exec python3 -B review/3/case.py
