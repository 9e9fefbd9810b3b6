# Licensed under the Apache License 2.0: see LICENSE for details.

"""Which endpoints can be connected to, from this VM."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from walnutquay.coordination.process.context import Context
from walnutquay.coordination.process.tasks import Tasks
from walnutquay.state.process.events import EventKind
from walnutquay.state.process.ids import EndpointName, HallName
from walnutquay.state.store.instances import Instance, InstanceRegistry
from walnutquay.transport.client import is_reachable
from walnutquay.transport.timers import monotonic

# How often an endpoint is tried that could not be connected to.
PROBE_SECONDS = 0.3


@dataclass(frozen=True, slots=True, eq=False)
class Unreached:
    """An endpoint that cannot be connected to.

    :param endpoint: the endpoint.
    :param hall: the data hall that the way seems cut to; None where the endpoint
        itself refuses.
    """

    endpoint: Instance
    hall: HallName | None


class Reach:
    """Knows the endpoints that cannot be connected to, and tries them again.

    :param context: what this process shares.
    :param registry: the endpoints.
    """

    def __init__(self, context: Context, registry: InstanceRegistry) -> None:
        self.context = context
        self.registry = registry
        # Endpoints that cannot be connected to, since their last try.
        self.unreachable: dict[EndpointName, Unreached] = {}
        self.probes = Tasks()
        # Tries that are under way, shared by all who ask.
        self.tries: dict[EndpointName, asyncio.Task[bool]] = {}

    def close(self) -> None:
        """End all probes and tries."""
        self.probes.stop()

    def within(self, endpoints: list[Instance]) -> list[Instance]:
        """Leave out what seems cut off, unless nothing else is left.

        :param endpoints: some endpoints.
        """
        halls = {one.hall for one in self.unreachable.values()}
        near = [item for item in endpoints if item.name not in self.unreachable]
        fine = [item for item in near if item.hall not in halls]
        return fine or near or endpoints

    def lost(self, endpoint: Instance, silent: bool) -> None:
        """Avoid an endpoint that could not be connected to, until it can be.

        :param endpoint: the endpoint.
        :param silent: whether nothing answered at all; the way to its whole data
            hall may be cut then, which is avoided too.
        """
        if endpoint.name in self.unreachable:
            return
        cut = silent and endpoint.hall != self.context.hall
        unreached = Unreached(endpoint, endpoint.hall if cut else None)
        self.unreachable[endpoint.name] = unreached
        self.context.timeline.emit(
            EventKind.ENDPOINT_UNREACHED,
            endpoint=endpoint.name,
            detail=f"{endpoint.service} in {endpoint.hall}",
            silent=silent,
        )
        self.probes.spawn(self._probe(unreached))

    def forget(self, name: EndpointName) -> None:
        """:param name: an endpoint that has ended, whether it starts again or not."""
        self.unreachable.pop(name, None)

    async def still_there(self, endpoint: Instance) -> bool:
        """Try whether an endpoint that says nothing can be connected to at all.

        :param endpoint: the endpoint; it is avoided from now on if it cannot.
        """
        if endpoint.name in self.unreachable or not self.registry.is_current(endpoint):
            return False
        trying = self.tries.get(endpoint.name)
        if trying is None:
            trying = self.probes.spawn(_try_twice(endpoint))
            self.tries[endpoint.name] = trying
            trying.add_done_callback(lambda _: self.tries.pop(endpoint.name, None))
        if await asyncio.shield(trying):
            return True
        self.lost(endpoint, silent=True)
        return False

    async def _probe(self, unreached: Unreached) -> None:
        """Try an endpoint again and again, so that no request has to."""
        name = unreached.endpoint.name
        began = monotonic()
        while self.unreachable.get(name) is unreached:
            await asyncio.sleep(PROBE_SECONDS)
            if await is_reachable(unreached.endpoint.address):
                break
        if self.unreachable.get(name) is unreached:
            del self.unreachable[name]
            self.context.timeline.emit(
                EventKind.ENDPOINT_REACHED,
                endpoint=name,
                detail=f"after {monotonic() - began:.1f} s",
            )


async def _try_twice(endpoint: Instance) -> bool:
    """Try twice: the first packet of a connection may be lost."""
    first = await is_reachable(endpoint.address)
    return first or await is_reachable(endpoint.address)
