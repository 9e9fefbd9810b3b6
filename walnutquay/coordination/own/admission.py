# Licensed under the Apache License 2.0: see LICENSE for details.

"""Admission of requests, which wait until an endpoint has a slot."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from expression import Error, Ok, Result

from walnutquay.coordination.own.configurations import Configurations
from walnutquay.coordination.process.context import Context
from walnutquay.coordination.requests.slots import Grant, SlotRequest
from walnutquay.state.own.admission import PoolQueue, QueuedRequest
from walnutquay.state.own.configuration import Configuration
from walnutquay.state.process.events import EventKind
from walnutquay.state.process.ids import EndpointName, RequestId
from walnutquay.state.requests.endpoints import EndpointTable, subset
from walnutquay.state.requests.preference import endpoints_apart
from walnutquay.state.requests.refusals import Refusal, RefusalCode
from walnutquay.state.requests.regions import filter_by_region
from walnutquay.state.store.parts import Endpoint
from walnutquay.transport.timers import monotonic

NO_ENDPOINT_RETRY = 2.0


@dataclass(slots=True)
class _Waiter:
    """A waiting request, and the future that receives its slot or refusal."""

    need: SlotRequest
    future: asyncio.Future[Result[Grant, Refusal]]


class Admission:
    """Allocates slots at endpoints, in fair shares between organisations.

    :param context: the state shared by this process.
    :param configurations: the pools, the endpoints and the versions they run.
    :param table: the state of endpoints.
    """

    def __init__(
        self, context: Context, configurations: Configurations, table: EndpointTable
    ) -> None:
        self.context = context
        self.configurations = configurations
        self.table = table
        self.queues: dict[str, PoolQueue] = {}
        self.waiters: dict[RequestId, _Waiter] = {}
        # The subset of endpoints that this VM uses, by version or service.
        self.subsets: dict[str, list[Endpoint]] = {}
        configurations.listeners.append(self.on_configuration)

    def endpoints_for(self, need: SlotRequest) -> list[Endpoint]:
        """Return the endpoints that this VM uses for a request.

        If none of the subset is in a region where the request may run, all endpoints
        in these regions are returned.

        :param need: the properties of the request.
        :returns: endpoints in regions where the request may run.
        """
        region_of = self.configurations.current.regions
        permitted = filter_by_region(
            self.endpoints_of(need.target), need.regions, region_of
        )
        if permitted or need.regions is None:
            return permitted
        return filter_by_region(
            self._all_endpoints_of(need.target), need.regions, region_of
        )

    def endpoints_of(self, target: str) -> list[Endpoint]:
        """Return the endpoints that this VM uses for a version or service.

        :param target: the version or service.
        :returns: the subset, or all endpoints if none of the subset is usable.
        """
        all_endpoints = self._all_endpoints_of(target)
        chosen = self.subsets.get(target)
        if chosen is None:
            chosen = subset(all_endpoints, self.context.vm, self.context.hall)
            self.subsets[target] = chosen
        return chosen if self.table.usable_count(chosen) else all_endpoints

    def _all_endpoints_of(self, target: str) -> list[Endpoint]:
        current = self.configurations.current
        found = current.endpoints_of_version.get(target)
        if found is None:
            found = current.endpoints_of_service.get(target, [])
        return [item for item in found if item.hall not in current.emptied_halls]

    def endpoints_in_use(self) -> list[Endpoint]:
        """Return the endpoints that this VM uses for any version or service."""
        current = self.configurations.current
        targets = [*current.endpoints_of_version, *current.endpoints_of_service]
        found = {e.name: e for t in targets for e in self.endpoints_of(t)}
        return list(found.values())

    async def acquire(self, need: SlotRequest) -> Result[Grant, Refusal]:
        """Acquire a slot, waiting in the queue of the pool if none is free.

        :param need: the properties of the request.
        :returns: the slot, or why there is none.
        """
        endpoints = self.endpoints_for(need)
        refusal = self._unusable(need, endpoints)
        if refusal is not None:
            return Error(refusal)
        queue = self._queue(endpoints[0].pool)
        now = monotonic()
        if not queue.length:
            endpoint = self._choose(endpoints, now, need)
            if endpoint is not None:
                return Ok(self._grant(endpoint, now))
        return await self._wait(queue, need, endpoints, now)

    def release(self, grant: Grant) -> None:
        """Release a slot.

        :param grant: the slot.
        """
        facts = self.table.state_of(grant.name)
        facts.in_flight -= 1
        queue = self._queue(grant.endpoint.pool)
        queue.running -= 1
        queue.record_duration(monotonic() - grant.started)
        self.wake(grant.endpoint.pool)

    def full(self, grant: Grant) -> None:
        """Record that an endpoint refused a request for lack of capacity.

        :param grant: the slot for which the endpoint had no capacity.
        """
        self.table.full(grant.name, monotonic())
        self._wake_when_not_full(grant.name, grant.endpoint.pool)

    def _wake_when_not_full(self, name: str, pool: str) -> None:
        """Wake a pool as soon as an endpoint is no longer treated as full.

        A loop counts from the beginning of its turn, so its timers may end too early.
        """
        left = self.table.state_of(name).full_until - monotonic()
        if left <= 0.0:
            self.wake(pool)
            return
        loop = asyncio.get_running_loop()
        loop.call_later(left, self._wake_when_not_full, name, pool)

    def wake(self, pool: str) -> None:
        """Grant slots to the waiting requests of a pool while any are free.

        :param pool: the pool in which capacity may have become free.
        """
        queue = self.queues.get(pool)
        while queue is not None and queue.length:
            now = monotonic()
            waiting = queue.next(self._has_room(now), now)
            if waiting is None:
                return
            waiter = self.waiters.pop(waiting.request)
            endpoints = self.endpoints_for(waiter.need)
            endpoint = self._choose(endpoints, now, waiter.need)
            assert endpoint is not None
            waiter.future.set_result(Ok(self._grant(endpoint, now)))

    def on_configuration(self, configuration: Configuration) -> None:
        """Refuse waiting requests that can no longer be served, and wake the others.

        :param configuration: the configuration that came into force.
        """
        self.subsets.clear()
        for request, waiter in list(self.waiters.items()):
            endpoints = self.endpoints_for(waiter.need)
            refusal = self._unusable(waiter.need, endpoints)
            if refusal is None:
                continue
            for queue in self.queues.values():
                queue.remove(request)
            del self.waiters[request]
            waiter.future.set_result(Error(refusal))
        for name, pool in configuration.pools.items():
            if name in self.queues:
                self.queues[name].pool = pool
            self.wake(name)

    def _unusable(self, need: SlotRequest, endpoints: list[Endpoint]) -> Refusal | None:
        untried = [
            endpoint for endpoint in endpoints if endpoint.name not in need.tried
        ]
        if self.table.usable_count(untried):
            return None
        return Refusal(
            RefusalCode.NO_ENDPOINT,
            f"no endpoint runs {need.target} now",
            NO_ENDPOINT_RETRY,
        )

    def _choose(
        self, endpoints: list[Endpoint], now: float, need: SlotRequest
    ) -> Endpoint | None:
        if need.suspect:
            # All attempts of a suspect go to the same endpoint, away from the
            # requests that were interrupted beside it.
            names = [EndpointName(item.name) for item in endpoints]
            apart = set(endpoints_apart(names, need.suspect, need.companions))
            preferred = [item for item in endpoints if item.name in apart]
            for found in (preferred, endpoints):
                chosen = self.table.choose(found, now, "", need.tried, need.suspect)
                if chosen is not None:
                    return chosen
            return None
        return self.table.choose(endpoints, now, need.hint, need.tried, need.prefix)

    def _queue(self, pool: str) -> PoolQueue:
        queue = self.queues.get(pool)
        if queue is None:
            queue = PoolQueue(self.configurations.current.pools[pool])
            self.queues[pool] = queue
        return queue

    def _grant(self, endpoint: Endpoint, now: float) -> Grant:
        queue = self._queue(endpoint.pool)
        self.table.state_of(endpoint.name).in_flight += 1
        queue.running += 1
        return Grant(endpoint, now, queue.pool.work)

    def _has_room(self, now: float) -> Callable[[QueuedRequest], bool]:
        """Return a predicate: whether a waiting request can have a slot now."""
        has_room_by_key: dict[tuple[str, frozenset[str], object], bool] = {}

        def has_room(waiting: QueuedRequest) -> bool:
            need = self.waiters[waiting.request].need
            key = (waiting.target, waiting.tried, need.regions)
            if key not in has_room_by_key:
                endpoints = self.endpoints_for(need)
                choice = self.table.choose(endpoints, now, tried=waiting.tried)
                has_room_by_key[key] = choice is not None
            return has_room_by_key[key]

        return has_room

    def _slots(self, endpoints: list[Endpoint]) -> int:
        return sum(e.slots for e in endpoints if not self.table.is_leaving(e))

    async def _wait(
        self, queue: PoolQueue, need: SlotRequest, endpoints: list[Endpoint], now: float
    ) -> Result[Grant, Refusal]:
        until = min(
            queue.latest_start(need.deadline), need.since + queue.pool.queue_seconds
        )
        waiting = QueuedRequest(
            need.request,
            need.organisation,
            need.weight,
            until,
            need.target,
            need.tried,
        )
        refusal = queue.offer(waiting, now, self._slots(endpoints))
        if refusal is not None:
            return Error(refusal)
        self.context.timeline.emit(EventKind.QUEUED, request=need.request)
        waiter = _Waiter(need, asyncio.get_running_loop().create_future())
        self.waiters[need.request] = waiter
        # A slot may have become free between the choice and entering the queue.
        self.wake(queue.pool.name)
        try:
            async with asyncio.timeout(until - now):
                return await asyncio.shield(waiter.future)
        except TimeoutError:
            return self._on_timeout(queue, waiter, endpoints)
        except asyncio.CancelledError:
            self._on_cancelled(queue, waiter)
            raise
        finally:
            self.context.metrics.record("queue", monotonic() - now)

    def _on_timeout(
        self, queue: PoolQueue, waiter: _Waiter, endpoints: list[Endpoint]
    ) -> Result[Grant, Refusal]:
        if waiter.future.done():
            return waiter.future.result()
        self._leave_queue(queue, waiter)
        need = waiter.need
        wait = queue.expected_wait(
            self._slots(endpoints), need.organisation, need.weight
        )
        return Error(
            Refusal(
                RefusalCode.QUEUE_TIMEOUT,
                f"pool {queue.pool.name} had no room in time",
                wait,
            )
        )

    def _on_cancelled(self, queue: PoolQueue, waiter: _Waiter) -> None:
        """Release the slot of a caller that has disconnected, or leave the queue."""
        if not waiter.future.done():
            self._leave_queue(queue, waiter)
            return
        result = waiter.future.result()
        if result.is_ok():
            self.release(result.ok)

    def _leave_queue(self, queue: PoolQueue, waiter: _Waiter) -> None:
        queue.remove(waiter.need.request)
        self.waiters.pop(waiter.need.request, None)
