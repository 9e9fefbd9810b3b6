# Licensed under the Apache License 2.0: see LICENSE for details.

"""What is known of versions on trial, kept in the platform's store.

VMs keep nothing, and all may be lost at once, again and again within one trial: each
time they would judge the version anew, and give a bad one more and more requests.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Protocol

import logbook
from pydantic import BaseModel, ConfigDict, ValidationError

from walnutquay.coordination.process.tasks import Tasks
from walnutquay.coordination.trials.task import TrialTask
from walnutquay.exceptions import PlatformConflictError, PlatformError
from walnutquay.platform.values import Stored
from walnutquay.state.process.ids import EndpointName, RouteName
from walnutquay.state.trials.baseline import BaselineTime, BaselineTimes
from walnutquay.state.trials.counts import Measure, TrialCounts
from walnutquay.state.trials.reports import TrialReport, Verdict
from walnutquay.state.trials.trial import Trial
from walnutquay.transport.timers import monotonic

log = logbook.Logger(__name__)

# How often the record is written while there is news: what was seen since is lost with
# all VMs, a tenth of a trial of 20 s.  Each write is a call of the store.
WRITE_SECONDS = 2.0


class Values(Protocol):
    """Values in the platform's store."""

    async def read(self, name: str) -> Stored:
        """:param name: a value's name.

        :returns: it, or version 0 where there is none.
        """

    async def write(self, name: str, value: bytes, expected: int) -> int:
        """:param name: a value's name.

        :param value: its new JSON.
        :param expected: the version that it must have; 0 to make it.
        :returns: its new version.
        """


class Keepers(Protocol):
    """The other entry VMs."""

    def is_responsible_for(self, key: str) -> bool:
        """:param key: a name.

        :returns: whether this VM, of all, does what is done once for it.
        """


class _Strict(BaseModel):
    """What is stored, read strictly."""

    model_config = ConfigDict(strict=True, extra="ignore", frozen=True)


class StoredCounts(_Strict):
    """Answers of the new version, by what they are judged by."""

    measure: str
    route: str
    good: int
    bad: int
    endpoints: list[str]


class StoredUsual(_Strict):
    """How long one kind of answer takes at the old version."""

    # As text: numbers of 64 bits are not exact in JSON.
    kind: str
    seconds: float
    seen: int


class StoredTrial(_Strict):
    """Where a trial stands."""

    version: str
    verdict: str
    counts: list[StoredCounts]
    usual: list[StoredUsual]


class TrialRecord:
    """Keeps what all VMs know of trials for those that start when all are lost.

    :param keepers: chooses the VM that writes.
    :param values: the platform's store.
    :param usual: how long answers of the old versions take.
    :param reads: tells whether this VM reads the store as it starts: a few do, and tell
        all of a version that they find to be bad.
    """

    def __init__(
        self,
        keepers: Keepers,
        values: Values,
        usual: BaselineTimes,
        reads: Callable[[], Awaitable[bool]],
    ) -> None:
        self.keepers = keepers
        self.values = values
        self.usual = usual
        self.reads = reads
        self.tasks = Tasks()
        # What was written last of each order, when, and as which version of the value.
        self.written: dict[str, TrialReport] = {}
        self.written_at: dict[str, float] = {}
        self.versions: dict[str, int] = {}

    def stop(self) -> None:
        """Write no more."""
        self.tasks.stop()

    def keep(self, task: TrialTask) -> None:
        """Write where a trial stands, if this VM is to, and there is news.

        :param task: the trial.
        """
        order = task.trial.order.name
        now = monotonic()
        due = now - self.written_at.get(order, float("-inf")) >= WRITE_SECONDS
        if task.asking or not due or not self.keepers.is_responsible_for(_value(order)):
            return
        report = task.trial.report_of_all(now)
        if report.counts and report != self.written.get(order):
            self.written_at[order] = now
            self.written[order] = report
            self.tasks.spawn(self._write(task.trial, report))

    async def _write(self, trial: Trial, report: TrialReport) -> None:
        order = trial.order.name
        name = _value(order)
        data = encode(report, self.usual.all_rows(trial.order.service))
        try:
            if order not in self.versions:
                self.versions[order] = (await self.values.read(name)).version
            expected = self.versions[order]
            self.versions[order] = await self.values.write(name, data, expected)
        except PlatformConflictError as error:
            # Another VM was to write it until now; the next time its version is read.
            self.versions.pop(order, None)
            log.debug("another VM wrote the record of a trial: {}", error)
        except PlatformError as error:
            self.versions.pop(order, None)
            log.debug("the record of a trial cannot be written: {}", error)

    async def recover(self, trial: Trial) -> bool:
        """Take in what is stored of a trial, for no VM has seen any of it.

        :param trial: the trial.
        :returns: whether there was anything.
        """
        order = trial.order
        if not await self.reads():
            return False
        try:
            stored = await self.values.read(_value(order.name))
        except PlatformError as error:
            log.info("the record of trial {} cannot be read: {}", order.name, error)
            return False
        if not stored.value:
            return False
        try:
            found = StoredTrial.model_validate_json(stored.value)
            report = _report(trial, found)
        except (ValidationError, ValueError) as error:
            log.error("the record of trial {} is left out: {}", order.name, error)
            return False
        if found.version != order.version:
            return False
        trial.recover(report, monotonic())
        self.usual.recover(order.service, report.usual)
        return True


def _value(order: str) -> str:
    return f"trials/{order}"


def encode(report: TrialReport, usual: tuple[BaselineTime, ...]) -> bytes:
    """:param report: where a trial stands.

    :param usual: how long answers of the old version take.
    :returns: it as JSON.
    """
    return (
        StoredTrial(
            version=report.version,
            verdict=report.verdict.value,
            counts=[
                StoredCounts(
                    measure=measure.value,
                    route=route,
                    good=counts.good,
                    bad=counts.bad,
                    endpoints=sorted(counts.bad_endpoints),
                )
                for (measure, route), counts in report.counts
            ],
            usual=[
                StoredUsual(kind=str(row.kind), seconds=row.seconds, seen=row.seen)
                for row in usual
            ],
        )
        .model_dump_json()
        .encode()
    )


def _report(trial: Trial, stored: StoredTrial) -> TrialReport:
    """Read what is stored of a trial.

    :raises ValueError: if it names a measure or a verdict that there is not.
    """
    counts = tuple(
        (
            (Measure(row.measure), RouteName(row.route)),
            TrialCounts(row.good, row.bad, frozenset(map(EndpointName, row.endpoints))),
        )
        for row in stored.counts
    )
    usual = tuple(
        BaselineTime(int(row.kind), row.seconds, row.seen) for row in stored.usual
    )
    return TrialReport(
        trial.order.name,
        trial.order.version,
        counts,
        verdict=Verdict(stored.verdict),
        usual=usual,
    )
