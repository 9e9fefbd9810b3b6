# Licensed under the Apache License 2.0: see LICENSE for details.

"""Which VM shares out the scarce slots of a service, as one VM finds them to answer."""

from __future__ import annotations

import math
import random
from collections.abc import Mapping
from typing import Protocol

from walnutquay.state.fleet.membership import VmLocation, rendezvous
from walnutquay.state.process.ids import ServiceName, VmName

# A VM that did not answer is passed over for a time between these; seconds.  VMs that
# lost it together do not come back to it together.
MIN_SILENT_SECONDS = 2.0
MAX_SILENT_SECONDS = 6.0
# One that has never answered may be older, and end the stream by which it is asked:
# from its second failure on it is passed over this many times longer.
NEVER_HEARD_FACTOR = 8.0
# One request tries a VM again that was passed over; the others go on without it for
# this long, or until it answers.
TRY_SECONDS = 0.3
# A VM that passes over more than this takes itself for cut off, and does not share out
# all slots by itself, unless others ask it.
MAX_PASSED = 2
# Another VM asked this one so lately that it need not be cut off; seconds.
ASKED_SECONDS = 5.0


class RankedPeers(Protocol):
    """The other entry VMs."""

    @property
    def known(self) -> Mapping[VmName, VmLocation]:
        """The location of each VM; a new object whenever the list changes."""

    @property
    def size(self) -> int:
        """The number of entry VMs, including this one."""


class KeeperRanking:
    """Ranks the VMs for each service; VMs with the same list agree.

    :param vm: this VM.
    :param peers: the other VMs.
    :param rng: spreads the times at which VMs are tried again.
    """

    def __init__(self, vm: VmName, peers: RankedPeers, rng: random.Random) -> None:
        self.vm = vm
        self.peers = peers
        self.rng = rng
        # The VMs in order, by service, for the list of VMs in ``ranked_peers``.
        self.ranked: dict[ServiceName, list[VmName]] = {}
        self.ranked_peers: Mapping[VmName, VmLocation] | None = None
        # Until when a VM that did not answer is passed over; monotonic seconds.
        self.passed_until: dict[VmName, float] = {}
        # The VMs that have answered, and those that were asked and never have.
        self.heard: set[VmName] = set()
        self.unheard: set[VmName] = set()
        # When another VM asked this one last; monotonic seconds.
        self.asked_at = -math.inf
        # Set once this VM stops, and shares out no more.
        self.closed = False

    def _order(self, service: ServiceName) -> list[VmName]:
        if self.ranked_peers is not self.peers.known:
            self.ranked_peers = self.peers.known
            self.ranked.clear()
            for vm in [vm for vm in self.passed_until if vm not in self.peers.known]:
                del self.passed_until[vm]
            self.heard &= self.peers.known.keys()
            self.unheard &= self.peers.known.keys()
        if service not in self.ranked:
            vms = {*self.peers.known, self.vm}
            self.ranked[service] = [VmName(name) for name in rendezvous(service, vms)]
        return self.ranked[service]

    def keeper(self, service: ServiceName, now: float) -> VmName | None:
        """Return the VM to ask for a slot now.

        :param service: the service.
        :param now: monotonic seconds.
        :returns: the first in rank that is not passed over; None if this VM has to do
            without one.
        """
        if not self.peers.known and self.peers.size > 1:
            return None
        passed = 0
        for vm in self._order(service):
            if vm == self.vm:
                if self._may_keep(passed, now):
                    return vm
                continue
            until = self.passed_until.get(vm)
            if until is None:
                return vm
            if until <= now:
                self.passed_until[vm] = now + TRY_SECONDS
                return vm
            passed += 1
        return None

    def _may_keep(self, passed: int, now: float) -> bool:
        if self.closed:
            return False
        return passed <= MAX_PASSED or now - self.asked_at < ASKED_SECONDS

    def pass_over(self, vm: VmName, now: float) -> None:
        """Pass a VM over for a while: it did not answer, or shares out nothing.

        :param vm: the VM.
        :param now: monotonic seconds.
        """
        seconds = self.rng.uniform(MIN_SILENT_SECONDS, MAX_SILENT_SECONDS)
        if vm in self.unheard:
            seconds *= NEVER_HEARD_FACTOR
        elif vm not in self.heard:
            self.unheard.add(vm)
        self.passed_until[vm] = now + seconds

    def answered(self, vm: VmName) -> None:
        """Record that a VM answered.

        :param vm: the VM.
        """
        self.passed_until.pop(vm, None)
        self.heard.add(vm)
        self.unheard.discard(vm)
