# Licensed under the Apache License 2.0: see LICENSE for details.

"""The event loop of the daemons."""

from __future__ import annotations

import uvloop


def new_loop() -> uvloop.Loop:
    """:returns: a loop as the daemons use it."""
    return uvloop.Loop()
