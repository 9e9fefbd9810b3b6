# Licensed under the Apache License 2.0: see LICENSE for details.

"""Tests of the choice among engines that tell how fast they work."""

from __future__ import annotations

import heapq
import random
import unittest
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from walnutquay.coordination.routed.promptengines import EngineState, PromptEngines
from walnutquay.coordination.routed.promptupdates import MIN_SENT_SECONDS
from walnutquay.state.process.ids import (
    EndpointName,
    HallName,
    ServiceName,
    VersionName,
)
from walnutquay.state.requests.endpoints import EndpointTable
from walnutquay.state.routed.work import MIN_SAMPLE_TOKENS, PromptWork, WorkTable
from walnutquay.state.store.instances import Instance

VMS, ENGINES, HALLS, SLOTS = 70, 30, 3, 48
BEGIN_AIM, PAUSE_AIM = 3.0, 1.2
FAST, SLOW, NOISE, NOISE_SHARE, MOMENT = 0.55, 1.2, 2.5, 0.15, 0.6
# An engine reads this many nominal seconds of a prompt between two tokens of its
# streams, and an event holds this many tokens.
STEP, PIECE, STRIDE = 0.0035, 0.033, 8
RATES = {"small": 5e-6, "medium": 1.3e-5, "large": 4.9e-5}
WARM_UP, END = 24.0, 44.0

Teller = Callable[["FakeEngine", float], float | None]


def engine(number: int) -> Instance:
    """Return an engine; the data halls take turns."""
    return Instance(
        EndpointName(f"e{number}"),
        ServiceName("s"),
        f"http://10.0.0.{number}:80",
        HallName(f"hall-{number % HALLS}"),
        VersionName("v1"),
        SLOTS,
    )


@dataclass(eq=False)
class Stream:
    """A prompt at an engine, and the stream that answers it."""

    vm: Vm
    work: PromptWork
    sent_at: float
    mark: float
    unread: float
    tokens: int
    last_event: float = 0.0
    first_event: float = 0.0
    longest_pause: float = 0.0
    alone: bool = False


@dataclass(eq=False)
class FakeEngine:
    """Reads prompts in pieces between the tokens of its streams."""

    place: Instance
    usual: float
    rng: random.Random
    tell: Teller
    waiting: list[Stream] = field(default_factory=list)
    running: list[Stream] = field(default_factory=list)
    moment: int = -1
    noise: float = 1.0

    def pace(self, now: float) -> float:
        """Return how long work takes at this moment."""
        if int(now / MOMENT) != self.moment:
            self.moment = int(now / MOMENT)
            self.noise = NOISE if self.rng.random() < NOISE_SHARE else 1.0
        return self.usual * self.noise

    def step(self, now: float) -> float:
        """Run one step, and return the time at which it ends."""
        head = self.waiting[0] if self.waiting else None
        factor = RATES[head.work.model] / RATES["medium"] if head else 1.0
        piece = min(PIECE * factor, head.unread) if head else 0.0
        end = now + (STEP + piece) * self.pace(now)
        for stream in self.running:
            stream.tokens -= 1
            if stream.tokens % STRIDE == 0:
                pause = end - stream.last_event
                stream.longest_pause = max(stream.longest_pause, pause)
                stream.last_event = end
        for stream in [item for item in self.running if item.tokens <= 0]:
            self.running.remove(stream)
            stream.vm.finished(self, stream)
        if head is not None:
            head.unread -= piece
            if head.unread <= 1e-9:
                self.waiting.pop(0)
                self.running.append(head)
                head.first_event = head.last_event = end
                head.vm.began(self, head, end)
        return end


class Vm:
    """One VM, which knows what it is told."""

    def __init__(self, number: int, seed: int, engines: list[Instance]) -> None:
        hall = HallName(f"hall-{number % HALLS}")
        self.table = EndpointTable(hall, random.Random(f"{seed} {number}"))
        self.work = WorkTable()
        for model, rate in RATES.items():
            self.work.apply_peer_rate(model, rate)
        self.state = EngineState(hall, self.table, self.work)
        self.engines = engines
        self.done: list[Stream] = []

    def choose(self, work: PromptWork, now: float) -> Instance:
        """Choose the engine of a prompt."""
        found = PromptEngines(self.state, self.engines, 8.0, now)
        return found.best(work, BEGIN_AIM, PAUSE_AIM)

    def began(self, at: FakeEngine, stream: Stream, now: float) -> None:
        """Learn from the first event of a stream."""
        name = at.place.name
        load = len(at.running) + len(at.waiting)
        self.table.report(name, load, "", now, at.tell(at, now))
        self.work.record_read(name, stream.mark, now)
        kind = f"s/{stream.work.model}/{stream.work.tokens > 4_000}"
        seconds = now - stream.sent_at
        if stream.alone and stream.work.tokens >= MIN_SAMPLE_TOKENS:
            usual = stream.work.tokens * RATES[stream.work.model]
            self.table.learn_reading(name, "s", seconds / usual, now)
        self.table.succeeded(name, kind, seconds, now)

    def finished(self, at: FakeEngine, stream: Stream) -> None:
        """Note that a stream has ended."""
        state = self.table.state_of(at.place.name)
        state.in_flight -= 1
        self.done.append(stream)


