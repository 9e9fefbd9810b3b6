# Licensed under the Apache License 2.0: see LICENSE for details.

"""What a VM believes of the other entry VMs, and the duties that follow."""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

import xxhash

from walnutquay.state.process.ids import HallName, Incarnation, MemberState, VmName

# Heartbeats go to this many members a round; with no more members than that,
# each hears every other directly, and beyond it news spreads by rumour.
HEARTBEAT_FANOUT = 6
# Members whose whole news each heartbeat passes on.
RUMOURS = 2
# Members of which each heartbeat says, in eight bytes, that they were heard.
DIGESTS = 100
SILENT_SECONDS = 4.0
# In a large fleet a member is heard of again, on average, once in so many
# heartbeats; it is silent after this many times that (e^-10 of them in error).
SILENT_REFRESHES = 10
COUNTER_BITS = 32
COUNTER_MASK = (1 << COUNTER_BITS) - 1
# A member that is off the list and silent is forgotten after this long.
FORGET_SECONDS = 60.0


@dataclass(frozen=True, slots=True)
class Address:
    """Where a VM listens to its peers.

    :param host: an IP number.
    :param port: the port of both its datagrams and its streams.
    """

    host: str
    port: int


@dataclass(frozen=True, slots=True)
class VmLocation:
    """Where a VM is.

    :param address: where it listens to its peers.
    :param hall: the data hall that it stands in.
    """

    address: Address
    hall: HallName


