# Licensed under the Apache License 2.0: see LICENSE for details.

"""The list of entry VMs in the store, as the fleet uses it."""

from __future__ import annotations

from typing import Protocol

from walnutquay.state.fleet.membership import VmLocation
from walnutquay.state.process.ids import VmName


class Register(Protocol):
    """The list of entry VMs in the store."""

    async def enter(self, vm: VmName, place: VmLocation) -> None:
        """:param vm: this VM.

        :param place: where its peers reach it.
        """

    async def leave(self, vm: VmName) -> None:
        """:param vm: this VM."""

    async def read(self) -> dict[VmName, VmLocation]:
        """:returns: where each VM is."""
