# Licensed under the Apache License 2.0: see LICENSE for details.

"""The questions of this VM's requests to the VMs that share out slots."""

from __future__ import annotations

import asyncio
import itertools
from dataclasses import dataclass, field
from typing import Protocol

from walnutquay.coordination.process.context import Context
from walnutquay.coordination.requests.slots import SlotRequest
from walnutquay.coordination.routed.heldslots import HeldSlots
from walnutquay.coordination.routed.keeperranking import KeeperRanking
from walnutquay.coordination.routed.slotkeeper import KeeperPeers, SlotKeeper
from walnutquay.coordination.routed.slotsigns import SlotSigns
from walnutquay.exceptions import PeerError
from walnutquay.protocol.messages import Envelope, Message
from walnutquay.protocol.slotmessages import (
    AskSlot,
    SlotIs,
    SlotNews,
    SlotReleased,
    SlotState,
)
from walnutquay.state.process.events import EventKind
from walnutquay.state.process.ids import (
    EndpointName,
    HallName,
    RouteName,
    ServiceName,
    VmName,
)
from walnutquay.state.routed.slottypes import SlotNumber, WorkHash
from walnutquay.state.store.instances import Instance
from walnutquay.transport.timers import monotonic, unix_microseconds

# A keeper answers within some milliseconds.
ANSWER_SECONDS = 0.15
# Also a request whose time is nearly over waits this long for an answer; seconds.
MIN_LEFT_SECONDS = 0.01
# After this many VMs that did not answer, a request goes by this VM's own share.
MAX_SILENT = 2
# A request that waits asks again after these times, as news may be lost; seconds.
MIN_ASK_SECONDS = 0.1
MAX_ASK_SECONDS = 0.4
# The endpoints that one question excludes.  A request that must not go to more of them
# is sent without asking: it would be granted one after the other of the rest.
MAX_TRIED = 64
# A refusal has to reach its caller before the caller gives up; seconds.
MARGIN_SECONDS = 0.05
# Stands for the number of a request that no keeper knows.
NO_NUMBER = SlotNumber(0)


class SharingPeers(KeeperPeers, Protocol):
    """The other entry VMs."""

    @property
    def size(self) -> int:
        """The number of entry VMs, including this one."""

    async def call(self, name: str, body: Message, timeout: float) -> Message:
        """Query one VM.

        :param name: the VM.
        :param body: the query.
        :param timeout: the seconds to wait for the answer.
        :raises PeerError: if the VM does not answer in time, or is not known.
        """

    def hall_of(self, vm: VmName) -> HallName | None:
        """Return the data hall of a VM, or None if the VM is not known.

        :param vm: the VM.
        """

    def relay(self, hall: HallName, body: Message) -> None:
        """Forward a message from another data hall in this one, if this VM is a relay.

        :param hall: the data hall of the sender.
        :param body: the message.
        """


@dataclass(slots=True)
class Asking:
    """A request of this VM that needs a slot.

    :param need: the request.
    :param service: its service.
    :param found: the endpoints that it may be sent to.
    :param tried: the service's other endpoints.
    :param work: the hash by which its caller is known when it returns.
    :param since: when it asked first; monotonic seconds.
    :param keeper: the VM that is asked; None before any is, or if it was given up.
    :param decided_by: the VM whose answer holds; None without one.
    :param number: the number under which that VM knows it.
    :param news: what that VM has told of it since.
    :param told: set when there are news.
    :param silent: the VMs that did not answer, in a row.
    :param pause: seconds until it asks again.
    :param queued: whether it has had to wait.
    """

    need: SlotRequest
    service: ServiceName
    found: dict[EndpointName, Instance]
    tried: tuple[EndpointName, ...]
    work: WorkHash
    since: float
    keeper: VmName | None = None
    decided_by: VmName | None = None
    number: SlotNumber = NO_NUMBER
    news: SlotIs | None = None
    told: asyncio.Event = field(default_factory=asyncio.Event)
    silent: int = 0
    pause: float = MIN_ASK_SECONDS
    queued: bool = False

    @property
    def end(self) -> float:
        """Until when it may wait; monotonic seconds."""
        return self.need.deadline - MARGIN_SECONDS

    def exclude(self, name: EndpointName | None) -> None:
        """Take no slot at an endpoint from now on.

        :param name: the endpoint; None for none.
        """
        if name is not None:
            self.tried = (name, *self.tried)