@dataclass(frozen=True, slots=True)
class MemberUpdate:
    """What a VM says of itself, or is passed on of it.

    :param vm: its name.
    :param incarnation: changes with each start of its process.
    :param hall: its data hall.
    :param counter: counts its heartbeats; a greater one is newer.
    :param revision: the configuration that it has in force.
    :param leaving: whether it is stopping.
    :param address: where it listens to its peers.
    :param administration: the port of its administration API.
    :param confirmed_age: seconds since it last knew its revision to be newest.
    :param region: the region of its data hall.
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


@dataclass(slots=True)
class Member:
    """What is believed of one VM.

    :param latest: the newest update that was received of it.
    :param last_seen_at: when it was last heard of anew; monotonic seconds.
    :param counter: its newest heartbeat that was heard of, in whole or as a
        digest.
    :param listed: whether the platform's VM list has it.
    """

    latest: MemberUpdate
    last_seen_at: float
    counter: int
    listed: bool = False

    def state(self, now: float, silent_after: float = SILENT_SECONDS) -> MemberState:
        """:param now: monotonic seconds.

        :param silent_after: seconds without news after which it is silent.
        """
        if self.latest.leaving:
            return MemberState.LEAVING
        if now - self.last_seen_at > silent_after:
            return MemberState.SILENT
        return MemberState.ALIVE


def digest_of(vm: str, incarnation: str) -> int:
    """:param vm: a VM's name.

    :param incarnation: its incarnation.
    :returns: 32 bits that stand for both in digests.
    """
    return xxhash.xxh32_intdigest(f"{vm}\n{incarnation}".encode())


def rendezvous(key: str, names: Iterable[str]) -> list[str]:
    """Rank names for a key: every VM with the same names gets the same order.

    :param key: what is to be placed.
    :param names: where it could go.
    :returns: the names, first choice first.
    """
    return sorted(names, key=lambda n: xxhash.xxh3_64_intdigest(f"{key}\n{n}".encode()))


class Distance(Enum):
    """How far another VM is, as the keeper of copies; the best one first.

    A data hall can be lost as a whole, so a copy stands in another one; regions
    can lose each other, so it is one of the same region where there is one.
    """

    OTHER_HALL = 0
    OTHER_REGION = 1
    OWN_HALL = 2


def distance(hall: str, region: str, other: MemberUpdate) -> Distance:
    """:param hall: a VM's data hall.

    :param region: its region.
    :param other: another VM.
    :returns: how far that is.
    """
    if (other.hall, other.region) == (hall, region):
        return Distance.OWN_HALL
    same = other.region == region
    return Distance.OTHER_HALL if same else Distance.OTHER_REGION


class MemberTable:
    """The other VMs as one VM sees them; itself is not in it.

    :param own: this VM's name.
    :param rng: the source of chance.
    :param period: seconds between the heartbeats of each VM.
    """

    def __init__(self, own: VmName, rng: random.Random, period: float = 1.0) -> None:
        self.own = own
        self.rng = rng
        self.period = period
        self.members: dict[str, Member] = {}
        # The name that a digest's upper half stands for.
        self.by_digest: dict[int, str] = {}
        # Where the VM list says that a VM is; it goes before what VMs say.
        self.listed_addresses: dict[str, Address] = {}

    def receive(self, news: MemberUpdate, now: float) -> bool:
        """Take in news of a VM, from itself or passed on.

        :param news: the news.
        :param now: monotonic seconds.
        :returns: whether it was newer than what was known.
        """
        if news.vm == self.own:
            return False
        member = self.members.get(news.vm)
        if member is None:
            listed = news.vm in self.listed_addresses
            self._know(Member(news, now, news.counter, listed))
            return True
        known = member.latest
        if news.incarnation < known.incarnation:
            # Incarnations begin with the time of the start, so they sort.
            return False
        if news.incarnation > known.incarnation:
            self._know(Member(news, now, news.counter, member.listed))
            return True
        if news.counter > member.counter:
            member.counter = news.counter
            member.last_seen_at = now
        if news.counter <= known.counter:
            return False
        member.latest = news
        return True

    def _know(self, member: Member) -> None:
        news = member.latest
        earlier = self.members.get(news.vm)
        if earlier is not None:
            # What is still said of the earlier start must not count for this.
            self._forget_digest(earlier)
        self.members[news.vm] = member
        self.by_digest[digest_of(news.vm, news.incarnation)] = news.vm

    def _forget_digest(self, member: Member) -> None:
        news = member.latest
        self.by_digest.pop(digest_of(news.vm, news.incarnation), None)

    def receive_digests(self, digests: Iterable[int], now: float) -> None:
        """Take in which members a peer has heard of.

        :param digests: as :meth:`digests` gave them.
        :param now: monotonic seconds.
        """
        for digest in digests:
            member = self.members.get(self.by_digest.get(digest >> COUNTER_BITS, ""))
            counter = digest & COUNTER_MASK
            if member is not None and counter > member.counter:
                member.counter = counter
                member.last_seen_at = now

    def digests(self, now: float) -> list[int]:
        """Choose of whom to say that they were heard.

        :param now: monotonic seconds.
        :returns: for each, what stands for it and its newest heartbeat.
        """
        horizon = now - self.silent_after() / 2
        fresh = [m for m in self.members.values() if m.last_seen_at > horizon]
        if len(fresh) > DIGESTS:
            fresh = self.rng.sample(fresh, DIGESTS)
        return [
            digest_of(m.latest.vm, m.news.incarnation) << COUNTER_BITS
            | m.counter & COUNTER_MASK
            for m in fresh
        ]

    def silent_after(self) -> float:
        """:returns: seconds without news after which a member is silent."""
        heard_of = HEARTBEAT_FANOUT * (1 + DIGESTS)
        refresh = len(self.members) / heard_of * self.period
        return SILENT_SECONDS + SILENT_REFRESHES * refresh

    def state_of(self, member: Member, now: float) -> MemberState:
        """:param member: a member.

        :param now: monotonic seconds.
        :returns: what this VM believes of it.
        """
        return member.state(now, self.silent_after())

    def apply_list(self, listed: dict[str, Address], now: float) -> None:
        """Take in the platform's list of VMs, which lags.

        :param listed: address by VM name.
        :param now: monotonic seconds.
        """
        self.listed_addresses = {n: a for n, a in listed.items() if n != self.own}
        for name, member in list(self.members.items()):
            member.listed = name in listed
            silent = now - member.last_seen_at > FORGET_SECONDS
            if silent and not member.listed:
                del self.members[name]
                self._forget_digest(member)

    def address(self, name: str) -> Address | None:
        """:param name: a VM's name.

        :returns: where to send to it, or None where that is not known.
        """
        listed = self.listed_addresses.get(name)
        if listed is not None:
            return listed
        member = self.members.get(name)
        return member.latest.address if member is not None else None

    def alive(self, now: float) -> list[Member]:
        """:param now: monotonic seconds.

        :returns: the members that are heard and not leaving.
        """
        silent_after = self.silent_after()
        return [
            member
            for member in self.members.values()
            if member.state(now, silent_after) is MemberState.ALIVE
        ]

    def targets(self) -> list[str]:
        """Choose whom to send this round's heartbeat to.

        :returns: names; all known ones where they are few.
        """
        names = sorted({*self.members, *self.listed_addresses})
        if len(names) <= HEARTBEAT_FANOUT:
            return names
        return self.rng.sample(names, HEARTBEAT_FANOUT)

    def rumours(self, now: float) -> list[MemberUpdate]:
        """Choose what to pass on.

        :param now: monotonic seconds.
        :returns: news of members that were heard of lately.
        """
        fresh = [m.latest for m in self.members.values() if m.last_seen_at > now - 1.0]
        if len(fresh) <= RUMOURS:
            return fresh
        return self.rng.sample(fresh, RUMOURS)

    def ranked(self, key: str, now: float, hall: str = "") -> list[str]:
        """Rank the live VMs, this one among them, for a duty.

        :param key: the duty.
        :param now: monotonic seconds.
        :param hall: only VMs of this data hall; empty for all.
        """
        names = [
            member.latest.vm
            for member in self.alive(now)
            if not hall or member.latest.hall == hall
        ]
        return rendezvous(key, [*names, self.own])
