# Licensed under the Apache License 2.0: see LICENSE for details.

"""What every decision shares: ids, clocks, counts that fade, events and metrics.

Nothing is decided here.
"""
