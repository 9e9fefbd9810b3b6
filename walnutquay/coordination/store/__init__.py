# Licensed under the Apache License 2.0: see LICENSE for details.

"""A VM's copy of the platform's store: configuration, endpoints and orders.

This package owns the copy.  It receives changes from the store, or from VMs that watch
the store, and notifies listeners of each change.
"""
