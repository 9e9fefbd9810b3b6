# Licensed under the Apache License 2.0: see LICENSE for details.

"""Reporting of bytes that endpoints sent and that belong to no request."""

from __future__ import annotations

from walnutquay.coordination.process.context import Context
from walnutquay.state.process.events import EventKind
from walnutquay.transport.strays import OnStray, Stray


def stray_reporter(context: Context) -> OnStray:
    """Return a callback that reports bytes that belong to no request.

    The callback counts each occurrence and emits an event for it.

    :param context: the state shared by this process.
    """

    def report(stray: Stray) -> None:
        context.metrics.count(f"strays_{stray.kind.value}")
        context.timeline.emit(
            EventKind.STRAY,
            request=stray.request,
            endpoint=stray.address,
            detail=stray.kind.value,
            bytes=stray.size,
            named=stray.named,
        )

    return report
