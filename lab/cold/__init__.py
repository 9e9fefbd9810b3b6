# Licensed under the Apache License 2.0: see LICENSE for details.

"""What cold endpoints are sent by a whole fleet, in simulated time.

Measured by design and fleet size: starts of requests a second at a cold endpoint
against its limit, and how late requests are.
"""
