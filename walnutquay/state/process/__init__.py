# Licensed under the Apache License 2.0: see LICENSE for details.

"""Types that all decisions share: ids, clocks, decaying counts, events and metrics.

This package makes no decisions.
"""
