# Licensed under the Apache License 2.0: see LICENSE for details.

"""Recorded traces: reading, replaying and judging them."""
