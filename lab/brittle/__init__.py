# Licensed under the Apache License 2.0: see LICENSE for details.

"""Ways to keep brittle endpoints from crashing, in simulated fleets."""
