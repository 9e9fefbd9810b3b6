# Licensed under the Apache License 2.0: see LICENSE for details.

"""The other VMs and the store, as one simulated VM reaches them."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from walnutquay.protocol.messages import Message
from walnutquay.state.ids import VmName
from walnutquay.state.orders import OrderState, RolloutOrder

if TYPE_CHECKING:
    from lab.trialfleet import TrialFleet


@dataclass
class SimulatedPeers:
    """The other VMs of one simulated VM.

    :param fleet: the fleet.
    :param vm: the VM.
    """

    fleet: TrialFleet
    vm: VmName

    @property
    def size(self) -> int:
        """How many VMs there are."""
        return self.fleet.size

    def tell_all(self, body: Message) -> None:
        """:param body: a message to all of them."""
        self.fleet.send(self.vm, body)

    async def ask_any(self, body: Message) -> Message | None:
        """:param body: a question.

        :returns: the first answer, or None.
        """
        return self.fleet.ask(self.vm, body)


@dataclass
class SimulatedOrders:
    """The store, as far as it keeps orders.

    :param fleet: the fleet.
    """

    fleet: TrialFleet

    async def read(self, name: str) -> RolloutOrder | None:
        """:returns: the order as it stands."""
        return self.fleet.order

    async def answer(self, order: RolloutOrder, state: OrderState) -> RolloutOrder:
        """Write where an order stands; of several at once the first one counts."""
        present = self.fleet.order
        assert present is not None
        if present.revision == order.revision:
            present = replace(order, state=state, revision=order.revision + 1)
            self.fleet.write(present)
        return present
