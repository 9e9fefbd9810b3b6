# Licensed under the Apache License 2.0: see LICENSE for details.

"""Most new connections at one VM: what its callers see, with real processes."""
