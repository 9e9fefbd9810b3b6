# Licensed under the Apache License 2.0: see LICENSE for details.

"""Objects read from the platform's store: configuration, endpoints and orders.

This package decides which entry of an endpoint is current, and when an endpoint
without an entry is removed.  The decisions depend on the entries, their order, and the
times at which the store was unavailable.
"""
