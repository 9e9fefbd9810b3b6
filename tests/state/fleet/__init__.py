# Licensed under the Apache License 2.0: see LICENSE for details.

"""Tests of which entry VMs there are."""
