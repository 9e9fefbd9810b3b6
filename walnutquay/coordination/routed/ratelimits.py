# Licensed under the Apache License 2.0: see LICENSE for details.

"""Learns the rate limits that endpoints name, from answers and from other VMs."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from typing import Protocol

from walnutquay.coordination.process.context import Context
from walnutquay.coordination.process.dispatcher import Dispatcher
from walnutquay.coordination.process.tasks import Tasks
from walnutquay.coordination.routed.issuers import IssuerRanking
from walnutquay.protocol.messages import (
    AskRateLimits,
    Envelope,
    Message,
    RateLimitNews,
    RateLimitRow,
)
from walnutquay.state.process.events import EventKind
from walnutquay.state.process.ids import EndpointName, HallName, VmName
from walnutquay.state.routed.ratelimits import NamedLimit, RateLimitTable
from walnutquay.state.store.instances import Instance, InstanceRegistry
from walnutquay.transport.timers import monotonic

MILLISECONDS = 1000.0
# Limits are announced again at this interval, since datagrams may be lost; in larger
# fleets at a longer one, so that the announcements take no more bytes.
ANNOUNCE_SECONDS = 3.0
VMS_PER_INTERVAL = 120
# Other VMs may be busy as one starts; they are queried again after a pause.
QUERY_TRIES = 10
QUERY_PAUSE_SECONDS = 0.5
# Rows per datagram: each takes about 60 bytes, so that a datagram fits one packet.
MAX_ROWS = 20


class Peers(Protocol):
    """The other entry VMs."""

    # Set once there is a list of VMs.
    listed: asyncio.Event

    @property
    def size(self) -> int:
        """The number of entry VMs, including this one."""

    def hall_of(self, vm: VmName) -> HallName | None:
        """Return the data hall of a VM, or None if the VM is not known.

        :param vm: the VM.
        """

    def send_to(self, vms: Iterable[VmName], body: Message) -> None:
        """Send a message to some VMs; it may be lost.

        :param vms: the VMs.
        :param body: the message.
        """

    def broadcast_by_relays(self, body: Message) -> None:
        """Send a message to all VMs, in larger fleets through relays; it may be lost.

        :param body: the message.
        """

    def relay(self, hall: HallName, body: Message) -> None:
        """Forward a message from another data hall in this one, if this VM is a relay.

        :param hall: the data hall of the sender.
        :param body: the message.
        """

    async def query_any(self, body: Message) -> Message | None:
        """Send a query to several VMs at once.

        :param body: the query.
        :returns: the first answer; None if there is none.
        """


class RateLimits:
    """The rate limits of endpoints.

    :param context: the state shared within this process.
    :param registry: the listed endpoints.
    :param peers: the other VMs.
    :param ranking: which VM issues the permits of an endpoint.
    """

    def __init__(
        self,
        context: Context,
        registry: InstanceRegistry,
        peers: Peers,
        ranking: IssuerRanking,
    ) -> None:
        self.context = context
        self.registry = registry
        self.peers = peers
        self.ranking = ranking
        self.table = RateLimitTable()
        self.tasks = Tasks()
        # The time of the last announcement; monotonic seconds.
        self.announced_at = monotonic()

    def listen(self, dispatcher: Dispatcher) -> None:
        """Register for the other VMs' messages.

        :param dispatcher: dispatches received messages.
        """
        dispatcher.on(RateLimitNews, self.receive)
        dispatcher.on(AskRateLimits, self.answer)

    def start(self) -> None:
        """Query the other VMs for their limits, and start to announce those of this."""
        self.tasks.spawn(self._query_peers())
        self.context.timers.on_wake(self._on_wake)
        self.context.timers.every("rate limits", ANNOUNCE_SECONDS, self.announce_all)

    def stop(self) -> None:
        """Stop querying."""
        self.tasks.stop()

    def _on_wake(self, away: float) -> None:
        """Query the other VMs, as limits may have changed meanwhile.

        :param away: for how many seconds this VM was suspended.
        """
        self.tasks.spawn(self._query_peers())

    async def _query_peers(self) -> None:
        await self.peers.listed.wait()
        for _ in range(QUERY_TRIES):
            answer = await self.peers.query_any(AskRateLimits())
            if isinstance(answer, RateLimitNews):
                self.apply(answer.rows, "another VM, when queried")
                return
            await asyncio.sleep(QUERY_PAUSE_SECONDS)

    # Answers of endpoints.

    def on_answer(self, instance: Instance, named: float | None) -> None:
        """Learn the limit that an answer names, or that it names none.

        :param instance: the endpoint that answered.
        :param named: requests a second; None if it names no limit.
        """
        if not self.registry.is_current(instance):
            return
        name, limit = instance.name, NamedLimit(named, monotonic())
        if named is None and name not in self.table.limits:
            return
        before = self.table.limits.get(name)
        changed = self.table.apply(name, limit)
        if changed:
            self._log(name, limit, before, "its answer")
        if changed and (
            before is None or None in (before.per_second, limit.per_second)
        ):
            self._announce([name])
        elif self.table.limits[name] is limit and limit.per_second is not None:
            self._confirm(instance)

    def _confirm(self, instance: Instance) -> None:
        """Tell the issuers of an endpoint which limit its answer has named.

        They get few answers themselves, and relax a limit that none confirms.
        """
        issuers = {self.ranking.primary(instance), self.ranking.of_hall(instance)}
        others = [vm for vm in issuers if vm not in (None, self.context.vm)]
        self.peers.send_to(others, RateLimitNews((self.row(instance.name),)))

    def on_instance(self, name: EndpointName, instance: Instance | None) -> None:
        """Forget the limit of an endpoint that is gone, or of its earlier start.

        :param name: the endpoint.
        :param instance: its entry; None if it has none, or if the entry of a later
            start is about to follow.
        """
        if instance is None:
            self.table.forget(name)

    # Messages of other VMs.

    def receive(self, envelope: Envelope) -> None:
        """Apply limits that another VM announced.

        :param envelope: its message.
        """
        body = envelope.body
        assert isinstance(body, RateLimitNews)
        self.apply(body.rows, envelope.vm)
        hall = self.peers.hall_of(VmName(envelope.vm))
        if body.for_all and hall is not None:
            self.peers.relay(hall, body)

    def answer(self, envelope: Envelope) -> RateLimitNews:
        """Answer another VM's query with all limits that hold now.

        :param envelope: the query.
        """
        limited = self.table.limited(monotonic())
        return RateLimitNews(tuple(map(self.row, limited)))

    def row(self, name: EndpointName) -> RateLimitRow:
        """Return the limit of an endpoint as it is sent to other VMs.

        :param name: an endpoint whose limit is known.
        """
        limit = self.table.limits[name]
        instance = self.registry.known.get(name)
        born = instance.born if instance is not None else None
        age = max(0.0, monotonic() - limit.at)
        return RateLimitRow(name, born, limit.per_second, age)

    def apply(self, rows: Iterable[RateLimitRow], source: str) -> None:
        """Apply limits that another VM knows.

        :param rows: the limits.
        :param source: where they come from, for the log.
        """
        now = monotonic()
        for row in rows:
            instance = self.registry.known.get(row.endpoint)
            if instance is None:
                continue
            if None not in (row.born, instance.born) and row.born != instance.born:
                continue
            limit = NamedLimit(row.per_second, now - row.age)
            before = self.table.limits.get(row.endpoint)
            if self.table.apply(row.endpoint, limit):
                self._log(row.endpoint, limit, before, source)

    def announce_all(self) -> None:
        """Announce the limits that answers to this VM have confirmed lately."""
        now = monotonic()
        for name in self.table.forget_old(now):
            self._log(name, NamedLimit(None, now), None, "no answer has confirmed it")
        interval = ANNOUNCE_SECONDS * (self.peers.size / VMS_PER_INTERVAL)
        if now - self.announced_at < interval:
            return
        since, self.announced_at = self.announced_at, now
        limited = self.table.limited(now)
        self._announce([name for name in limited if self._is_announcer(name, since)])

    def _is_announcer(self, name: EndpointName, since: float) -> bool:
        """Return whether this VM is the one that announces a limit again.

        :param name: the endpoint.
        :param since: the time of the last announcement; monotonic seconds.
        """
        instance = self.registry.known.get(name)
        if instance is None or self.table.limits[name].at < since:
            return False
        return self.ranking.primary(instance) == self.context.vm

    def _announce(self, names: list[EndpointName]) -> None:
        for first in range(0, len(names), MAX_ROWS):
            rows = tuple(self.row(name) for name in names[first : first + MAX_ROWS])
            self.peers.broadcast_by_relays(RateLimitNews(rows, for_all=True))

    def _log(
        self,
        name: EndpointName,
        limit: NamedLimit,
        before: NamedLimit | None,
        source: str,
    ) -> None:
        now = monotonic()
        limited = limit.per_second is not None
        self.context.metrics.count("rate_limit_changes")
        self.context.timeline.emit(
            EventKind.ENDPOINT_LIMITED if limited else EventKind.ENDPOINT_UNLIMITED,
            endpoint=name,
            detail=source,
            limit=limit.per_second,
            limit_before=None if before is None else before.per_second,
            limit_age_ms=round((now - limit.at) * MILLISECONDS),
        )
