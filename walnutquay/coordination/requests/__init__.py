# Licensed under the Apache License 2.0: see LICENSE for details.

"""The request path shared by all interfaces: stages, slots, attempts and outcomes.

This package owns the requests in progress and the evidence against requests that crash
endpoints, which it exchanges with the other VMs.
"""
