# Licensed under the Apache License 2.0: see LICENSE for details.

"""Whether sessions keep their version in a fleet's trial, in simulated time.

Measured by fleet size, restarts and late VMs: requests on the wrong version,
datagrams, bytes and memory (``costs``), and the same with one part of the agreement
switched off (``ablation``).
"""
