# Licensed under the Apache License 2.0: see LICENSE for details.

"""One VM's view of the other entry VMs, built from gossip, and the ranking of VMs."""

from __future__ import annotations

import math
import random
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

import xxhash

from walnutquay.state.process.ids import HallName, Incarnation, MemberState, VmName
from walnutquay.state.process.revisions import UNKNOWN_ERA, Era

# The number of members that a heartbeat is sent to in each round.  Up to this many
# members, each VM receives the heartbeats of all others directly; in larger fleets
# updates spread by gossip.
HEARTBEAT_FANOUT = 6
# The number of members whose full updates each heartbeat forwards.
RUMOURS = 2
# The number of members whose newest heartbeat counters each heartbeat forwards, as
# digests of eight bytes each.
DIGESTS = 100
SILENT_SECONDS = 4.0
# In a large fleet, the mean time between two updates on a member grows with the number
# of members.  The limit for silence grows by this multiple of that mean time, after
# which a live member is taken as silent with a probability of e^-10.
SILENT_REFRESHES = 10
COUNTER_BITS = 32
COUNTER_MASK = (1 << COUNTER_BITS) - 1
# A member that is not on the VM list is removed after this time without an update.
FORGET_SECONDS = 60.0


@dataclass(frozen=True, slots=True)
class Address:
    """The address at which a VM receives messages of its peers.

    :param host: the IP address.
    :param port: the port, used for both datagrams and streams.
    """

    host: str
    port: int


@dataclass(frozen=True, slots=True)
class VmLocation:
    """The address and the data hall of a VM.

    :param address: the address for its peers.
    :param hall: its data hall.
    """

    address: Address
    hall: HallName


@dataclass(frozen=True, slots=True)
class MemberUpdate:
    """The state of a VM, as reported by the VM itself or forwarded by another one.

    :param vm: its name.
    :param incarnation: changes with each start of its process.
    :param hall: its data hall.
    :param counter: the number of its heartbeats; a greater one is newer.
    :param revision: the revision of the configuration that is in force there.
    :param leaving: whether it is stopping.
    :param address: the address for its peers.
    :param administration: the port of its administration API.
    :param confirmed_age: seconds since its revision was last confirmed as the newest.
    :param region: the region of its data hall.
    :param era: the highest era of the store that it knows of.
    :param restored_age: seconds since it learnt that the store was restored.
    """

    vm: VmName
    incarnation: Incarnation
    hall: HallName
    counter: int
    revision: int
    leaving: bool
    address: Address
    administration: int = 0
    confirmed_age: float = 0.0
    region: str = ""
    era: Era = UNKNOWN_ERA
    restored_age: float = math.inf


@dataclass(slots=True)
class Member:
    """The view of one VM.

    :param latest: the newest update on it.
    :param last_seen_at: the time at which its counter last advanced; monotonic seconds.
    :param counter: its newest known heartbeat counter, from an update or a digest.
    :param listed: whether it is on the platform's VM list.
    """

    latest: MemberUpdate
    last_seen_at: float
    counter: int
    listed: bool = False

    def state(self, now: float, silent_after: float = SILENT_SECONDS) -> MemberState:
        """Return the state of the VM.

        :param now: monotonic seconds.
        :param silent_after: seconds without an update after which the VM is silent.
        """
        if self.latest.leaving:
            return MemberState.LEAVING
        if now - self.last_seen_at > silent_after:
            return MemberState.SILENT
        return MemberState.ALIVE


def digest_of(vm: str, incarnation: str) -> int:
    """Return the 32-bit hash that identifies an incarnation of a VM in digests.

    :param vm: the VM's name.
    :param incarnation: its incarnation.
    """
    return xxhash.xxh32_intdigest(f"{vm}\n{incarnation}".encode())


def rendezvous(key: str, names: Iterable[str]) -> list[str]:
    """Rank names for a key by rendezvous hashing.

    Every VM that ranks the same names gets the same order.

    :param key: the key to assign.
    :param names: the candidates.
    :returns: the names, best candidate first.
    """
    return sorted(names, key=lambda n: xxhash.xxh3_64_intdigest(f"{key}\n{n}".encode()))


class Distance(Enum):
    """The distance of another VM, in the order of preference for storing copies there.

    A whole data hall can fail, so copies are stored in another one.  Regions can lose
    contact with each other, so a hall of the same region is preferred.
    """

    OTHER_HALL = 0
    OTHER_REGION = 1
    OWN_HALL = 2


def distance(hall: str, region: str, other: MemberUpdate) -> Distance:
    """Return the distance from one VM to another.

    :param hall: the VM's data hall.
    :param region: the VM's region.
    :param other: the other VM.
    """
    if (other.hall, other.region) == (hall, region):
        return Distance.OWN_HALL
    same = other.region == region
    return Distance.OTHER_HALL if same else Distance.OTHER_REGION


