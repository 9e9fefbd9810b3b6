# Licensed under the Apache License 2.0: see LICENSE for details.

"""Whether VMs reach endpoints, and which VM forwards a connection."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum

from walnutquay.state.process.ids import HallName, VmName
from walnutquay.state.store.instances import Instance

# How long the answers of other VMs hold; seconds.
ANSWERS_VALID_SECONDS = 1.0
# What a VM in another hall counts for, as tunnels that it already forwards: its
# connections are slower, and traffic between halls is charged for.
OTHER_HALL_TUNNELS = 32
# The same of a VM in the hall of the endpoint, where one hop stays within the hall.
ENDPOINT_HALL_TUNNELS = 16


class Reach(Enum):
    """The answer of a VM that was asked for a connection to an endpoint."""

    REACHED = "reached"
    # Nothing listens at its address.
    REFUSED = "refused"
    # Nothing answers at its address.
    SILENT = "silent"
    # The VM does not know this start of the endpoint.
    UNKNOWN = "unknown"
    # The VM is stopping, or forwards as many connections as it can.
    BUSY = "busy"


@dataclass(frozen=True, slots=True)
class Helper:
    """A VM that reaches an endpoint which this VM does not.

    :param vm: the VM.
    :param hall: its data hall; None if it is not known any more.
    :param tunnels: the connections that it forwards, as it has told last.
    """

    vm: VmName
    hall: HallName | None
    tunnels: int

    def cost(self, own_hall: HallName, endpoint_hall: HallName) -> int:
        """Return what a connection through the VM costs, in tunnels.

        :param own_hall: the hall of the VM that asks.
        :param endpoint_hall: the hall of the endpoint.
        """
        if self.hall == own_hall:
            return self.tunnels
        if self.hall == endpoint_hall:
            return self.tunnels + ENDPOINT_HALL_TUNNELS
        return self.tunnels + OTHER_HALL_TUNNELS


@dataclass(slots=True, eq=False)
class LostLink:
    """An endpoint that this VM cannot connect to.

    :param endpoint: the endpoint.
    :param hall: the data hall that seems to be cut off; None if only the endpoint
        refuses connections.
    :param helpers: the VMs that reach it, by name.
    :param asked_at: when other VMs were asked last; monotonic seconds.
    :param only_refuses: whether new connections are refused, and those that are open
        may still work.
    """

    endpoint: Instance
    hall: HallName | None
    helpers: dict[VmName, Helper] = field(default_factory=dict)
    asked_at: float = float("-inf")
    only_refuses: bool = False

    def is_forwarded(self) -> bool:
        """Return whether another VM reaches the endpoint."""
        return bool(self.helpers)

    def is_down(self, now: float) -> bool:
        """Return whether no VM has reached the endpoint lately.

        :param now: monotonic seconds.
        """
        return not self.helpers and now < self.asked_at + ANSWERS_VALID_SECONDS

    def is_due(self, now: float) -> bool:
        """Return whether other VMs should be asked again.

        :param now: monotonic seconds.
        """
        return now >= self.asked_at + ANSWERS_VALID_SECONDS

    def ranked(self, own_hall: HallName) -> list[Helper]:
        """Return the VMs that reach the endpoint, the best first.

        :param own_hall: the hall of this VM.
        """
        hall = self.endpoint.hall
        return sorted(self.helpers.values(), key=lambda one: one.cost(own_hall, hall))


def asked_vms(
    vms: Mapping[VmName, HallName],
    own_hall: HallName,
    endpoint_hall: HallName,
    shuffled: Iterable[VmName],
    count: int,
) -> list[VmName]:
    """Choose the VMs to ask whether they reach an endpoint.

    Half of them are in this hall or in that of the endpoint.  The others may be
    anywhere: the links of whole halls fail together.

    :param vms: the other VMs, and their halls.
    :param own_hall: the hall of this VM.
    :param endpoint_hall: the hall of the endpoint.
    :param shuffled: the other VMs, in random order.
    :param count: how many to ask at most.
    """
    order = list(shuffled)
    near = [vm for vm in order if vms[vm] in (own_hall, endpoint_hall)]
    chosen = near[: count // 2]
    chosen += [vm for vm in order if vm not in chosen][: count - len(chosen)]
    return chosen