@dataclass(frozen=True)
class Outcome:
    """What callers saw.

    :param late: the part of the streams that began late or paused for too long.
    :param mean_begin: the mean time until the first event; seconds.
    """

    late: float
    mean_begin: float


def arrivals(rng: random.Random, per_second: float) -> list[tuple[float, PromptWork]]:
    """Return prompts with their times: long ones beside short ones, in bursts."""
    found, now = [], 0.0
    while now < END:
        rate = per_second * (1.6 if int(now) % 4 == 3 else 0.8)
        now += rng.expovariate(rate)
        kind = rng.random()
        tokens = 900 if kind < 0.5 else 2_400
        if kind >= 0.8:
            tokens = int(12_000 * rng.lognormvariate(-0.08, 0.4))
        model = rng.choices(list(RATES), (0.4, 0.3, 0.3))[0]
        found.append((now, PromptWork(model, tokens, "", 0)))
    return found


def play(seed: int, tell: Teller) -> Outcome:
    """Replay the load with what engines tell, and return what callers saw."""
    rng = random.Random(seed)
    fakes = {
        place.name: FakeEngine(
            place,
            FAST if number % 4 == 0 else SLOW,
            random.Random(f"{seed} {place.name}"),
            tell,
        )
        for number, place in enumerate(engine(number) for number in range(ENGINES))
    }
    places = [fake.place for fake in fakes.values()]
    vms = [Vm(number, seed, places) for number in range(VMS)]
    events = [(0.0, number, name) for number, name in enumerate(fakes)]
    heapq.heapify(events)
    for now, work in arrivals(rng, PER_SECOND):
        while events and events[0][0] <= now:
            at, number, name = events[0]
            heapq.heapreplace(events, (fakes[name].step(at), number, name))
        vm = rng.choice(vms)
        name = vm.choose(work, now).name
        state = vm.table.state_of(name)
        state.in_flight += 1
        nominal = vm.work.reading(name, work, now, False, 8.0)
        seconds = nominal * state.usual_pace(now)
        alone = vm.work.wait(name, now) <= 0.0
        if seconds >= MIN_SENT_SECONDS:
            for other in vms:
                if other is not vm:
                    other.work.add(name, seconds, "", now)
        mark = vm.work.add(name, seconds, "", now)
        tokens = 8 * rng.choice([3, 36, 48])
        fakes[name].waiting.append(
            Stream(vm, work, now, mark, nominal, tokens, alone=alone)
        )
    return outcome([s for vm in vms for s in vm.done if s.sent_at >= WARM_UP])


def outcome(done: list[Stream]) -> Outcome:
    """Return what the callers of some streams saw."""
    begins = [stream.first_event - stream.sent_at for stream in done]
    lates = sum(
        stream.longest_pause > PAUSE_AIM or begin > BEGIN_AIM
        for stream, begin in zip(done, begins, strict=True)
    )
    return Outcome(lates / len(done), sum(begins) / len(begins))


TELLERS: dict[str, Teller] = {
    "right": lambda engine, now: engine.pace(now),
    "missing": lambda engine, now: None,
    "constant": lambda engine, now: 1.0,
    "inverted": lambda engine, now: 0.66 / engine.pace(now),
    "absurd": lambda engine, now: engine.rng.choice([1e-9, 0.01, 1.0, 70.0, 1e12]),
    "of another moment": lambda engine, now: (
        engine.usual * (NOISE if engine.rng.random() < NOISE_SHARE else 1.0)
    ),
}
SEEDS = (1, 2)
PER_SECOND = 160.0
# Paces that are wrong may make this part of the streams late.
WRONG_COST = 0.01
# Keeping streams from pauses may lengthen the time to the first event so much: far
# less than the objective, which is many times that time.
MAX_LATER = 1.1


class ReplayTest(unittest.TestCase):
    """Long prompts beside short ones, at engines that are unevenly fast.

    Each VM hears of an engine every few seconds only.  Without a pace, the choice is
    that of VMs which do not know paces at all.
    """

    @classmethod
    def setUpClass(cls):
        cls.missing = [play(seed, TELLERS["missing"]) for seed in SEEDS]

    def test_paces_make_fewer_streams_late_and_delay_no_beginning(self):
        for name in ("right", "of another moment"):
            with self.subTest(name):
                told = [play(seed, TELLERS[name]) for seed in SEEDS]
                self.assertLess(late(told), 0.5 * late(self.missing))
                slowest = MAX_LATER * mean_begin(self.missing)
                self.assertLess(mean_begin(told), slowest)

    def test_wrong_paces_cost_little(self):
        for name in ("constant", "inverted", "absurd"):
            with self.subTest(name):
                told = [play(seed, TELLERS[name]) for seed in SEEDS]
                self.assertLess(late(told), late(self.missing) + WRONG_COST)


