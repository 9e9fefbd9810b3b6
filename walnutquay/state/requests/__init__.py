# Licensed under the Apache License 2.0: see LICENSE for details.

"""What holds for every request: its stages, refusals, and which endpoint may run it.

Decided here: what "not run" may be said of, which endpoints are left out as failing,
and which requests end the endpoints that run them; from outcomes seen here and told by
other VMs.
"""
