# Licensed under the Apache License 2.0: see LICENSE for details.

"""What a bad version is given before it is braked, and false alarms on a good one.

``python -m lab.decisions.rollouts [FIRST_SEED]`` simulates roll-outs over the real
decisions (tallies, tests, brakes) of seven VMs that tell each other as they do, against
a rule with fixed thresholds on each VM alone. Chance and time are the program's own, so
a run gives the same table each time.
"""

from __future__ import annotations

import random
import statistics
import sys
from abc import ABC, abstractmethod
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field

from walnutquay.state.own.circuitbreakers import CircuitBreakerTable, Measure, Stage
from walnutquay.state.own.outcomecounts import OutcomeCountTable

VMS = 7
REQUESTS_PER_SECOND = 60.0
SHARE = 0.1
TELL_SECONDS = 0.5
SEEDS = 100
PROCESSES = 4
# A roll-out that is not braked by then is not braked at all.
MAX_SECONDS = 120.0
# Share of answers that are rated, of the old version and of the new one.
RATED = (0.1, 1.0)
NEW, OLD = "new", "old"
STAGE = Stage("r/0/running", OLD)


@dataclass(frozen=True)
class Case:
    """How the two versions behave.

    :param name: what it is.
    :param bad: whether the new version ought to be braked.
    :param shares: share of bad outcomes by measure: of the old, of the new one.
    """

    name: str
    bad: bool
    shares: dict[Measure, tuple[float, float]]


USUAL = {
    Measure.FAILED: (0.005, 0.005),
    Measure.SLOW: (0.08, 0.08),
    Measure.POOR: (0.3, 0.3),
}
CASES = [
    Case("good", False, USUAL),
    Case("good, engines in trouble", False, {**USUAL, Measure.FAILED: (0.2, 0.2)}),
    Case("good, overload", False, {**USUAL, Measure.SLOW: (0.5, 0.5)}),
    Case("fails always", True, {**USUAL, Measure.FAILED: (0.005, 1.0)}),
    Case("fails 3 in 10", True, {**USUAL, Measure.FAILED: (0.005, 0.3)}),
    Case("slow", True, {**USUAL, Measure.SLOW: (0.08, 0.8)}),
    Case("bad answers", True, {**USUAL, Measure.POOR: (0.3, 0.8)}),
]


class Rule(ABC):
    """A way for the VMs to brake."""

    name: str

    @abstractmethod
    def braked(self, vm: int) -> bool:
        """:param vm: a VM.

        :returns: whether it holds the new version back.
        """

    @abstractmethod
    def note(self, vm: int, version: str, measure: Measure, bad: bool) -> None:
        """:param vm: the VM that saw it.

        :param version: what ran.
        :param measure: what was counted.
        :param bad: whether the outcome was bad.
        """

    @abstractmethod
    def tell(self) -> None:
        """Let the VMs tell each other."""


@dataclass
class FixedRule(Rule):
    """Each VM alone: so many bad outcomes, and more than a share of all.

    It is what the product did for failures; the thresholds for the other measures
    are as it would have had them.
    """

    name: str = "fixed thresholds, each VM alone"
    counts: dict[tuple[int, Measure], list[int]] = field(default_factory=dict)
    held: set[int] = field(default_factory=set)

    LIMITS = {
        Measure.FAILED: (3, 0.2),
        Measure.SLOW: (3, 0.4),
        Measure.POOR: (3, 0.5),
    }

    def braked(self, vm: int) -> bool:
        """Whether any VM has braked: brakes are told at once."""
        return bool(self.held)

    def tell(self) -> None:
        """Nothing is told but the brake."""

    def note(self, vm: int, version: str, measure: Measure, bad: bool) -> None:
        """Count, and compare with the thresholds."""
        if version != NEW:
            return
        counts = self.counts.setdefault((vm, measure), [0, 0])
        counts[bad] += 1
        least, share = self.LIMITS[measure]
        if counts[1] >= least and counts[1] > share * sum(counts):
            self.held.add(vm)


