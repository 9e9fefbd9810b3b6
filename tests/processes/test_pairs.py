# Licensed under the Apache License 2.0: see LICENSE for details.

"""Faults together and twice, over real processes: what must hold is judged."""

from __future__ import annotations

import asyncio
import itertools
import signal
from collections import Counter, defaultdict
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import aiohttp

from tests.fleetcase import Answer, FleetCase
from walnutquay.protocol.chat import HEADER_TOKEN

# How long a fault lasts before the next one comes, and before both are healed.
FAULT_SECONDS = 0.3
BOOKINGS = 4
SESSIONS = 4
RESTARTED = "vm-a1"
PAUSED = "vm-a2"
CUT_HALL = "hall-b"
ENTRANCES = ("vm-a1", "vm-a2", "vm-b1")


@dataclass
class Told:
    """What callers were told, for the judges."""

    # Answers by idempotency key, and by order where there is no key.
    keyed: dict[str, list[Answer]] = field(default_factory=lambda: defaultdict(list))
    plain: dict[str, list[Answer]] = field(default_factory=lambda: defaultdict(list))
    # Requests that were answered, replays aside: each is owed one bill.
    # With the faults at that time, and the VM that answered.
    answered: dict[str, str] = field(default_factory=dict)
    # The versions of the small model that each session was served by.
    versions: dict[str, set[str]] = field(default_factory=lambda: defaultdict(set))
    # The revisions that were promised to operators, by the revision they asked for
    # to be in force: each can be followed only once.
    accepted: dict[int, list[int]] = field(default_factory=lambda: defaultdict(list))


