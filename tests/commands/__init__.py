# Licensed under the Apache License 2.0: see LICENSE for details.

"""Tests of commands that need no fleet of processes."""