class SequentialRule(Rule):
    """The product's: tests over the counts of all VMs."""

    name = "sequential tests, all VMs"

    def __init__(self, rng: random.Random) -> None:
        self.boards = [OutcomeCountTable(str(n), "i", rng) for n in range(VMS)]
        self.tables = [CircuitBreakerTable() for _ in range(VMS)]
        for table in self.tables:
            table.set_stages({NEW: STAGE})

    def braked(self, vm: int) -> bool:
        """Whether any VM has braked: brakes are told at once."""
        return any(table.rejected for table in self.tables)

    def note(self, vm: int, version: str, measure: Measure, bad: bool) -> None:
        """Count here; the others hear of it."""
        self.boards[vm].add(f"{measure.value}|{version}", not bad, bad)
        self.tables[vm].record(STAGE.key, version, measure, not bad, bad)

    def tell(self) -> None:
        """Send what has changed to all others."""
        for teller, board in enumerate(self.boards):
            for row in board.rows_to_send():
                for hearer in range(VMS):
                    if hearer != teller:
                        self._hear(hearer, row)

    def _hear(self, vm: int, row) -> None:
        good, bad = self.boards[vm].receive(row)
        measure, version = row.subject.split("|")
        if good or bad:
            self.tables[vm].record(STAGE.key, version, Measure(measure), good, bad)


def simulate(case: Case, rule: Rule, rng: random.Random) -> int | None:
    """Simulate one roll-out.

    :param case: how the versions behave.
    :param rule: how the VMs brake.
    :param rng: the source of chance.
    :returns: requests that the new version got before the brake; None if none came.
    """
    now = 0.0
    told = 0.0
    exposed = 0
    while now < MAX_SECONDS:
        now += rng.expovariate(REQUESTS_PER_SECOND)
        if now > told + TELL_SECONDS:
            told = now
            rule.tell()
        vm = rng.randrange(VMS)
        version = NEW if rng.random() < SHARE else OLD
        if rule.braked(vm):
            return exposed
        exposed += version == NEW
        failed = rng.random() < case.shares[Measure.FAILED][version == NEW]
        rule.note(vm, version, Measure.FAILED, failed)
        if failed:
            continue
        for measure, told_share in (
            (Measure.SLOW, 1.0),
            (Measure.POOR, RATED[version == NEW]),
        ):
            if rng.random() < told_share:
                bad = rng.random() < case.shares[measure][version == NEW]
                rule.note(vm, version, measure, bad)
    return None


def row(case: Case, kind: str, first_seed: int) -> str:
    """Simulate a case over many seeds.

    :returns: a row of the table.
    """
    found = []
    name = ""
    for seed in range(first_seed, first_seed + SEEDS):
        rng = random.Random(seed)
        rule = FixedRule() if kind == "fixed" else SequentialRule(rng)
        name = rule.name
        found.append(simulate(case, rule, rng))
    braked = sorted(count for count in found if count is not None)
    share = len(braked) / len(found)
    if not case.bad:
        return f"| {case.name} | {name} | {share:.1%} false alarms | | |"
    if len(braked) < len(found) / 2:
        return f"| {case.name} | {name} | {share:.1%} found | | |"
    middle, late = statistics.median(braked), braked[int(0.95 * (len(braked) - 1))]
    return f"| {case.name} | {name} | {share:.1%} found | {middle:.0f} | {late} |"


def main() -> None:
    """Print the table."""
    first_seed = int(sys.argv[1]) if sys.argv[1:] else 0
    print("| version | rule | | requests, median | 95 in 100 |")
    print("| --- | --- | --- | --- | --- |")
    runs = [(case, kind) for case in CASES for kind in ("fixed", "sequential")]
    with ProcessPoolExecutor(PROCESSES) as pool:
        rows = [pool.submit(row, case, kind, first_seed) for case, kind in runs]
        for found in rows:
            print(found.result(), flush=True)


if __name__ == "__main__":
    main()
