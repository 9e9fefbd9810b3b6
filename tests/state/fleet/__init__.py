# Licensed under the Apache License 2.0: see LICENSE for details.

"""Tests of the membership of the fleet."""
