# Licensed under the Apache License 2.0: see LICENSE for details.

"""The demo: a small fleet, a recorded trace, and what came of it."""
