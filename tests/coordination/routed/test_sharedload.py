# Licensed under the Apache License 2.0: see LICENSE for details.

"""VMs that share slots under loads beyond these, with a clock of the loop's own."""

from __future__ import annotations

import asyncio
import random
import unittest
from dataclasses import dataclass

from tests.slotworld import Result, SlotWorld
from tests.virtualtime import play
from walnutquay.state.process.ids import Fingerprint, OrganisationName
from walnutquay.transport.timers import monotonic

VMS = 6
SLOTS = (6, 6, 6)
WORK, AIM, DEADLINE = 0.25, 0.6, 2.4
# What the endpoints bear; requests a second.
RATE = sum(SLOTS) / WORK
SECONDS = 10.0
# Callers follow a time to return up to this part of the time that they have left.
FOLLOWED_SHARE = 1 / 3
# What users ask for.
IN_TIME, RETURNS_SERVED, HELD_IN_VAIN = 0.85, 0.9, 1 / 50
# What the most urgent may lose to a reserve for the others.
RESERVE = 1 / 16


@dataclass
class Caller:
    """A caller, with its first try and the one that it came back with, if any."""

    came: float
    priority: int
    organisation: str
    first: Result
    second: Result | None = None

    @property
    def served(self) -> bool:
        """Whether it got an answer."""
        return self.first.served or (self.second is not None and self.second.served)

    @property
    def in_time(self) -> bool:
        """Whether it got an answer within its aim, from its first try on."""
        last = self.second or self.first
        return self.served and last.ended - self.came <= AIM


class Callers:
    """Callers at all VMs of a world, who return once as they are told.

    :param world: the VMs and endpoints.
    :param seed: of their arrivals.
    """

    def __init__(self, world: SlotWorld, seed: int = 1) -> None:
        self.world = world
        self.rng = random.Random(seed)
        self.came: list[Caller] = []

    async def call(self, number: int, priority: int, organisation: str) -> None:
        """Come, and return once if there is a time for it."""
        came = monotonic()
        vms = list(self.world.vms.values())

        def send() -> asyncio.Task:
            return self.world.spawn(
                self.rng.choice(vms).request(
                    WORK * self.rng.uniform(0.5, 1.5),
                    came + DEADLINE - monotonic(),
                    aim=AIM - (monotonic() - came),
                    priority=priority,
                    organisation=OrganisationName(organisation),
                    content=Fingerprint(f"{number:016x}"),
                )
            )

        caller = Caller(came, priority, organisation, await send())
        self.came.append(caller)
        refusal = caller.first.refusal
        if refusal is None or refusal.retry_after is None:
            return
        followed = FOLLOWED_SHARE * (came + DEADLINE - monotonic())
        await asyncio.sleep(min(refusal.retry_after, followed))
        caller.second = await send()

    async def play(self, load: float, organisations: dict[str, int]) -> None:
        """Send callers of three priorities at a multiple of what endpoints bear."""
        names = [name for name, parts in organisations.items() for _ in range(parts)]
        end = monotonic() + SECONDS
        calls = []
        while monotonic() < end:
            priority, name = self.rng.randrange(3), self.rng.choice(names)
            calls.append(self.world.spawn(self.call(len(calls), priority, name)))
            await asyncio.sleep(self.rng.expovariate(load * RATE))
        await asyncio.gather(*calls)


def callers(load: float, organisations: dict[str, int]) -> list[Caller]:
    """Return what becomes of the callers of a load."""

    async def story() -> list[Caller]:
        found = Callers(SlotWorld(VMS, SLOTS))
        await found.play(load, organisations)
        return found.came

    return play(story())


def share(found: list[Caller]) -> float:
    """Return the part of callers that was served."""
    return sum(one.served for one in found) / len(found)


class TwiceTheLoadTest(unittest.TestCase):
    """Callers of three priorities ask for twice what the endpoints bear."""

    @classmethod
    def setUpClass(cls) -> None:
        cls.came = callers(2.0, {"org-a": 1, "org-b": 1})

    def of(self, priority: int) -> list[Caller]:
        """Return the callers of a priority."""
        return [one for one in self.came if one.priority == priority]

    def test_what_could_be_in_time_is(self):
        in_time = sum(one.in_time for one in self.came)
        self.assertGreaterEqual(in_time, IN_TIME * RATE * SECONDS)

    def test_the_most_urgent_are_served_as_if_the_others_were_not_there(self):
        self.assertGreaterEqual(share(self.of(0)), 1 - RESERVE)

    def test_the_least_urgent_do_not_starve(self):
        self.assertGreater(share(self.of(2)), 0.0)

    def test_who_returns_as_told_is_served(self):
        returned = [one for one in self.came if one.second is not None]
        self.assertTrue(returned)
        self.assertGreaterEqual(share(returned), RETURNS_SERVED)

    def test_refusals_come_at_once(self):
        tries = [one.first for one in self.came if one.first.refusal is not None]
        waits = sorted(result.decided - result.began for result in tries)
        self.assertLess(waits[len(waits) // 2], 0.05)
        held = [wait for wait in waits if wait > AIM / 2]
        self.assertLess(len(held), HELD_IN_VAIN * len(self.came))


class GreedyOrganisationTest(unittest.TestCase):
    """One organisation asks seven times as much as another, together twice the room."""

    def test_who_asks_for_less_than_its_share_is_served_as_in_the_calm(self):
        came = callers(2.0, {"org-a": 7, "org-b": 1})
        modest = [one for one in came if one.organisation == "org-b"]
        self.assertGreaterEqual(share(modest), 1 - HELD_IN_VAIN)


class CalmTest(unittest.TestCase):
    """Callers ask for three quarters of what the endpoints bear."""

    def test_all_are_served(self):
        self.assertEqual(share(callers(0.75, {"org-a": 1})), 1.0)
