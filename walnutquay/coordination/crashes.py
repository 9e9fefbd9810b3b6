# Licensed under the Apache License 2.0: see LICENSE for details.

"""Endpoints that end while they run requests."""

from __future__ import annotations

import asyncio

from walnutquay.coordination.context import Context
from walnutquay.coordination.tasks import Tasks
from walnutquay.state.events import EventKind
from walnutquay.state.ids import EndpointName
from walnutquay.state.instances import Instance
from walnutquay.state.parts import Endpoint
from walnutquay.transport.client import is_refused


class CrashWatch:
    """Finds out whether endpoints have ended whose connections broke.

    :param context: what this process shares.
    """

    def __init__(self, context: Context) -> None:
        self.context = context
        self.tasks = Tasks()
        # Tries that are under way, shared by all requests that broke there.
        self.tries: dict[EndpointName, asyncio.Task[bool]] = {}

    async def has_ended(self, endpoint: Endpoint | Instance) -> bool:
        """Try whether nothing listens any more where an endpoint was.

        A connection alone may break on its way, or by the endpoint's choice.

        :param endpoint: an endpoint whose connection broke.
        """
        name = EndpointName(endpoint.name)
        trying = self.tries.get(name)
        if trying is None:
            trying = self.tries[name] = self.tasks.spawn(self._try(endpoint))
            trying.add_done_callback(lambda _: self.tries.pop(name, None))
        return await asyncio.shield(trying)

    async def _try(self, endpoint: Endpoint | Instance) -> bool:
        ended = await is_refused(endpoint.address)
        if ended:
            self.context.timeline.emit(
                EventKind.ENDPOINT_ENDED,
                endpoint=endpoint.name,
                detail="connections to it broke, and its port is closed",
            )
        return ended

    def close(self) -> None:
        """End all tries."""
        self.tasks.stop()