class SlotAsks:
    """Asks keepers for slots, and gives back what no request needs.

    :param context: the state shared within this process.
    :param signs: the loads that endpoints told this VM.
    :param held: the slots that this VM's requests have.
    :param keeper: answers for the services for which this VM is the keeper.
    :param ranking: which VM to ask.
    :param peers: the other VMs.
    """

    def __init__(
        self,
        context: Context,
        signs: SlotSigns,
        held: HeldSlots,
        keeper: SlotKeeper,
        ranking: KeeperRanking,
        peers: SharingPeers,
    ) -> None:
        self.context = context
        self.signs = signs
        self.held = held
        self.keeper = keeper
        self.ranking = ranking
        self.peers = peers
        # The requests that wait, by the number under which their keeper knows them.
        self.waiting: dict[SlotNumber, Asking] = {}
        # An earlier start of this VM has used lower ones.
        self.numbers = itertools.count(unix_microseconds())
        keeper.listener = self._take_news

    def receive_news(self, envelope: Envelope) -> None:
        """Learn what became of a request that waits.

        A slot for a request that waits no longer is given back at once.

        :param envelope: the keeper's message.
        """
        body = envelope.body
        assert isinstance(body, SlotNews)
        known = body.number in self.waiting or self.held.holds(body.number)
        if not known and body.answer.state is SlotState.GRANTED:
            self.context.metrics.count("slot_grants_late")
            self._give_back(VmName(envelope.vm), body.service, body.number)
        self._take_news(body.number, body.answer)

    def _take_news(self, number: SlotNumber, answer: SlotIs) -> None:
        asking = self.waiting.get(number)
        if asking is not None:
            asking.news = answer
            asking.told.set()

    async def ask(self, asking: Asking, keeper: VmName) -> SlotIs | None:
        """Ask a keeper for the state of a request.

        :param asking: the request.
        :param keeper: the VM to ask.
        :returns: the state; None if the keeper does not answer.
        """
        if asking.keeper != keeper:
            self.leave(asking)
            asking.keeper = keeper
            asking.number = SlotNumber(next(self.numbers))
            self.waiting[asking.number] = asking
        informs = not self.held.is_informed(asking.service, keeper)
        body = self._message(asking, keeper)
        answer: Message | None = None
        if keeper == self.context.vm:
            answer = self.keeper.ask(keeper, body)
        else:
            try:
                left = max(MIN_LEFT_SECONDS, asking.end - monotonic())
                patience = min(ANSWER_SECONDS, left)
                answer = await self.peers.call(keeper, body, patience)
            except PeerError:
                self.context.metrics.count("slot_keepers_silent")
        if isinstance(answer, SlotIs) and answer.state is not SlotState.NOT_HERE:
            asking.silent = 0
            self.ranking.answered(keeper)
            self.held.told(body, informs, keeper, answer.start)
            # What came meanwhile is as new as the answer, or newer.
            return asking.news or answer
        if asking.news is not None:
            return asking.news
        self._pass_over(asking, keeper)
        return None

    def _pass_over(self, asking: Asking, keeper: VmName) -> None:
        """Give a keeper up that does not answer."""
        asking.silent += 1
        self.leave(asking)
        if keeper == self.context.vm:
            asking.silent = MAX_SILENT
            return
        self.ranking.pass_over(keeper, monotonic())
        self.context.timeline.emit(
            EventKind.SLOT_KEEPER_SILENT, version=asking.service, detail=keeper
        )

    def _message(self, asking: Asking, keeper: VmName) -> AskSlot:
        need, now = asking.need, monotonic()
        in_time = need.since + need.aim if need.aim > 0 else need.deadline
        return AskSlot(
            asking.service,
            asking.number,
            need.route or RouteName(""),
            need.organisation,
            need.weight,
            need.priority,
            asking.work,
            min(in_time, need.deadline) - now,
            need.deadline - now,
            asking.tried,
            max(0.0, now - need.since),
            self.signs.take_untold(asking.service, now),
            self.held.to_tell(asking.service, keeper, now),
        )

    async def wait(self, asking: Asking) -> SlotIs | None:
        """Wait for news of a request, for as long as it need not ask again.

        :param asking: the request.
        :returns: the news; None if there are none.
        """
        if not asking.queued:
            asking.queued = True
            self.context.metrics.count("slots_waited")
            self.context.timeline.emit(
                EventKind.QUEUED,
                request=asking.need.request,
                version=asking.service,
                keeper=asking.keeper,
                priority=asking.need.priority,
            )
        pause = min(asking.pause, max(0.0, asking.end - monotonic()))
        asking.pause = min(2.0 * asking.pause, MAX_ASK_SECONDS)
        try:
            async with asyncio.timeout(pause):
                await asking.told.wait()
        except TimeoutError:
            pass
        return asking.news

    def forget(self, asking: Asking) -> None:
        """Expect no more news of a request.

        :param asking: the request.
        """
        self.waiting.pop(asking.number, None)
        asking.news = None
        asking.told.clear()
        asking.pause = MIN_ASK_SECONDS

    def leave(self, asking: Asking) -> None:
        """Withdraw a request from its keeper; it is known by another number then.

        :param asking: the request.
        """
        self.forget(asking)
        keeper, asking.keeper = asking.keeper, None
        if keeper is not None:
            self._give_back(keeper, asking.service, asking.number)

    def _give_back(
        self, keeper: VmName, service: ServiceName, number: SlotNumber
    ) -> None:
        self.tell(keeper, SlotReleased(service, number))

    def tell(self, keeper: VmName, body: SlotReleased) -> None:
        """Tell a keeper that a request is over.

        :param keeper: the keeper.
        :param body: the message.
        """
        if keeper == self.context.vm:
            self.keeper.release(keeper, body)
        else:
            self.peers.send_to([keeper], body)
