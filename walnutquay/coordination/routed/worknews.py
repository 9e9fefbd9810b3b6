# Licensed under the Apache License 2.0: see LICENSE for details.

"""Long prompts that engines were given, told between VMs."""

from __future__ import annotations

from typing import Protocol

from walnutquay.coordination.process.dispatcher import Dispatcher
from walnutquay.coordination.routed.places import ReadingNote, RoutedPlaces
from walnutquay.protocol.messages import Envelope, Message, WorkNews
from walnutquay.state.process.ids import HallName, VmName

# Prompts that take an engine less time to read are not told: bytes between data halls
# have a price, and these delay nobody for long.
HEAVY_SECONDS = 0.08


class Peers(Protocol):
    """The other entry VMs."""

    def send_to_users(self, hall: HallName, body: Message) -> None:
        """:param hall: a data hall.

        :param body: a message to VMs that use what stands there; it may be lost.
        """

    def relay_in_hall(self, vm: VmName, body: Message) -> None:
        """:param vm: the VM that told it.

        :param body: a message for those who use what stands in this data hall.
        """


class WorkExchange:
    """Keeps VMs from sending a request behind a long prompt of another VM.

    :param places: where this VM sends its own.
    :param peers: the other VMs.
    """

    def __init__(self, places: RoutedPlaces, peers: Peers) -> None:
        self.places = places
        self.peers = peers
        places.listeners.append(self.tell)

    def listen(self, dispatcher: Dispatcher) -> None:
        """:param dispatcher: where the other VMs' messages come from."""
        dispatcher.on(WorkNews, self.hear)

    def tell(self, note: ReadingNote) -> None:
        """Tell of a prompt that an engine was sent, if it is a long one.

        :param note: the prompt.
        """
        if note.seconds < HEAVY_SECONDS:
            return
        work = note.work
        rate = self.places.work.rate(work.model)
        self.peers.send_to_users(
            note.hall,
            WorkNews(note.engine, note.seconds, work.beginning, work.model, rate),
        )

    def hear(self, envelope: Envelope) -> None:
        """Take in what another VM has sent an engine.

        :param envelope: its message.
        """
        assert isinstance(envelope.body, WorkNews)
        self.places.hear(envelope.body)
        self.peers.relay_in_hall(VmName(envelope.vm), envelope.body)
