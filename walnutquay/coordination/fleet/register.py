# Licensed under the Apache License 2.0: see LICENSE for details.

"""The interface to the list of entry VMs in the store."""

from __future__ import annotations

from typing import Protocol

from walnutquay.state.fleet.membership import VmLocation
from walnutquay.state.process.ids import VmName


class Register(Protocol):
    """The list of entry VMs in the store."""

    async def enter(self, vm: VmName, place: VmLocation) -> None:
        """Add or replace the entry of a VM.

        :param vm: this VM.
        :param place: its address for peers, and its data hall.
        """

    async def leave(self, vm: VmName) -> None:
        """Remove the entry of a VM.

        :param vm: the VM.
        """

    async def read(self, *, fresh: bool = False) -> dict[VmName, VmLocation]:
        """Return the location of each VM.

        :param fresh: whether the list must not be some seconds old.
        """
