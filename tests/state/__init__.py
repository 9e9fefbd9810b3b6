# Licensed under the Apache License 2.0: see LICENSE for details.

"""Tests of tables and decisions, which are pure: room by room."""
