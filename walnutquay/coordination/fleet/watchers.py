# Licensed under the Apache License 2.0: see LICENSE for details.

"""The VMs that watch the store for the others, and the queries to them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import logbook

from walnutquay.coordination.fleet.peers import FleetPeers
from walnutquay.coordination.process.context import Context
from walnutquay.exceptions import PeerError
from walnutquay.protocol.messages import AskChanges, ChangesAre, Message
from walnutquay.state.fleet.membership import VmLocation, rendezvous
from walnutquay.state.process.ids import HallName, VmName
from walnutquay.state.process.revisions import StoreRevision
from walnutquay.transport.timers import monotonic

log = logbook.Logger(__name__)

# In a fleet of up to this many VMs, each VM watches the store itself.
SMALL_FLEET = 3
# The number of VMs of each data hall that watch the store.  If the watcher is lost or
# frozen, the other VMs of the hall query the watcher of another hall until the next VM
# in the ranking has noticed.
WATCHERS_OF_HALL = 1
# The number of watchers of other data halls that are queried if the own ones do not
# answer.  If each watcher answers that the store does not serve it, those of all halls
# are queried.
FAR_WATCHERS = 1
# The time limit for the answer of a watcher, in addition to its wait for a change; then
# the next one is queried.  Even if two in a row are frozen, a change is received within
# the two seconds that the platform allows.
ANSWER_SECONDS = 0.4
# The time for which a VM that did not answer is not chosen as a watcher.
SILENT_SECONDS = 3.0
# The time for which a VM that the store does not serve is not chosen as a watcher.  The
# next VM in the ranking watches the store in its place.
FAILING_SECONDS = 2.0
# A VM that stands in for others, and is not served either, pauses for a time in this
# range: while the store serves nobody, few VMs call it.
STAND_IN_PAUSE_SECONDS = (1.0, 2.0)
# A VM whose watchers are of no use for a time in this range asks the store itself,
# whoever else does.  The range spreads the calls of a large fleet.
OWN_CALL_SECONDS = (1.0, 4.0)
# The same after the store has not served it either.
OWN_RETRY_SECONDS = (4.0, 8.0)
# The longest time for which a starting VM waits for the list of VMs, from which it
# chooses the watchers.
VMS_SECONDS = 2.0
# The key by which all VMs rank the watchers, so that they agree on them.
DUTY = "watch the store"


class Watchers:
    """The VMs that watch the store, and the queries to them for changes.

    :param context: the state shared by this process.
    :param peers: the other VMs.
    """

    def __init__(self, context: Context, peers: FleetPeers) -> None:
        self.context = context
        self.peers = peers
        # The time until which each VM that did not answer is not chosen; monotonic
        # seconds.
        self.silent_until: dict[VmName, float] = {}
        # The time until which each VM that the store does not serve is not chosen;
        # monotonic seconds.
        self.failing_until: dict[VmName, float] = {}
        # When this VM asks the store itself, by kind of objects; monotonic seconds.
        # Only kinds for which no watcher is of use.
        self.own_calls: dict[str, float] = {}
        # The ranked VMs of each data hall, and the list of VMs that was ranked.  They
        # are cached because a VM sends some ten queries a second.
        self.ranked: dict[HallName, list[VmName]] = {}
        self.ranked_source: dict[VmName, VmLocation] | None = None

    def includes_this(self) -> bool:
        """Return whether this VM has to watch the store itself."""
        if self.peers.size <= SMALL_FLEET:
            return True
        return self.context.vm in self._watchers_of(self.context.hall)

    def _watchers_of(self, hall: HallName) -> list[VmName]:
        """Return the VMs of a data hall that have to watch the store."""
        return self._candidates(hall)[:WATCHERS_OF_HALL]

    def _candidates(self, hall: HallName) -> list[VmName]:
        """Return the VMs of a data hall by rank.

        Those that did not answer, or whom the store does not serve, are left out.
        """
        now = monotonic()
        own = self.context.vm
        silent, failing = self.silent_until, self.failing_until
        return [
            vm
            for vm in self._ranks().get(hall, [])
            if (vm == own or silent.get(vm, 0.0) <= now) and failing.get(vm, 0.0) <= now
        ]

    def _ranks(self) -> dict[HallName, list[VmName]]:
        """Return the VMs of each data hall by rank, including silent ones."""
        known = self.peers.known
        if self.ranked_source is not known:
            self.ranked_source = known
            names: dict[HallName, set[VmName]] = {self.context.hall: {self.context.vm}}
            for vm, location in known.items():
                names.setdefault(location.hall, set()).add(vm)
            self.ranked = {
                hall: [VmName(name) for name in rendezvous(DUTY, members)]
                for hall, members in names.items()
            }
        return self.ranked

    def _choose_watchers(self) -> tuple[list[VmName], list[VmName]]:
        """Return the watchers to query: in this data hall, and in the others."""
        near = self._watchers_of(self.context.hall)
        others = sorted(self._ranks().keys() - {self.context.hall})
        far = [vm for hall in others for vm in self._candidates(hall)[:1]]
        self.context.rng.shuffle(far)
        return [vm for vm in near if vm != self.context.vm], far

    # The store's service.

    def note_unserved(self) -> None:
        """Note that the store does not serve this VM.

        A VM that watches the store in the place of others lets the next one try.  The
        first of a data hall goes on: it has nobody to take its place from.
        """
        now = monotonic()
        pause = self.context.rng.uniform(*OWN_RETRY_SECONDS)
        for other in self.own_calls:
            self.own_calls[other] = max(self.own_calls[other], now + pause)
        own = self.context.vm
        if own not in self._ranks()[self.context.hall][:WATCHERS_OF_HALL]:
            pause = self.context.rng.uniform(*STAND_IN_PAUSE_SECONDS)
            self.failing_until[own] = now + pause

    def note_served(self, kind: str) -> None:
        """Note that a watcher has told what the store holds.

        :param kind: the kind of objects.
        """
        self.own_calls.pop(kind, None)

    def is_own_call_due(self, kind: str) -> bool:
        """Return whether this VM should ask the store itself, as no watcher can.

        :param kind: the kind of objects.
        """
        now = monotonic()
        due = self.own_calls.get(kind)
        if due is not None and now < due:
            return False
        pause = self.context.rng.uniform(*OWN_CALL_SECONDS)
        self.own_calls[kind] = now + pause
        return due is not None

    def _mark_failing(self, vm: VmName) -> None:
        self.context.metrics.count("watchers_unserved")
        self.failing_until[vm] = monotonic() + FAILING_SECONDS

    def _any_failing(self) -> bool:
        """Return whether the store does not serve some VMs, as far as is known."""
        now = monotonic()
        return any(until > now for until in self.failing_until.values())

    # Queries.

    async def query(
        self,
        kind: str,
        revision: StoreRevision,
        seconds: float,
        has_changes: Callable[[ChangesAre], bool] = lambda answer: True,
    ) -> ChangesAre | None:
        """Wait for changes from a watcher that receives them from the store.

        While the store does not serve some VMs, a watcher that has no changes may have
        lost it too, and not noticed it yet.  The others are queried as well then.

        :param kind: the kind of objects.
        :param revision: the newest revision of this VM.
        :param seconds: the time to wait for a change.
        :param has_changes: returns whether an answer contains changes.
        :returns: the answer; a failing one only if the store serves none of the
            watchers, as far as is known; None if none of them answers.
        """
        failing = unchanged = None
        silent = False
        # Only the first answer is waited for then.
        in_doubt, waited = self._any_failing(), False
        near, far = self._choose_watchers()
        for number, vm in enumerate(near + far):
            if silent and number >= len(near) + FAR_WATCHERS:
                break
            # Once a watcher has failed, the others answer at once whether the store
            # serves them.
            wait = 0.0 if failing is not None or (in_doubt and waited) else seconds
            answer = await self._query_one(vm, AskChanges(kind, revision, wait))
            if answer is None or not answer.direct:
                silent = silent or answer is None
                continue
            if answer.failing:
                self._mark_failing(vm)
                failing = answer
            elif not (failing or in_doubt) or has_changes(answer):
                return answer
            else:
                unchanged = answer
            waited = True
        if unchanged is not None or not (failing or in_doubt):
            return unchanged
        return await self._wait_at_first(AskChanges(kind, revision, seconds))

    async def _wait_at_first(self, query: AskChanges) -> ChangesAre:
        """Wait until the store serves the first watcher of this data hall again.

        :param query: what is waited for.
        :returns: its answer, or one that nobody is served.
        """
        unserved = ChangesAre(failing=True)
        first = self._ranks()[self.context.hall][0]
        if self.includes_this() or self.silent_until.get(first, 0.0) > monotonic():
            return unserved
        answer = await self._query_one(first, query)
        if answer is None or answer.failing or not answer.direct:
            return unserved
        self.failing_until.pop(first, None)
        return answer

    async def query_near(self, query: Message) -> Message | None:
        """Query the VM of this data hall that watches the store.

        :param query: the query, which it answers at once.
        :returns: its answer, or None if it does not answer.
        """
        near, _ = self._choose_watchers()
        for vm in near:
            answer = await self._call(vm, query, ANSWER_SECONDS)
            if answer is not None:
                return answer
        return None

    async def wait_for_vms(self) -> None:
        """Wait until there is a list of VMs, for a limited time."""
        if self.peers.listed.is_set() or not self.peers.seeds:
            return
        try:
            async with asyncio.timeout(VMS_SECONDS):
                await self.peers.listed.wait()
        except TimeoutError:
            log.info(
                "no list of VMs was received in time; this VM watches the store itself"
            )

    async def _query_one(self, vm: VmName, query: AskChanges) -> ChangesAre | None:
        answer = await self._call(vm, query, query.seconds + ANSWER_SECONDS)
        return answer if isinstance(answer, ChangesAre) else None

    async def _call(self, vm: VmName, query: Message, limit: float) -> Message | None:
        """Query a watcher; one that does not answer is not chosen for some time."""
        location = self.peers.known.get(vm)
        if location is None:
            return None
        try:
            return await self.peers.node.call(location.address, query, limit, vm)
        except PeerError as error:
            self.context.metrics.count("watchers_silent")
            self.silent_until[vm] = monotonic() + SILENT_SECONDS
            log.debug("a watcher of the store did not answer a query: {}", error)
            return None
