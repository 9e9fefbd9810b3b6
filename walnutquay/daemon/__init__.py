# Licensed under the Apache License 2.0: see LICENSE for details.

"""The thin daemon: it assembles the tasks and serves HTTP."""
