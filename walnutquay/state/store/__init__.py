# Licensed under the Apache License 2.0: see LICENSE for details.

"""What the platform's store tells: configuration, endpoints and orders.

Decided here: which entry of an endpoint counts, and when one without an entry is gone;
from entries, their order, and when the store was away.
"""
