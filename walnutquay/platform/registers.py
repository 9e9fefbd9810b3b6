# Licensed under the Apache License 2.0: see LICENSE for details.

"""What VMs write into the platform's store: the list of VMs, and answers to orders."""

from __future__ import annotations

import logbook

from walnutquay.exceptions import (
    MessageError,
    MissingObjectError,
    PlatformConflictError,
)
from walnutquay.platform.names import KIND_ROLLOUTS, KIND_VMS
from walnutquay.platform.records import decode_order, decode_vm, encode_order_status
from walnutquay.platform.store import StoreClient
from walnutquay.state.fleet.membership import VmLocation
from walnutquay.state.process.ids import VmName
from walnutquay.state.store.orders import OrderState, RolloutOrder

log = logbook.Logger(__name__)


class VmRegister:
    """The list of entry VMs, each of which writes its own entry.

    :param store: the store's client.
    """

    def __init__(self, store: StoreClient) -> None:
        self.store = store

    async def enter(self, vm: VmName, place: VmLocation) -> None:
        """Write a VM's entry.

        :param vm: the VM.
        :param place: where its peers reach it.
        """
        address = place.address
        spec = {"host": address.host, "port": address.port, "hall": place.hall}
        try:
            await self.store.create(KIND_VMS, vm, spec)
        except PlatformConflictError:
            await self.store.replace(KIND_VMS, vm, spec, None)

    async def leave(self, vm: VmName) -> None:
        """:param vm: a VM that stops."""
        await self.store.delete(KIND_VMS, vm)

    async def read(self, *, fresh: bool = False) -> dict[VmName, VmLocation]:
        """:param fresh: whether the list must not be some seconds old.

        :returns: where each VM is reached.
        """
        try:
            found, _ = await self.store.list(KIND_VMS, stale=not fresh)
        except MissingObjectError:
            return {}
        places = {}
        for stored in found:
            try:
                places[VmName(stored.name)] = decode_vm(stored.name, stored.spec)
            except MessageError as error:
                log.error("{}/{} is left out: {}", KIND_VMS, stored.name, error)
        return places


class StoredOrders:
    """Reads and answers roll-out orders.

    :param store: the store's client.
    """

    def __init__(self, store: StoreClient) -> None:
        self.store = store

    async def read(self, name: str) -> RolloutOrder | None:
        """:param name: an order's name.

        :returns: it as it stands now, or None where there is none.
        """
        stored = await self.store.get(KIND_ROLLOUTS, name)
        if stored is None:
            return None
        return decode_order(stored.name, stored.revision, stored.spec, stored.status)

    async def answer(self, order: RolloutOrder, state: OrderState) -> RolloutOrder:
        """Say where an order stands, if it is still as it was read.

        :param order: the order.
        :param state: what to say.
        :returns: the order as it is then.
        :raises PlatformConflictError: if it has changed.
        """
        status = encode_order_status(order, state)
        stored = await self.store.write_status(
            KIND_ROLLOUTS, order.name, status, order.revision
        )
        return decode_order(stored.name, stored.revision, stored.spec, stored.status)
