# Licensed under the Apache License 2.0: see LICENSE for details.

"""Rate limits that endpoints name for a whole fleet, in simulated time."""
