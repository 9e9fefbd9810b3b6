# Licensed under the Apache License 2.0: see LICENSE for details.

"""Tests of what speaks to the platform, and of its boundary."""
