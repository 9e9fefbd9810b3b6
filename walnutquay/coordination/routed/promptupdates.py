# Licensed under the Apache License 2.0: see LICENSE for details.

"""Updates between VMs about long prompts that engines were sent."""

from __future__ import annotations

from typing import Protocol

from walnutquay.coordination.process.dispatcher import Dispatcher
from walnutquay.coordination.routed.admission import RoutedAdmission
from walnutquay.coordination.routed.pendingprompts import PendingPrompt
from walnutquay.protocol.messages import Envelope, Message, WorkNews
from walnutquay.state.process.ids import HallName, VmName

# No updates are sent about prompts with a shorter reading time: traffic between data
# halls has a price, and these prompts delay others only briefly.
MIN_SENT_SECONDS = 0.08


class Peers(Protocol):
    """The other entry VMs."""

    def send_to_users(self, hall: HallName, body: Message) -> None:
        """Send a message to the VMs that use a data hall; it may be lost.

        :param hall: the data hall.
        :param body: the message.
        """

    def relay_in_hall(self, vm: VmName, body: Message) -> None:
        """Relay a message to the VMs that use this data hall.

        :param vm: the VM that sent it.
        :param body: the message.
        """


class PromptUpdates:
    """Prevents VMs from queueing requests behind another VM's long prompt.

    :param admission: grants this VM's slots, and so sends its prompts.
    :param peers: the other VMs.
    """

    def __init__(self, admission: RoutedAdmission, peers: Peers) -> None:
        self.admission = admission
        self.peers = peers
        admission.listeners.append(self.send)

    def listen(self, dispatcher: Dispatcher) -> None:
        """Register for the other VMs' messages.

        :param dispatcher: dispatches received messages.
        """
        dispatcher.on(WorkNews, self.receive)

    def send(self, pending: PendingPrompt) -> None:
        """Send the other VMs an update about a prompt, if it is a long one.

        :param pending: the prompt.
        """
        if pending.seconds < MIN_SENT_SECONDS:
            return
        work = pending.work
        rate = self.admission.work.rate(work.model)
        self.peers.send_to_users(
            pending.hall,
            WorkNews(pending.engine, pending.seconds, work.beginning, work.model, rate),
        )

    def receive(self, envelope: Envelope) -> None:
        """Apply another VM's update.

        :param envelope: the message.
        """
        assert isinstance(envelope.body, WorkNews)
        self.admission.apply_peer_prompt(envelope.body)
        self.peers.relay_in_hall(VmName(envelope.vm), envelope.body)
