# Licensed under the Apache License 2.0: see LICENSE for details.

"""What this VM knows from the platform's store: configuration, endpoints, orders.

It owns what is known; it hears from the store or from VMs that watch it, and tells
listeners of each change.
"""
