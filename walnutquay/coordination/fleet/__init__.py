# Licensed under the Apache License 2.0: see LICENSE for details.

"""The other entry VMs of the platform: which there are, and how they are reached.

It owns the list of VMs; it hears of VMs that come and go, and tells whoever asks.
"""
