# Licensed under the Apache License 2.0: see LICENSE for details.

"""How many slots an organisation may hold with work that others cannot wait for.

Answers organisations whose work differs a hundredfold: a slot that long work has is not
taken back, so turns alone leave others nothing until it ends.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from walnutquay.state.process.ids import OrganisationName
from walnutquay.state.routed.slotdemand import SHORT_SHARE, TRUSTED_SHARE, SlotDemand
from walnutquay.state.routed.slotforecast import DecayingRate
from walnutquay.state.routed.slotgrants import SlotGrants
from walnutquay.state.routed.slotorder import Waiting

# What others asked for is summed up this often at most: it changes with each request,
# and each grant needs it.
CLAIM_SECONDS = 0.02
# For less than this part of a slot none is kept: it would be idle nearly always.
LEAST_SLOT = 0.1


@dataclass(slots=True)
class Asked:
    """What one organisation asked for lately.

    :param patience: how long its last request could wait for its turn; seconds.
    :param by_rank: the work by the rank that it waits in.
    """

    patience: float = 0.0
    by_rank: dict[int, DecayingRate] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Claim:
    """The part of the room that is kept for an organisation.

    :param name: the organisation.
    :param patience: how long its requests can wait for their turns; seconds.
    :param part: relative to all the room.
    """

    name: OrganisationName
    patience: float
    part: float


class SlotShares:
    """What organisations may hold of one service's slots.

    :param demand: what they ask for.
    :param grants: what they hold.
    """

    def __init__(self, demand: SlotDemand, grants: SlotGrants) -> None:
        self.demand = demand
        self.grants = grants
        self.asked: dict[OrganisationName, Asked] = {}
        self.known: dict[int, tuple[float, list[Claim]]] = {}

    def add(self, waiting: Waiting, now: float) -> None:
        """Count a request that arrives.

        :param waiting: the request.
        :param now: monotonic seconds.
        """
        asked = self.asked.setdefault(waiting.request.organisation, Asked())
        left = waiting.in_time_until - waiting.work - now
        asked.patience = TRUSTED_SHARE * max(0.0, left)
        asked.by_rank.setdefault(waiting.rank, DecayingRate()).add(waiting.work, now)

    def may_hold(self, waiting: Waiting, now: float) -> bool:
        """Return whether a request may have a slot beside those of its organisation.

        :param waiting: the request.
        :param now: monotonic seconds.
        """
        if len(self.asked) < 2:
            return True
        name = waiting.request.organisation
        held = self.grants.held[name]
        kept = sum(
            claim.part
            for claim in self.claims(waiting.rank, now)
            if claim.patience < waiting.work and claim.name != name
        )
        most = (1.0 - kept) * self.grants.rooms.slots + LEAST_SLOT
        return not held or held + 1 <= most

    def claims(self, number: int, now: float) -> list[Claim]:
        """Return what is kept for each organisation, as of a moment ago.

        That is what it asked for lately, and its share at most.

        :param number: the rank up to which requests count.
        :param now: monotonic seconds.
        """
        at, claims = self.known.get(number, (float("-inf"), []))
        if now - at >= CLAIM_SECONDS:
            claims = [self._claim(name, number, now) for name in self.asked]
            self.known[number] = now, claims
        return claims

    def remove_idle(self) -> None:
        """Remove organisations that ask for nothing."""
        for name in self.asked.keys() - self.demand.demands.keys():
            del self.asked[name]
        self.known.clear()

    def _claim(self, name: OrganisationName, number: int, now: float) -> Claim:
        """Return what is kept for an organisation."""
        asked = self.asked[name]
        rates = [rate for rank, rate in asked.by_rank.items() if rank <= number]
        work = sum(rate.per_second(now) for rate in rates)
        part = work / max(SHORT_SHARE * self.demand.capacity(now), 1e-3)
        return Claim(name, asked.patience, min(part, self.demand.share(name)))
