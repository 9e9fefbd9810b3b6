# Licensed under the Apache License 2.0: see LICENSE for details.

"""The other VMs and the store, as one simulated VM reaches them."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from typing import Protocol

from lab.trials.records import Vm
from walnutquay.coordination.fleet.peers import RELAY_DUTY, RELAYS
from walnutquay.protocol.messages import Message
from walnutquay.state.fleet.membership import rendezvous
from walnutquay.state.process.ids import HallName, VmName
from walnutquay.state.store.orders import OrderState, RolloutOrder

# Data halls of a simulated fleet.
HALLS = 5


def hall_of(vm: VmName) -> HallName:
    """:returns: the data hall of a VM, by the number in its name."""
    return HallName(f"hall-{int(vm.rpartition('-')[2]) % HALLS}")


class Network(Protocol):
    """The fleet, as its VMs reach each other.

    :param size: how many VMs there are.
    :param vms: those that are there now.
    """

    size: int
    vms: Sequence[Vm]

    def send(
        self, sender: VmName, body: Message, meant: Callable[[Vm], bool] = ...
    ) -> None:
        """Send a datagram to the other VMs that it is meant for."""

    def ask(self, sender: VmName, body: Message) -> Message | None:
        """:returns: the first answer of some other VMs, or None."""


class OrderStore(Protocol):
    """The fleet, as its VMs reach the store.

    :param order: the order as it stands; None before it is given.
    """

    order: RolloutOrder | None

    def write(self, order: RolloutOrder) -> None:
        """:param order: the order as it stands from now on."""


@dataclass
class SimulatedPeers:
    """The other VMs of one simulated VM.

    :param fleet: the fleet.
    :param vm: the VM.
    """

    fleet: Network
    vm: VmName

    @property
    def size(self) -> int:
        """How many VMs there are."""
        return self.fleet.size

    def broadcast(self, body: Message) -> None:
        """:param body: a message to all of them."""
        self.fleet.send(self.vm, body)

    def send_to_hall(self, hall: HallName, body: Message) -> None:
        """:param hall: a data hall.

        :param body: a message to its VMs.
        """
        self.fleet.send(self.vm, body, lambda vm: vm.hall == hall)

    def send_to_other_halls(self, body: Message) -> None:
        """:param body: a message to the VMs of the other data halls."""
        own = self.hall_of(self.vm)
        self.fleet.send(self.vm, body, lambda vm: vm.hall != own)

    def send_to_relays(self, body: Message) -> None:
        """:param body: a message to the relays of the other data halls."""
        own = self.hall_of(self.vm)
        relays = self._relays()
        self.fleet.send(self.vm, body, lambda vm: vm.hall != own and vm.name in relays)

    def is_relay(self) -> bool:
        """:returns: whether this VM passes news on between data halls."""
        return self.vm in self._relays()

    def hall_of(self, vm: VmName) -> HallName | None:
        """:returns: a VM's data hall."""
        return hall_of(vm)

    def _relays(self) -> set[str]:
        found: set[str] = set()
        halls: dict[str, list[str]] = {}
        for vm in self.fleet.vms:
            halls.setdefault(vm.hall, []).append(vm.name)
        for names in halls.values():
            found.update(rendezvous(RELAY_DUTY, names)[:RELAYS])
        return found

    async def query_any(self, body: Message) -> Message | None:
        """:param body: a question.

        :returns: the first answer, or None.
        """
        return self.fleet.ask(self.vm, body)


@dataclass
class SimulatedOrders:
    """The store, as far as it keeps orders.

    :param fleet: the fleet.
    """

    fleet: OrderStore

    async def read(self, name: str) -> RolloutOrder | None:
        """:returns: the order as it stands."""
        return self.fleet.order

    async def answer(self, order: RolloutOrder, state: OrderState) -> RolloutOrder:
        """Write where an order stands; of several at once the first one counts."""
        present = self.fleet.order
        assert present is not None
        if present.revision == order.revision:
            later = replace(order.revision, number=order.revision.number + 1)
            present = replace(order, state=state, revision=later)
            self.fleet.write(present)
        return present
