# Licensed under the Apache License 2.0: see LICENSE for details.

"""The garbage collector, set for a daemon."""

from __future__ import annotations

import gc

# Objects that are made before the collector looks at the young ones.
GC_THRESHOLD = 20_000


def pause_collector() -> None:
    """Keep the garbage collector off the imports, which make hardly any garbage."""
    gc.disable()


def tune_collector() -> None:
    """Keep the garbage collector off what lives as long as the process.

    A request makes some hundred objects and few cycles; with the default
    threshold each request set off a collection.
    """
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)
    gc.enable()
