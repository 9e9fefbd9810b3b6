# Licensed under the Apache License 2.0: see LICENSE for details.

"""The other entry VMs of the platform: which ones there are, and messages to them.

It maintains the list of VMs as VMs join and leave, and serves it to other VMs.
"""
