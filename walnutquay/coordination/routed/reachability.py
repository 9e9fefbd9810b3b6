# Licensed under the Apache License 2.0: see LICENSE for details.

"""Tracks which endpoints accept connections from this VM, and from which others."""

from __future__ import annotations

import asyncio

from walnutquay.coordination.process.context import Context
from walnutquay.coordination.process.tasks import Tasks
from walnutquay.coordination.routed.linkqueries import LinkQueries
from walnutquay.state.process.events import EventKind
from walnutquay.state.process.ids import EndpointName
from walnutquay.state.routed.links import LostLink, Reach
from walnutquay.state.store.instances import Instance, InstanceRegistry
from walnutquay.transport.client import probe
from walnutquay.transport.timers import monotonic

# The interval between probes of an unreachable endpoint.
PROBE_SECONDS = 0.3
# How long a request waits for the answers of other VMs.  One that reaches the endpoint
# answers within some milliseconds.
WAIT_SECONDS = 0.2
# Once the link to one endpoint is lost, so many others are probed at once: the links to
# all of them may be.
PROBED_TOGETHER = 16


class Reachability:
    """Tracks unreachable endpoints and probes them until they accept connections.

    An endpoint that only this VM cannot reach is used through VMs that do.

    :param context: the state shared within this process.
    :param registry: the listed endpoints.
    :param queries: asks other VMs whether they reach endpoints.
    """

    def __init__(
        self, context: Context, registry: InstanceRegistry, queries: LinkQueries
    ) -> None:
        self.context = context
        self.registry = registry
        self.queries = queries
        # Endpoints whose last connection attempt failed.
        self.unreachable: dict[EndpointName, LostLink] = {}
        self.probes = Tasks()
        # Running checks, shared by all requests that wait for them.
        self.checks: dict[EndpointName, asyncio.Task[Reach]] = {}
        # Running queries of other VMs, shared in the same way.
        self.asked: dict[EndpointName, asyncio.Task[None]] = {}
        # When the other endpoints were probed last; monotonic seconds.
        self.probed_others_at = float("-inf")

    def close(self) -> None:
        """Stop all probes and checks."""
        self.probes.stop()
        self.queries.stop()

    def exclude_unreachable(self, endpoints: list[Instance]) -> list[Instance]:
        """Exclude endpoints that no VM seems to reach, unless no others are left.

        :param endpoints: the endpoints to choose from.
        """
        lost = {
            name: one
            for name, one in self.unreachable.items()
            if not one.is_forwarded()
        }
        halls = {one.hall for one in lost.values()}
        reachable = [item for item in endpoints if item.name not in lost]
        unaffected = [item for item in reachable if item.hall not in halls]
        return unaffected or reachable or endpoints

    def are_down(self, endpoints: list[Instance]) -> bool:
        """Return whether no VM that was asked lately reaches any of some endpoints.

        :param endpoints: the endpoints; at least one.
        """
        if not self.unreachable:
            return False
        now = monotonic()
        lost = [self.unreachable.get(item.name) for item in endpoints]
        return all(one is not None and one.is_down(now) for one in lost)

    def is_direct(self, endpoint: Instance) -> bool:
        """Return whether a connection to an endpoint is to be made by this VM itself.

        :param endpoint: the endpoint.
        """
        lost = self.unreachable.get(endpoint.name)
        return lost is None or lost.is_down(monotonic())

    def mark_unreachable(self, endpoint: Instance, silent: bool) -> LostLink:
        """Avoid an endpoint that cannot be connected to until it accepts connections.

        :param endpoint: the endpoint.
        :param silent: whether there was no response at all.  The network path to its
            whole data hall may then be cut, so the hall is avoided too.
        :returns: what is known of the endpoint from now on.
        """
        known = self.unreachable.get(endpoint.name)
        if known is not None:
            return known
        hall_suspected = silent and endpoint.hall != self.context.hall
        lost = LostLink(endpoint, endpoint.hall if hall_suspected else None)
        self.unreachable[endpoint.name] = lost
        self.context.timeline.emit(
            EventKind.ENDPOINT_UNREACHED,
            endpoint=endpoint.name,
            detail=f"{endpoint.service} in {endpoint.hall}",
            silent=silent,
        )
        self.probes.spawn(self._probe(lost))
        return lost

    def forget(self, name: EndpointName) -> None:
        """Discard the state of an endpoint that is gone or has restarted.

        :param name: the endpoint.
        """
        self.unreachable.pop(name, None)

    # Checks by this VM itself.

    async def check_reachable(self, endpoint: Instance, forwarded: bool) -> bool:
        """Check whether a connection to a silent endpoint may still work.

        Where only this VM is refused, connections that are open may go on.

        :param endpoint: the endpoint; if the check fails, it is avoided from now on.
        :param forwarded: whether another VM forwards the connection.
        """
        lost = self.unreachable.get(endpoint.name)
        if lost is not None and lost.is_forwarded():
            return forwarded or lost.only_refuses
        if lost is not None or not self.registry.is_current(endpoint):
            return False
        reach = await self._check(endpoint)
        if reach is Reach.REACHED:
            return True
        lost = await self.find_helpers(endpoint, silent=True)
        lost.only_refuses = reach is Reach.REFUSED
        if lost.is_forwarded():
            return lost.only_refuses
        # One that no VM reaches may pause, and go on.
        return reach is Reach.SILENT and await self._check(endpoint) is Reach.REACHED

    async def _check(self, endpoint: Instance) -> Reach:
        """Try to connect to an endpoint; concurrent checks share their attempts."""
        check = self.checks.get(endpoint.name)
        if check is None:
            check = self.probes.spawn(_connect_twice(endpoint))
            self.checks[endpoint.name] = check
            check.add_done_callback(lambda _: self.checks.pop(endpoint.name, None))
        return await asyncio.shield(check)

    async def reach(self, endpoint: Instance) -> Reach:
        """Return whether this VM itself reaches an endpoint now.

        :param endpoint: the endpoint.
        """
        if endpoint.name in self.unreachable:
            return Reach.SILENT
        return await self._check(endpoint)

    # The links of this VM.

    async def find_helpers(self, endpoint: Instance, silent: bool) -> LostLink:
        """Ask other VMs whether they reach an endpoint that this VM does not.

        :param endpoint: the endpoint.
        :param silent: whether there was no response at all.
        :returns: the endpoint, with the VMs that reach it.
        """
        lost = self.mark_unreachable(endpoint, silent)
        if lost.is_due(monotonic()) or endpoint.name in self.asked:
            await self._ask(lost)
        return lost

    async def _ask(self, lost: LostLink) -> None:
        name = lost.endpoint.name
        query = self.asked.get(name)
        if query is None:
            query = self.asked[name] = self.probes.spawn(self._query(lost))
            query.add_done_callback(lambda _: self.asked.pop(name, None))
        await asyncio.wait([query], timeout=WAIT_SECONDS)

    async def _query(self, lost: LostLink) -> None:
        before = lost.is_forwarded()
        await self.queries.ask(lost)
        if before or not lost.is_forwarded():
            return
        self.context.metrics.count("links_lost")
        self.context.timeline.emit(
            EventKind.LINK_LOST,
            endpoint=lost.endpoint.name,
            detail=f"reached by {', '.join(lost.helpers)}",
        )
        self._probe_others()

    def _probe_others(self) -> None:
        """Probe other endpoints, as the links to them may be lost too."""
        now = monotonic()
        if now < self.probed_others_at + PROBE_SECONDS:
            return
        self.probed_others_at = now
        others = [
            item
            for name, item in self.registry.known.items()
            if name not in self.unreachable
        ]
        count = min(PROBED_TOGETHER, len(others))
        for endpoint in self.context.rng.sample(others, count):
            self.probes.spawn(self.link_is_lost(endpoint))

    async def link_is_lost(self, endpoint: Instance) -> bool:
        """Check whether only this VM does not reach an endpoint.

        What then breaks is not the endpoint's fault, nor its requests'.

        :param endpoint: an endpoint to which a connection has broken or timed out.
        """
        if endpoint.name not in self.unreachable:
            reach = await self._check(endpoint)
            if reach is Reach.REACHED:
                return False
            lost = await self.find_helpers(endpoint, reach is Reach.SILENT)
        else:
            lost = self.unreachable[endpoint.name]
            if lost.is_due(monotonic()):
                await self._ask(lost)
        if not lost.is_forwarded():
            return False
        # One that has started again meanwhile is reached by this VM as well.
        return await probe(endpoint.address) is not Reach.REACHED

    async def _probe(self, lost: LostLink) -> None:
        """Probe an endpoint until it is reachable, so that no request has to."""
        name = lost.endpoint.name
        began = monotonic()
        while self.unreachable.get(name) is lost:
            await asyncio.sleep(PROBE_SECONDS)
            if await probe(lost.endpoint.address) is Reach.REACHED:
                break
        if self.unreachable.get(name) is lost:
            del self.unreachable[name]
            self.context.timeline.emit(
                EventKind.ENDPOINT_REACHED,
                endpoint=name,
                detail=f"after {monotonic() - began:.1f} s",
            )


async def _connect_twice(endpoint: Instance) -> Reach:
    """Connect up to twice: the first packet of a connection may be lost."""
    first = await probe(endpoint.address)
    return first if first is not Reach.SILENT else await probe(endpoint.address)
