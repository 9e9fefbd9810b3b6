# Licensed under the Apache License 2.0: see LICENSE for details.

"""What requests that end their engines cost a fleet, in simulated time.

Measured by design and fleet size: engines ended for each such request, broken tries
and refusals of other requests, and bytes between VMs.
"""
