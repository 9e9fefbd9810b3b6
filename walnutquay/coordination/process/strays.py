# Licensed under the Apache License 2.0: see LICENSE for details.

"""Tells of bytes that endpoints sent and that belong to no request."""

from __future__ import annotations

from walnutquay.coordination.process.context import Context
from walnutquay.state.process.events import EventKind
from walnutquay.transport.connections import OnStray, Stray


def stray_reporter(context: Context) -> OnStray:
    """:param context: what this process shares.

    :returns: what counts such bytes, and writes a line for each occurrence.
    """

    def tell(stray: Stray) -> None:
        context.metrics.count(f"strays_{stray.kind.value}")
        context.timeline.emit(
            EventKind.STRAY,
            request=stray.request,
            endpoint=stray.address,
            detail=stray.kind.value,
            bytes=stray.size,
            named=stray.named,
        )

    return tell