class MemberTable:
    """One VM's view of the other VMs; the VM itself is not in the table.

    :param own: this VM's name.
    :param rng: the source of randomness.
    :param period: seconds between two heartbeats of a VM.
    """

    def __init__(self, own: VmName, rng: random.Random, period: float = 1.0) -> None:
        self.own = own
        self.rng = rng
        self.period = period
        self.members: dict[str, Member] = {}
        # VM names by the upper half of a digest; see digest_of().
        self.by_digest: dict[int, str] = {}
        # Addresses by the VM list; they take precedence over those in updates.
        self.listed_addresses: dict[str, Address] = {}

    def receive(self, update: MemberUpdate, now: float) -> bool:
        """Apply an update, received from the VM itself or forwarded by another one.

        :param update: the update.
        :param now: monotonic seconds.
        :returns: whether it was newer than the latest one.
        """
        if update.vm == self.own:
            return False
        member = self.members.get(update.vm)
        if member is None:
            listed = update.vm in self.listed_addresses
            self._add(Member(update, now, update.counter, listed))
            return True
        known = member.latest
        if update.incarnation < known.incarnation:
            # Incarnations begin with the start time, so they can be compared.
            return False
        if update.incarnation > known.incarnation:
            self._add(Member(update, now, update.counter, member.listed))
            return True
        if update.counter > member.counter:
            member.counter = update.counter
            member.last_seen_at = now
        if update.counter <= known.counter:
            return False
        member.latest = update
        return True

    def _add(self, member: Member) -> None:
        latest = member.latest
        earlier = self.members.get(latest.vm)
        if earlier is not None:
            # Digests of the earlier start must not count for this one.
            self._remove_digest(earlier)
        self.members[latest.vm] = member
        self.by_digest[digest_of(latest.vm, latest.incarnation)] = latest.vm

    def _remove_digest(self, member: Member) -> None:
        latest = member.latest
        self.by_digest.pop(digest_of(latest.vm, latest.incarnation), None)

    def receive_digests(self, digests: Iterable[int], now: float) -> None:
        """Apply the heartbeat counters that a peer forwards.

        :param digests: the result of :meth:`digests` at the peer.
        :param now: monotonic seconds.
        """
        for digest in digests:
            member = self.members.get(self.by_digest.get(digest >> COUNTER_BITS, ""))
            counter = digest & COUNTER_MASK
            if member is not None and counter > member.counter:
                member.counter = counter
                member.last_seen_at = now

    def digests(self, now: float) -> list[int]:
        """Choose the members whose heartbeat counters are forwarded.

        :param now: monotonic seconds.
        :returns: a digest for each: its hash in the upper half, its counter in the
            lower half.
        """
        horizon = now - self.silent_after() / 2
        fresh = [m for m in self.members.values() if m.last_seen_at > horizon]
        if len(fresh) > DIGESTS:
            fresh = self.rng.sample(fresh, DIGESTS)
        return [
            digest_of(m.latest.vm, m.latest.incarnation) << COUNTER_BITS
            | m.counter & COUNTER_MASK
            for m in fresh
        ]

    def silent_after(self) -> float:
        """Return the seconds without an update after which a member is silent."""
        seen_each_period = HEARTBEAT_FANOUT * (1 + DIGESTS)
        refresh = len(self.members) / seen_each_period * self.period
        return SILENT_SECONDS + SILENT_REFRESHES * refresh

    def state_of(self, member: Member, now: float) -> MemberState:
        """Return this VM's view of the state of a member.

        :param member: the member.
        :param now: monotonic seconds.
        """
        return member.state(now, self.silent_after())

    def apply_list(self, listed: dict[str, Address], now: float) -> None:
        """Apply the platform's list of VMs, which may lag behind the fleet.

        :param listed: the addresses by VM name.
        :param now: monotonic seconds.
        """
        self.listed_addresses = {n: a for n, a in listed.items() if n != self.own}
        for name, member in list(self.members.items()):
            member.listed = name in listed
            silent = now - member.last_seen_at > FORGET_SECONDS
            if silent and not member.listed:
                del self.members[name]
                self._remove_digest(member)

    def address(self, name: str) -> Address | None:
        """Return the address of a VM, or None if it is not known.

        :param name: the VM's name.
        """
        listed = self.listed_addresses.get(name)
        if listed is not None:
            return listed
        member = self.members.get(name)
        return member.latest.address if member is not None else None

    def alive(self, now: float) -> list[Member]:
        """Return the members that are neither silent nor leaving.

        :param now: monotonic seconds.
        """
        silent_after = self.silent_after()
        return [
            member
            for member in self.members.values()
            if member.state(now, silent_after) is MemberState.ALIVE
        ]

    def targets(self) -> list[str]:
        """Choose the recipients of this round's heartbeat.

        :returns: the names; all known ones in a small fleet.
        """
        names = sorted({*self.members, *self.listed_addresses})
        if len(names) <= HEARTBEAT_FANOUT:
            return names
        return self.rng.sample(names, HEARTBEAT_FANOUT)

    def rumours(self, now: float) -> list[MemberUpdate]:
        """Choose the updates to forward.

        :param now: monotonic seconds.
        :returns: the latest updates on members that were seen recently.
        """
        fresh = [m.latest for m in self.members.values() if m.last_seen_at > now - 1.0]
        if len(fresh) <= RUMOURS:
            return fresh
        return self.rng.sample(fresh, RUMOURS)

    def ranked(self, key: str, now: float, hall: str = "") -> list[str]:
        """Rank the live VMs, including this one, for a task.

        :param key: the name of the task.
        :param now: monotonic seconds.
        :param hall: only rank VMs of this data hall; empty for all data halls.
        """
        names = [
            member.latest.vm
            for member in self.alive(now)
            if not hall or member.latest.hall == hall
        ]
        return rendezvous(key, [*names, self.own])
