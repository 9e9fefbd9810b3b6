# Licensed under the Apache License 2.0: see LICENSE for details.

"""The largest fleet that is asked for, and what control may cost at each of its VMs."""

# Entry VMs, data halls, engines, requests and tokens a second.
NODES = 640
HALLS = 4
WORKERS = 6_800
REQUESTS = 35_000
TOKENS = 11_000_000
CHANGES_A_DAY = 6_900
FAILURES_A_DAY = 39
REPLACED_A_DAY = 420
# Seconds.
DAY = 86_400
# Of one core, megabytes, bytes a second.
LIMIT_CPU = 0.022
LIMIT_MB = 128
LIMIT_BYTES = 27_000
# Calls of the whole fleet to the store, a second.
LIMIT_WRITES = 300
LIMIT_READS = 2_000
# Seconds in which a change is in force everywhere.
LIMIT_IN_FORCE = 11
