# Licensed under the Apache License 2.0: see LICENSE for details.

"""Faults in series and overlapping against real entry VMs, for minutes, from a seed."""
