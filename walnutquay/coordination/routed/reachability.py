# Licensed under the Apache License 2.0: see LICENSE for details.

"""Tracks which endpoints accept connections from this VM."""

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

# The interval between probes of an unreachable endpoint.
PROBE_SECONDS = 0.3


@dataclass(frozen=True, slots=True, eq=False)
class UnreachableEndpoint:
    """An endpoint that cannot be connected to.

    :param endpoint: the endpoint.
    :param hall: the data hall that seems to be cut off; None if only the endpoint
        refuses connections.
    """

    endpoint: Instance
    hall: HallName | None


class Reachability:
    """Tracks unreachable endpoints and probes them until they accept connections.

    :param context: the state shared within this process.
    :param registry: the listed endpoints.
    """

    def __init__(self, context: Context, registry: InstanceRegistry) -> None:
        self.context = context
        self.registry = registry
        # Endpoints whose last connection attempt failed.
        self.unreachable: dict[EndpointName, UnreachableEndpoint] = {}
        self.probes = Tasks()
        # Running checks, shared by all requests that wait for them.
        self.checks: dict[EndpointName, asyncio.Task[bool]] = {}

    def close(self) -> None:
        """Stop all probes and checks."""
        self.probes.stop()

    def exclude_unreachable(self, endpoints: list[Instance]) -> list[Instance]:
        """Exclude endpoints that seem unreachable, unless no others are left.

        :param endpoints: the endpoints to choose from.
        """
        halls = {one.hall for one in self.unreachable.values()}
        reachable = [item for item in endpoints if item.name not in self.unreachable]
        unaffected = [item for item in reachable if item.hall not in halls]
        return unaffected or reachable or endpoints

    def mark_unreachable(self, endpoint: Instance, silent: bool) -> None:
        """Avoid an endpoint that cannot be connected to until it accepts connections.

        :param endpoint: the endpoint.
        :param silent: whether there was no response at all.  The network path to its
            whole data hall may then be cut, so the hall is avoided too.
        """
        if endpoint.name in self.unreachable:
            return
        hall_suspected = silent and endpoint.hall != self.context.hall
        unreachable_endpoint = UnreachableEndpoint(
            endpoint, endpoint.hall if hall_suspected else None
        )
        self.unreachable[endpoint.name] = unreachable_endpoint
        self.context.timeline.emit(
            EventKind.ENDPOINT_UNREACHED,
            endpoint=endpoint.name,
            detail=f"{endpoint.service} in {endpoint.hall}",
            silent=silent,
        )
        self.probes.spawn(self._probe(unreachable_endpoint))

    def forget(self, name: EndpointName) -> None:
        """Discard the state of an endpoint that is gone or has restarted.

        :param name: the endpoint.
        """
        self.unreachable.pop(name, None)

    async def check_reachable(self, endpoint: Instance) -> bool:
        """Check whether a silent endpoint still accepts connections.

        :param endpoint: the endpoint; if the check fails, it is avoided from now on.
        """
        if endpoint.name in self.unreachable or not self.registry.is_current(endpoint):
            return False
        check = self.checks.get(endpoint.name)
        if check is None:
            check = self.probes.spawn(_connect_twice(endpoint))
            self.checks[endpoint.name] = check
            check.add_done_callback(lambda _: self.checks.pop(endpoint.name, None))
        if await asyncio.shield(check):
            return True
        self.mark_unreachable(endpoint, silent=True)
        return False

    async def _probe(self, unreachable_endpoint: UnreachableEndpoint) -> None:
        """Probe an endpoint until it is reachable, so that no request has to."""
        name = unreachable_endpoint.endpoint.name
        began = monotonic()
        while self.unreachable.get(name) is unreachable_endpoint:
            await asyncio.sleep(PROBE_SECONDS)
            if await is_reachable(unreachable_endpoint.endpoint.address):
                break
        if self.unreachable.get(name) is unreachable_endpoint:
            del self.unreachable[name]
            self.context.timeline.emit(
                EventKind.ENDPOINT_REACHED,
                endpoint=name,
                detail=f"after {monotonic() - began:.1f} s",
            )


async def _connect_twice(endpoint: Instance) -> bool:
    """Connect up to twice: the first packet of a connection may be lost."""
    first = await is_reachable(endpoint.address)
    return first or await is_reachable(endpoint.address)