def late(outcomes: list[Outcome]) -> float:
    """Return the mean part of the streams that were late."""
    return sum(item.late for item in outcomes) / len(outcomes)


def mean_begin(outcomes: list[Outcome]) -> float:
    """Return the mean time until the first event; seconds."""
    return sum(item.mean_begin for item in outcomes) / len(outcomes)


class ChoiceTest(unittest.TestCase):
    """The choice of one VM, or of many at the same moment."""

    def setUp(self):
        self.places = [engine(number) for number in range(ENGINES)]

    def vm(self, number: int = 0) -> Vm:
        """Return a VM that knows all engines to be alike."""
        vm = Vm(number, 5, self.places)
        for place in self.places:
            vm.table.report(place.name, 4, "", 90.0, SLOW)
        return vm

    def tell(self, vm: Vm, place: Instance, pace: float, now: float) -> None:
        """Let an engine tell its pace."""
        vm.table.report(place.name, 4, "", now, pace)

    def test_many_vms_with_the_same_reports_spread(self):
        chosen: Counter[str] = Counter()
        prompt = PromptWork("medium", 12_000, "", 0)
        for number in range(79):
            vm = self.vm(number)
            for place in self.places[:8]:
                vm.table.state_of(place.name).told_pace.samples.clear()
                self.tell(vm, place, FAST, 99.9)
            chosen[vm.choose(prompt, 100.0).name] += 1
        self.assertLess(max(chosen.values()), 79 / 4)
        self.assertGreater(len(chosen), 6)
        # The fast ones are preferred, though.
        fast = sum(chosen[place.name] for place in self.places[:8])
        self.assertGreater(fast, 79 / 2)

    def test_slow_moment_is_avoided_while_it_is_fresh(self):
        prompt = PromptWork("large", 12_000, "", 0)
        for age, share in ((0.05, 0), (MOMENT, 1)):
            slow = 0
            for number in range(79):
                vm = self.vm(number)
                for place in self.places[3:]:
                    vm.table.full(place.name, 100.0)
                for place in self.places[:3]:
                    pace = SLOW * (NOISE if place is self.places[number % 3] else 1)
                    self.tell(vm, place, pace, 100.0 - age)
                vm.engines = self.places[:3]
                chosen = vm.choose(prompt, 100.0)
                slow += chosen is self.places[number % 3]
            self.assertEqual(slow > 0, bool(share), age)

    def test_long_prompt_avoids_running_streams_and_a_short_one_long_readings(self):
        vm = self.vm()
        near = [place for place in self.places if place.hall == vm.state.hall]
        self.tell(vm, near[0], FAST, 99.0)
        vm.engines = near[1:3]
        self.tell(vm, near[1], SLOW, 100.0)
        vm.table.report(near[2].name, 20, "", 100.0, FAST)
        vm.table.state_of(near[2].name).told_pace.samples.clear()
        long = PromptWork("large", 20_000, "", 0)
        vm.table.report(near[1].name, 0, "", 100.0, SLOW)
        self.assertIs(vm.choose(long, 100.0), near[1])
        vm.work.add(near[1].name, 1.0, "", 100.0)
        self.assertIs(vm.choose(PromptWork("small", 900, "", 0), 100.0), near[2])

    def test_stream_avoids_the_pauses_that_queued_readings_make(self):
        prompt = PromptWork("small", 900, "", 0)
        for number in range(20):
            vm = self.vm(number)
            near = [place for place in self.places if place.hall == vm.state.hall]
            far = next(place for place in self.places if place.hall != vm.state.hall)
            self.tell(vm, near[0], FAST, 99.0)
            vm.work.add(near[0].name, 10.0, "", 100.0)
            # A wait that the objective bears, but a pause that may be too long.
            vm.work.add(near[1].name, 0.55 * PAUSE_AIM, "", 100.0)
            vm.engines = [*near[:2], far]
            self.assertIs(vm.choose(prompt, 100.0), far)

    def test_other_hall_is_used_when_this_one_is_much_busier(self):
        prompt = PromptWork("small", 900, "", 0)
        for load, is_near in ((12, True), (44, False)):
            vm = self.vm()
            self.tell(vm, self.places[1], FAST, 100.0)
            for place in self.places:
                busy = load if place.hall == vm.state.hall else load // 4
                vm.table.report(place.name, busy, "", 100.0, SLOW)
            self.tell(vm, self.places[1], FAST, 100.0)
            vm.table.report(self.places[1].name, load // 4, "", 100.0, FAST)
            chosen = vm.choose(prompt, 100.0)
            self.assertEqual(chosen.hall == vm.state.hall, is_near, load)
