# Licensed under the Apache License 2.0: see LICENSE for details.

"""The users' platform: its names, formats and calls, and nothing that decides."""
