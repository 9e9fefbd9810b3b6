# Licensed under the Apache License 2.0: see LICENSE for details.

"""Request handling rules: stages, refusals, and the endpoints that may run a request.

These modules decide when a request may be reported as "not run", which endpoints are
ejected because they fail, and which requests crash the endpoints that run them.  The
decisions use outcomes observed by this VM and outcomes reported by other VMs.
"""
