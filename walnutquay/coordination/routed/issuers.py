# Licensed under the Apache License 2.0: see LICENSE for details.

"""Which VM issues the permits of a rate-limited endpoint to whom."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass
from typing import Protocol

from walnutquay.state.fleet.membership import VmLocation
from walnutquay.state.process.ids import EndpointName, HallName, VmName
from walnutquay.state.routed.permits import (
    hall_issuer,
    hall_rate,
    primary_issuer,
    primary_rate,
)
from walnutquay.state.store.instances import Instance


class Peers(Protocol):
    """The other entry VMs."""

    @property
    def known(self) -> Mapping[VmName, VmLocation]:
        """The location of each VM; a new object whenever the list changes."""

    def names_near(self, hall: HallName) -> Collection[VmName]:
        """Return the VMs of a data hall, or all VMs if it has none.

        :param hall: the data hall.
        """


@dataclass(frozen=True, slots=True)
class Role:
    """A VM's role in issuing the permits of an endpoint.

    :param primary: whether it issues to all VMs, and not to those of its data hall.
    :param halls: the number of data halls with VMs.
    """

    primary: bool
    halls: int

    def rate(self, limit: float) -> float:
        """Return the permits a second that the VM may issue.

        :param limit: the limit that the endpoint names; requests a second.
        """
        return primary_rate(limit) if self.primary else hall_rate(limit, self.halls)


class IssuerRanking:
    """Ranks the VMs for each endpoint; VMs with the same list agree.

    :param vm: this VM.
    :param hall: its data hall.
    :param peers: the other VMs.
    """

    def __init__(self, vm: VmName, hall: HallName, peers: Peers) -> None:
        self.vm = vm
        self.hall = hall
        self.peers = peers
        # The primary issuer of each endpoint, for the list of VMs in ``ranked_peers``.
        self.primaries: dict[EndpointName, VmName | None] = {}
        self.ranked_peers: Mapping[VmName, VmLocation] | None = None

    def primary(self, instance: Instance) -> VmName | None:
        """Return the VM that issues the permits of an endpoint to all VMs.

        :param instance: the endpoint.
        """
        if self.ranked_peers is not self.peers.known:
            self.ranked_peers = self.peers.known
            self.primaries.clear()
        name = instance.name
        if name not in self.primaries:
            vms = self.peers.names_near(instance.hall)
            self.primaries[name] = primary_issuer(name, vms)
        return self.primaries[name]

    def of_hall(self, instance: Instance) -> VmName | None:
        """Return the VM that issues permits in this hall without the primary issuer.

        :param instance: the endpoint.
        """
        vms = self.peers.names_near(self.hall)
        return hall_issuer(instance.name, vms, self.primary(instance))

    def role(self, instance: Instance) -> Role | None:
        """Return the role of this VM for an endpoint, or None if it has none.

        :param instance: the endpoint.
        """
        primary = self.primary(instance) == self.vm
        if not primary and self.of_hall(instance) != self.vm:
            return None
        halls = {location.hall for location in self.peers.known.values()}
        return Role(primary, len(halls | {self.hall}))

    def forget(self, name: EndpointName) -> None:
        """Remove an endpoint that is gone.

        :param name: the endpoint.
        """
        self.primaries.pop(name, None)
