# Licensed under the Apache License 2.0: see LICENSE for details.

"""Tests of the daemon that serves the platform's callers."""
