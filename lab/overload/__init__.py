# Licensed under the Apache License 2.0: see LICENSE for details.

"""Replays of loads beyond what endpoints bear, on real VMs in one process."""
