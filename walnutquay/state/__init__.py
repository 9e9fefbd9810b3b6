# Licensed under the Apache License 2.0: see LICENSE for details.

"""Tables and decisions: pure code without I/O, which is passed the current time."""
