# Licensed under the Apache License 2.0: see LICENSE for details.

"""What an entry VM costs, and how the cost grows with the fleet and with its work.

Measured on real processes: the added time and processor time of a request against a
bare pass-through (``overhead``), the processor time of reading objects of the store
(``decoding``), and processor, memory and bytes by the number of peers, endpoints,
requests, streams, changes and reports (``slopes``).  ``page`` works out the largest
fleet of ``aims`` from the slopes.
"""
