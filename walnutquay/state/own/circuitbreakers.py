# Licensed under the Apache License 2.0: see LICENSE for details.

"""When a version that is being rolled out is held back, or may go on."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from walnutquay.state.own.sequential import (
    Contrast,
    ErrorRates,
    SequentialTest,
    Verdict,
)


class Measure(Enum):
    """What is counted of a version."""

    # It failed a request, against answered it.
    FAILED = "failed"
    # It took far longer than the class of request usually takes.
    SLOW = "slow"
    # Its answer was rated below the quality that is asked for.
    POOR = "poor"


CONTRASTS = {
    Measure.FAILED: Contrast(usual=0.02, excess=0.15),
    Measure.SLOW: Contrast(usual=0.05, excess=0.25),
    Measure.POOR: Contrast(usual=0.25, excess=0.25),
}
RATES = ErrorRates()


@dataclass(frozen=True, slots=True)
class Stage:
    """A stage of a roll-out, as its tests need it.

    :param key: tells it from every other stage of every roll-out.
    :param old: the version to compare with.
    """

    key: str
    old: str


def _tests() -> dict[Measure, SequentialTest]:
    return {m: SequentialTest(contrast, RATES) for m, contrast in CONTRASTS.items()}


@dataclass(slots=True)
class Trial:
    """A version in a stage of its roll-out, and the tests of it."""

    stage: Stage
    tests: dict[Measure, SequentialTest] = field(default_factory=_tests)

    def verdict(self) -> Verdict:
        """Say what is known of the version.

        :returns: ``BAD`` where any test says so; ``GOOD`` where failures and
            slowness do, and ratings too unless nothing has been rated.
        """
        verdicts = {measure: test.verdict for measure, test in self.tests.items()}
        if Verdict.BAD in verdicts.values():
            return Verdict.BAD
        if not self.tests[Measure.POOR].seen:
            del verdicts[Measure.POOR]
        good = set(verdicts.values()) == {Verdict.GOOD}
        return Verdict.GOOD if good else Verdict.UNDECIDED


class CircuitBreakerTable:
    """The trials of the versions in roll-out, and which versions are braked.

    A brake holds until the roll-out's stage or state changes, for that is an
    operator's or the roll-out duty's word on it.
    """

    def __init__(self) -> None:
        self.trials: dict[str, Trial] = {}
        self.rejected: frozenset[str] = frozenset()

    def set_stages(self, stages: dict[str, Stage]) -> None:
        """Take in which versions are being rolled out.

        :param stages: the stage of each version.
        """
        before = self.trials
        self.trials = {
            version: before[version]
            if version in before and before[version].stage == stage
            else Trial(stage)
            for version, stage in stages.items()
        }
        changed = {v for v, trial in self.trials.items() if trial is not before.get(v)}
        self.rejected = frozenset(self.rejected & set(self.trials) - changed)

    def stages_of(self, version: str) -> list[Stage]:
        """:param version: a version.

        :returns: the stages in which it is new or old; both are counted.
        """
        return [
            trial.stage
            for new, trial in self.trials.items()
            if version in (new, trial.stage.old)
        ]

    def record(
        self, stage: str, version: str, measure: Measure, good: int, bad: int
    ) -> bool:
        """Take in outcomes, of this VM or of others.

        :param stage: the stage in which they were counted.
        :param version: the version that ran.
        :param measure: what was counted.
        :param good: good outcomes.
        :param bad: bad ones.
        :returns: whether they braked the version.
        """
        for new, trial in self.trials.items():
            if trial.stage.key != stage:
                continue
            if version == trial.stage.old:
                trial.tests[measure].take_other(good, bad)
            elif version == new:
                verdict = trial.tests[measure].take(good, bad)
                return verdict is Verdict.BAD and self.reject(new)
        return False

    def reject(self, version: str) -> bool:
        """:param version: a version to hold back.

        :returns: whether this is news; only versions in roll-out are braked.
        """
        if version in self.rejected or version not in self.trials:
            return False
        self.rejected |= {version}
        return True

    def counts(self, version: str) -> dict[str, dict[str, object]]:
        """Show a trial.

        :param version: a version in roll-out.
        :returns: by measure, its outcomes, those of the old version, the verdict.
        """
        trial = self.trials.get(version)
        if trial is None:
            return {}
        return {
            measure.value: {
                "good": test.good,
                "bad": test.bad,
                "old_good": test.other_good,
                "old_bad": test.other_bad,
                "verdict": test.verdict.value,
            }
            for measure, test in trial.tests.items()
        }

    def verdict(self, version: str) -> Verdict:
        """:param version: a version in roll-out.

        :returns: what its tests say.
        """
        trial = self.trials.get(version)
        return trial.verdict() if trial is not None else Verdict.UNDECIDED