class PairsTest(FleetCase):
    """Each fault with each other, and each twice, under requests and changes.

    One row a fault: its name, how it is brought about, how it is healed.
    """

    vms = {"vm-a1": "hall-a", "vm-a2": "hall-a", "vm-b1": "hall-b"}

    def make_fleet(self):
        fleet = super().make_fleet()
        fleet.cuttable = True
        return fleet

    def content(self):
        content = super().content()
        content["rollouts"] = [
            {
                "name": "half",
                "model": "small",
                "old": "small-1",
                "new": "small-2",
                "stages": [0.5],
            }
        ]
        return content

    def faults(self) -> list[tuple[str, Callable, Callable]]:
        """:returns: the table of faults."""
        # What comes first makes it worse: a VM that is killed while the platform
        # is down loses more than one that is killed before.
        return [
            ("down", self.platform_fault(refuse=503), self.platform_fault()),
            ("slow", self.platform_fault(delay=0.4), self.platform_fault()),
            ("lost", self.platform_fault(lose_answers=6), self.platform_fault()),
            ("cut", self.cut, self.heal),
            ("loss", self.lose_packets, self.heal),
            ("race", self.race, self.nothing),
            ("pause", self.pause, self.wake),
            ("kill", self.kill, self.restart),
        ]

    async def kill(self) -> None:
        """Kill a VM in the middle of its work."""
        process = self.vm(RESTARTED).process
        if process is not None and process.running:
            await self.fleet.stop_process(process, signal.SIGKILL)

    async def restart(self) -> None:
        """Start the VM that was killed anew."""
        if not self.vm(RESTARTED).process.running:
            await self.fleet.start_vm(RESTARTED, "hall-a")

    async def pause(self) -> None:
        """Freeze a VM."""
        self.vm(PAUSED).process.signal(signal.SIGSTOP)

    async def wake(self) -> None:
        """Wake it."""
        self.vm(PAUSED).process.signal(signal.SIGCONT)

    async def cut(self) -> None:
        """Cut a data hall off from the other, and from the platform."""
        self.fleet.cut(CUT_HALL)
        await self.fleet.control(
            self.fleet.platform,
            "faults",
            {**self.platform_faults, "cut": ["vm-b1"], "cut_list": ["vm-b1"]},
        )

    async def lose_packets(self) -> None:
        """Lose half of the datagrams between the halls."""
        self.fleet.cut(CUT_HALL, cut=False, loss=0.5)

    async def heal(self) -> None:
        """Heal all links."""
        self.fleet.cut(CUT_HALL, cut=False)
        await self.fleet.control(self.fleet.platform, "faults", self.platform_faults)

    def platform_fault(self, **fault: float) -> Callable[[], Awaitable[None]]:
        """:param fault: what goes wrong beside what is wrong; none heals all."""

        async def set_fault() -> None:
            self.platform_faults = {**self.platform_faults, **fault} if fault else {}
            await self.fleet.control(
                self.fleet.platform, "faults", self.platform_faults
            )

        return set_fault

    async def race(self) -> None:
        """Let two operators change the same thing through two VMs."""
        self.changes += 1
        pools = self.content()["pools"]
        pools[0]["queue_length"] = 50 + self.changes
        body = {"content": {"pools": pools}, "if_revision": self.revision}
        self.spawn(self.change("vm-a2", body))
        self.spawn(self.change("vm-b1", body))

    async def change(self, vm: str, body: dict) -> None:
        """Apply through one VM, and note what was promised."""
        try:
            status, answer = await self.fleet.administer(
                self.vm(vm), "PUT", "/v1/configuration", body
            )
        except (aiohttp.ClientError, OSError):
            return
        if status == 200:
            self.told.accepted[body["if_revision"]].append(answer["revision"])

    async def nothing(self) -> None:
        """A race heals by itself."""

    def spawn(self, coroutine: Awaitable[None]) -> None:
        """Run something beside the faults until the pair is over."""
        self.tasks.append(asyncio.ensure_future(coroutine))

    # Callers.

    def load(self, label: str) -> None:
        """Let callers send work through all VMs."""
        for number in range(BOOKINGS):
            name = f"{label}-{number}"
            for vm in (ENTRANCES[number % 3], ENTRANCES[(number + 1) % 3]):
                self.spawn(self.booking(vm, name, self.told.keyed[name], key=name))
            self.spawn(
                self.booking(ENTRANCES[number % 3], name + "-", self.told.plain[name])
            )
        for number in range(SESSIONS):
            self.spawn(self.turn(f"s{number}", ENTRANCES[number % 3]))

    async def booking(
        self, vm: str, order: str, told: list[Answer], key: str = ""
    ) -> None:
        """Make a booking, and note what its caller is told."""
        try:
            answer = await self.book(vm, order, key=key)
        except (aiohttp.ClientError, OSError):
            return
        told.append(answer)
        self.note(answer, vm)

    async def turn(self, session: str, vm: str) -> None:
        """Take a session's next turn, by its newest token."""
        token = self.tokens.get(session)
        headers = {f"header_{HEADER_TOKEN}": token} if token else {}
        try:
            answer = await self.chat(vm, f"{session} {self.changes}", **headers)
        except (aiohttp.ClientError, OSError):
            return
        self.note(answer, vm)
        if answer.status == 200:
            self.tokens.setdefault(session, answer.headers[HEADER_TOKEN])
            version = answer.headers["x-walnutquay-version"]
            if token and version.startswith("small"):
                self.told.versions[token].add(version)

    def note(self, answer: Answer, vm: str) -> None:
        """Note whether an answer is owed a bill."""
        if answer.status == 200 and "x-walnutquay-replayed" not in answer.headers:
            request = answer.headers["x-walnutquay-request"]
            self.told.answered[request] = f"answered by {vm}, {self.label}"

    # The pairs.

    async def bring_about(self, first: tuple, second: tuple) -> None:
        """Bring two faults about, with work before, between and after."""
        label = self.label = f"{first[0]}+{second[0]}-{self.changes}"
        self.tasks: list[asyncio.Future] = []
        self.load(f"{label}-before")
        await first[1]()
        self.load(f"{label}-between")
        await asyncio.sleep(FAULT_SECONDS)
        if first is second:
            await first[2]()
        await second[1]()
        self.load(f"{label}-both")
        await asyncio.sleep(FAULT_SECONDS)
        for _, _, heal in (first, second):
            await heal()
        await asyncio.gather(*self.tasks)
        await self.whole_again()

    async def whole_again(self) -> None:
        """Wait until all VMs have the newest revision; none may have gone back."""
        await self.fleet.wait_for_members()
        newest = max([self.revision, *self.told.accepted[self.revision]])
        await self.fleet.wait_for_revision(newest)
        revisions = [(await self.status(vm))["revision"] for vm in ENTRANCES]
        self.assertGreaterEqual(min(revisions), self.revision)
        self.revision = max(revisions)
        await self.fleet.wait_for_revision(self.revision)

    async def test_each_pair_and_each_twice(self):
        self.told = Told()
        self.tokens: dict[str, str] = {}
        self.platform_faults: dict[str, float] = {}
        self.changes = 0
        self.label = ""
        self.revision = 1
        table = self.faults()
        for first, second in itertools.combinations_with_replacement(table, 2):
            with self.subTest(f"{first[0]} with {second[0]}"):
                await self.bring_about(first, second)
        await self.judge()

    async def judge(self) -> None:
        """Hold what callers were told against what was run and billed."""
        effects = await self.effects("service-1")
        runs_by_key = Counter(key for _, _, key, _ in effects if key)
        self.assertEqual(set(runs_by_key.values()), {1}, "a key ran twice")
        for key, answers in self.told.keyed.items():
            self.judge_key(key, answers, runs_by_key[key])
        orders = Counter(body for _, _, key, body in effects if not key)
        for name, answers in self.told.plain.items():
            runs = orders[f'{{"order": "{name}-"}}']
            self.assertLessEqual(runs, 1, name)
            for answer in answers:
                if answer.status != 200 and answer.ran == "not_run":
                    self.assertEqual(runs, 0, name)
        for versions in self.told.versions.values():
            self.assertEqual(len(versions), 1, versions)
        for asked, promised in self.told.accepted.items():
            self.assertLessEqual(len(promised), 1, f"two changes followed {asked}")
        self.assertGreater(len(self.told.answered), 100)
        await self.judge_bills()

    def judge_key(self, key: str, answers: list[Answer], runs: int) -> None:
        """Hold what a key's callers were told against how often it ran."""
        bodies = {answer.body for answer in answers if answer.status == 200}
        self.assertLessEqual(len(bodies), runs, key)
        refused = [a for a in answers if a.status != 200 and a.ran == "not_run"]
        if len(refused) == 2:
            self.assertEqual(runs, 0, key)

    async def judge_bills(self) -> None:
        """Wait until each answered request has its bill; none may have two."""
        answered = set(self.told.answered)

        async def all_there() -> bool:
            return answered <= {r.request for r in await self.bill_records()}

        try:
            await self.until(all_there, "each answered request is billed")
        except AssertionError as error:
            raise AssertionError(await self.told_of_missing(answered)) from error
        records = Counter(record.request for record in await self.bill_records())
        self.assertEqual(set(records.values()), {1})

    async def told_of_missing(self, answered: set[str]) -> str:
        """:param answered: requests that are owed a bill.

        :returns: those without one, and what the VMs say of them.
        """
        missing = answered - {r.request for r in await self.bill_records()}
        lines = [f"{len(missing)} answered requests have no bill"]
        for vm in ENTRANCES:
            _, metrics = await self.fleet.administer(self.vm(vm), "GET", "/v1/metrics")
            without = metrics["counters"].get("bills_without_copy", 0)
            lines.append(f"{vm} answered without a copy of the bill: {without}")
        for request in sorted(missing):
            lines.append(f"{request}: {self.told.answered[request]}")
            for vm in ENTRANCES:
                events = await self.events(vm, request=request)
                kinds = [f"{event['at']} {event['kind']}" for event in events]
                lines.append(f"{request} at {vm}: {', '.join(kinds) or 'nothing'}")
        return "\n".join(lines)
