# Licensed under the Apache License 2.0: see LICENSE for details.

"""Circuit breakers of versions in roll-out: when one is rejected, or may proceed."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from walnutquay.state.own.sequential import (
    ErrorRates,
    Hypotheses,
    SequentialTest,
    Verdict,
)


class Measure(Enum):
    """A criterion by which outcomes of a version are counted as good or bad."""

    # The request failed.
    FAILED = "failed"
    # The request took far longer than the baseline of its class.
    SLOW = "slow"
    # The answer was rated below the required quality.
    POOR = "poor"


HYPOTHESES = {
    Measure.FAILED: Hypotheses(prior_share=0.02, excess=0.15),
    Measure.SLOW: Hypotheses(prior_share=0.05, excess=0.25),
    Measure.POOR: Hypotheses(prior_share=0.25, excess=0.25),
}
RATES = ErrorRates()


@dataclass(frozen=True, slots=True)
class Stage:
    """A stage of a roll-out.

    :param key: a key that is unique among the stages of all roll-outs.
    :param old: the version with which the new one is compared.
    """

    key: str
    old: str


def _tests() -> dict[Measure, SequentialTest]:
    return {
        m: SequentialTest(hypotheses, RATES) for m, hypotheses in HYPOTHESES.items()
    }


@dataclass(slots=True)
class Trial:
    """The tests of a version in one stage of its roll-out."""

    stage: Stage
    tests: dict[Measure, SequentialTest] = field(default_factory=_tests)

    def verdict(self) -> Verdict:
        """Combine the verdicts of the tests.

        :returns: ``BAD`` if any test says so; ``GOOD`` if the tests of failures and
            slowness do, and that of ratings if there are any; else ``UNDECIDED``.
        """
        verdicts = {measure: test.verdict for measure, test in self.tests.items()}
        if Verdict.BAD in verdicts.values():
            return Verdict.BAD
        if not self.tests[Measure.POOR].seen:
            del verdicts[Measure.POOR]
        good = set(verdicts.values()) == {Verdict.GOOD}
        return Verdict.GOOD if good else Verdict.UNDECIDED


class CircuitBreakerTable:
    """The trials of the versions in roll-out, and the rejected versions.

    A version stays rejected until its roll-out's stage or state changes, as that is a
    decision of an operator or of the roll-out duty.
    """

    def __init__(self) -> None:
        self.trials: dict[str, Trial] = {}
        self.rejected: frozenset[str] = frozenset()

    def set_stages(self, stages: dict[str, Stage]) -> None:
        """Set the versions that are being rolled out.

        The trial of a version whose stage has changed is reset.

        :param stages: the stage of each version.
        """
        previous = self.trials
        self.trials = {
            version: previous[version]
            if version in previous and previous[version].stage == stage
            else Trial(stage)
            for version, stage in stages.items()
        }
        changed = {
            v for v, trial in self.trials.items() if trial is not previous.get(v)
        }
        self.rejected = frozenset(self.rejected & set(self.trials) - changed)

    def stages_of(self, version: str) -> list[Stage]:
        """Return the stages whose new or old version is the given one.

        Outcomes of both versions are counted.

        :param version: a version.
        """
        return [
            trial.stage
            for new, trial in self.trials.items()
            if version in (new, trial.stage.old)
        ]

    def record(
        self, stage: str, version: str, measure: Measure, good: int, bad: int
    ) -> bool:
        """Add outcomes that this VM or others have counted.

        :param stage: the key of the stage in which they were counted.
        :param version: the version that ran.
        :param measure: the criterion by which they were counted.
        :param good: the number of good outcomes.
        :param bad: the number of bad outcomes.
        :returns: whether the version is now rejected and was not before.
        """
        for new, trial in self.trials.items():
            if trial.stage.key != stage:
                continue
            if version == trial.stage.old:
                trial.tests[measure].record_baseline(good, bad)
            elif version == new:
                verdict = trial.tests[measure].record(good, bad)
                return verdict is Verdict.BAD and self.reject(new)
        return False

    def reject(self, version: str) -> bool:
        """Reject a version if it is in roll-out.

        :param version: the version.
        :returns: whether the version is now rejected and was not before.
        """
        if version in self.rejected or version not in self.trials:
            return False
        self.rejected |= {version}
        return True

    def counts(self, version: str) -> dict[str, dict[str, object]]:
        """Return a trial for display.

        :param version: the new version of a roll-out.
        :returns: for each measure, the numbers of outcomes of the new and the old
            version, and the verdict; empty if the version is not in roll-out.
        """
        trial = self.trials.get(version)
        if trial is None:
            return {}
        return {
            measure.value: {
                "good": test.good,
                "bad": test.bad,
                "old_good": test.baseline_good,
                "old_bad": test.baseline_bad,
                "verdict": test.verdict.value,
            }
            for measure, test in trial.tests.items()
        }

    def verdict(self, version: str) -> Verdict:
        """Return the verdict on a version.

        :param version: the new version of a roll-out.
        :returns: the verdict; ``UNDECIDED`` if the version is not in roll-out.
        """
        trial = self.trials.get(version)
        return trial.verdict() if trial is not None else Verdict.UNDECIDED
