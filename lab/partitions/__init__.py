# Licensed under the Apache License 2.0: see LICENSE for details.

"""VMs that reach no endpoint, in simulated fleets."""
