# Licensed under the Apache License 2.0: see LICENSE for details.

"""Records of trials in the platform's store.

VMs store nothing locally, and all of them may be lost at once, even several times
within one trial.  Without a record they would evaluate the version from the start each
time, and send more and more requests to a bad one.
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
from walnutquay.state.process.revisions import Era, StoreRevision
from walnutquay.state.trials.baseline import BaselineTime, BaselineTimes
from walnutquay.state.trials.counts import Measure, TrialCounts
from walnutquay.state.trials.reports import TrialReport, Verdict
from walnutquay.state.trials.trial import Trial
from walnutquay.transport.timers import monotonic

log = logbook.Logger(__name__)

# How often the record is written while the counts change.  If all VMs are lost, so are
# the counts since the last write: those of a tenth of a trial of 20 s.  Each write is a
# call to the store.
WRITE_SECONDS = 2.0


class Values(Protocol):
    """Values in the platform's store."""

    async def read(self, name: str) -> Stored:
        """Read a value.

        :param name: the value's name.
        :returns: the value; its version is false if there is none.
        """

    async def write(
        self, name: str, value: bytes, expected: StoreRevision
    ) -> StoreRevision:
        """Write a value, if it has not changed.

        :param name: the value's name.
        :param value: the new JSON.
        :param expected: the version that the stored value must have; a false one to
            create it.
        :returns: the new version.
        """


class WriterSelector(Protocol):
    """Selects the one VM that writes a record."""

    def is_responsible_for(self, key: str) -> bool:
        """Return whether this VM is the one that does the work for a key.

        :param key: the key.
        """


class _Strict(BaseModel):
    """The base of stored models, which are validated strictly."""

    model_config = ConfigDict(strict=True, extra="ignore", frozen=True)


class StoredCounts(_Strict):
    """The new version's outcome counts for one measure and route."""

    measure: str
    route: str
    good: int
    bad: int
    endpoints: list[str]


class StoredBaselineTime(_Strict):
    """The old version's mean time for one kind of answer."""

    # The hash as text, as 64-bit numbers are not exact in JSON.
    kind: str
    seconds: float
    seen: int


class StoredTrial(_Strict):
    """The state of a trial."""

    version: str
    verdict: str
    counts: list[StoredCounts]
    usual: list[StoredBaselineTime]


class TrialRecord:
    """Stores the combined state of trials, for VMs that start after all were lost.

    :param writer_selector: selects the VM that writes.
    :param values: the platform's store.
    :param baseline: the answer times of the old versions.
    :param reads_store: returns whether this VM reads the store as it starts.  Only a
        few VMs do; they announce a version that they find to be bad to all others.
    """

    def __init__(
        self,
        writer_selector: WriterSelector,
        values: Values,
        baseline: BaselineTimes,
        reads_store: Callable[[], Awaitable[bool]],
    ) -> None:
        self.writer_selector = writer_selector
        self.values = values
        self.baseline = baseline
        self.reads_store = reads_store
        self.tasks = Tasks()
        # The last report written for each order, when it was written, and the version
        # of the stored value.
        self.written: dict[str, TrialReport] = {}
        self.written_at: dict[str, float] = {}
        self.versions: dict[str, StoreRevision] = {}

    def on_restored(self, era: Era) -> None:
        """Write all records again, as the store was restored and may have lost them.

        :param era: the store's era.
        """
        self.written.clear()
        self.written_at.clear()
        self.versions.clear()

    def stop(self) -> None:
        """Stop writing."""
        self.tasks.stop()

    def write_if_due(self, task: TrialTask) -> None:
        """Write the state of a trial, if this VM is its writer and it has changed.

        :param task: the trial.
        """
        order = task.trial.order.name
        now = monotonic()
        due = now - self.written_at.get(order, float("-inf")) >= WRITE_SECONDS
        if (
            task.catching_up
            or not due
            or not self.writer_selector.is_responsible_for(_value_name(order))
        ):
            return
        report = task.trial.report_of_all(now)
        if report.counts and report != self.written.get(order):
            self.written_at[order] = now
            self.written[order] = report
            self.tasks.spawn(self._write(task.trial, report))

    async def _write(self, trial: Trial, report: TrialReport) -> None:
        order = trial.order.name
        name = _value_name(order)
        data = encode(report, self.baseline.all_rows(trial.order.service))
        try:
            if order not in self.versions:
                self.versions[order] = (await self.values.read(name)).version
            expected = self.versions[order]
            self.versions[order] = await self.values.write(name, data, expected)
        except PlatformConflictError as error:
            # Another VM was the writer until now.  The next write reads the version of
            # its record first.
            self.versions.pop(order, None)
            log.debug("another VM wrote the record of a trial: {}", error)
        except PlatformError as error:
            self.versions.pop(order, None)
            log.debug("could not write the record of a trial: {}", error)

    async def recover(self, trial: Trial) -> bool:
        """Apply the stored state of a trial whose answers no running VM has seen.

        :param trial: the trial.
        :returns: whether a record was found and applied.
        """
        order = trial.order
        if not await self.reads_store():
            return False
        try:
            stored = await self.values.read(_value_name(order.name))
        except PlatformError as error:
            log.info("could not read the record of trial {}: {}", order.name, error)
            return False
        if not stored.value:
            return False
        try:
            found = StoredTrial.model_validate_json(stored.value)
            report = _to_report(trial, found)
        except (ValidationError, ValueError) as error:
            log.error("ignored the record of trial {}: {}", order.name, error)
            return False
        if found.version != order.version:
            return False
        trial.recover(report, monotonic())
        self.baseline.recover(order.service, report.usual)
        return True


def _value_name(order: str) -> str:
    return f"trials/{order}"


def encode(report: TrialReport, baseline: tuple[BaselineTime, ...]) -> bytes:
    """Encode the state of a trial as JSON.

    :param report: the report on the trial.
    :param baseline: the answer times of the old version.
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
                StoredBaselineTime(
                    kind=str(row.kind), seconds=row.seconds, seen=row.seen
                )
                for row in baseline
            ],
        )
        .model_dump_json()
        .encode()
    )


def _to_report(trial: Trial, stored: StoredTrial) -> TrialReport:
    """Convert the stored state of a trial to a report.

    :raises ValueError: if it contains an unknown measure or verdict.
    """
    counts = tuple(
        (
            (Measure(row.measure), RouteName(row.route)),
            TrialCounts(row.good, row.bad, frozenset(map(EndpointName, row.endpoints))),
        )
        for row in stored.counts
    )
    baseline = tuple(
        BaselineTime(int(row.kind), row.seconds, row.seen) for row in stored.usual
    )
    return TrialReport(
        trial.order.name,
        trial.order.version,
        counts,
        verdict=Verdict(stored.verdict),
        usual=baseline,
    )
