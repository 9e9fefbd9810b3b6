# Licensed under the Apache License 2.0: see LICENSE for details.

"""Which entry VMs there are, and which of them does what is done once.

Decided from the places that VMs tell of themselves, alike at each of them.
"""
