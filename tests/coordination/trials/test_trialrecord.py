# Licensed under the Apache License 2.0: see LICENSE for details.

"""Tests of the stored record of a trial, for VMs that start after all were lost."""

from __future__ import annotations

import asyncio
import unittest
from types import SimpleNamespace
from unittest import mock

from tests.revisions import revision_at
from walnutquay.coordination.process.context import Context, Timeline, new_incarnation
from walnutquay.coordination.trials import record as trialrecord
from walnutquay.coordination.trials.exchange import TrialExchange
from walnutquay.coordination.trials.record import WRITE_SECONDS, TrialRecord, encode
from walnutquay.coordination.trials.task import TrialTask
from walnutquay.exceptions import PlatformConflictError, PlatformUnavailableError
from walnutquay.platform.values import ABSENT, Stored
from walnutquay.protocol.messages import TrialNews
from walnutquay.state.process.ids import (
    EndpointName,
    HallName,
    RouteName,
    ServiceName,
    VersionName,
    VmName,
)
from walnutquay.state.process.revisions import StoreRevision
from walnutquay.state.store.orders import OrderState, RolloutOrder
from walnutquay.state.trials.baseline import BaselineTimes
from walnutquay.state.trials.counts import Measure
from walnutquay.state.trials.reports import TrialReport, Verdict
from walnutquay.state.trials.trial import RAMP_START, Trial

SERVICE = ServiceName("s")
SECONDS = 20.0
ORDER = RolloutOrder(
    "o", revision_at(1), SERVICE, VersionName("v2"), SECONDS, OrderState.RUNNING
)
SLUGGISH = (Measure.SLUGGISH, RouteName("r"))
KIND = "head/r/0"


class FakeValues:
    """The values of a store in memory."""

    def __init__(self) -> None:
        self.stored: dict[str, Stored] = {}
        self.calls = 0
        self.unavailable = False

    async def read(self, name: str) -> Stored:
        """Read a value as :class:`ValueStore` does."""
        self._call()
        return self.stored.get(name, Stored(ABSENT))

    async def write(
        self, name: str, value: bytes, expected: StoreRevision
    ) -> StoreRevision:
        """Write a value as :class:`ValueStore` does."""
        self._call()
        if self.stored.get(name, Stored(ABSENT)).version != expected:
            raise PlatformConflictError("changed", step="write", peer=name)
        written = revision_at(expected.number + 1)
        self.stored[name] = Stored(written, value)
        return written

    def _call(self) -> None:
        self.calls += 1
        if self.unavailable:
            raise PlatformUnavailableError("unavailable", step="call", peer="store")


async def reads_store() -> bool:
    """Return that a VM reads the store as it starts."""
    return True


class RecordCase(unittest.IsolatedAsyncioTestCase):
    """A trial with a record, and a simulated clock."""

    def setUp(self) -> None:
        self.now = 100.0
        patch = mock.patch.object(trialrecord, "monotonic", lambda: self.now)
        patch.start()
        self.addCleanup(patch.stop)
        self.values = FakeValues()
        self.is_writer = True
        self.trial = Trial(ORDER, 95.0, 0.15)
        self.task = TrialTask(self.trial, 0.0)
        self.baseline = BaselineTimes()
        self.record = self.new_record(self.baseline)

    def new_record(self, baseline: BaselineTimes) -> TrialRecord:
        """Return a VM's record with the shared store."""
        writer_selector = SimpleNamespace(is_responsible_for=lambda key: self.is_writer)
        return TrialRecord(writer_selector, self.values, baseline, reads_store)

    def add_sluggish(self, bad: int) -> None:
        """Add sluggish answers of the new version to this VM's counts."""
        for _ in range(bad):
            self.trial.own.add(SLUGGISH, True, EndpointName("new-1"))

    async def write_record(self) -> None:
        """Write the record if it is due, and wait until it is written."""
        self.record.write_if_due(self.task)
        await asyncio.gather(*self.record.tasks.running)


class WritingTest(RecordCase):
    """One VM writes the record whenever the counts have changed."""

    async def test_it_is_written_when_it_has_changed(self):
        await self.write_record()
        self.assertEqual(self.values.calls, 0)
        self.add_sluggish(3)
        await self.write_record()
        await self.write_record()
        self.now += WRITE_SECONDS
        await self.write_record()
        self.assertEqual(self.values.stored["trials/o"].version, revision_at(1))
        self.add_sluggish(1)
        await self.write_record()
        self.assertEqual(self.values.stored["trials/o"].version, revision_at(2))

    async def test_other_vms_write_nothing(self):
        self.is_writer = False
        self.add_sluggish(3)
        await self.write_record()
        self.assertEqual(self.values.calls, 0)

    async def test_a_new_writer_reads_the_stored_version(self):
        self.values.stored["trials/o"] = Stored(revision_at(7), b"{}")
        self.record.versions["o"] = 3
        self.add_sluggish(1)
        await self.write_record()
        self.assertEqual(self.values.stored["trials/o"].version, revision_at(7))
        self.add_sluggish(1)
        self.now += WRITE_SECONDS
        await self.write_record()
        self.assertEqual(self.values.stored["trials/o"].version, revision_at(8))


class RecoveringTest(RecordCase):
    """A VM that starts after all were lost recovers their counts and verdict."""

    # A version with some slow answers got 219 of the 1,115 requests of its service, of
    # which a bad one may get 197.  All VMs were lost twice during its trial, each time
    # with the counts of 9 or 10 answers, and 5 of the next 6 answers were good.

    async def recover(self) -> Trial:
        """Return the trial on a VM that starts after all were lost."""
        trial = Trial(ORDER, 95.0, 0.15)
        await self.new_record(BaselineTimes()).recover(trial)
        return trial

    async def test_recovered_counts_add_to_later_ones(self):
        self.add_sluggish(7)
        await self.write_record()
        recovered = await self.recover()
        self.assertIs(recovered.verdict(), Verdict.UNSURE)
        for _ in range(5):
            recovered.own.add(SLUGGISH, True, EndpointName("new-2"))
        self.assertIs(recovered.verdict(), Verdict.BAD)

    async def test_a_rejection_is_recovered(self):
        self.trial.rejected = True
        self.add_sluggish(1)
        await self.write_record()
        self.assertTrue((await self.recover()).rejected)

    async def test_trust_is_recovered(self):
        self.now = 95.0 + SECONDS * RAMP_START + 0.1
        self.trial.trusted = True
        self.add_sluggish(1)
        await self.write_record()
        self.assertTrue((await self.recover()).trusted)

    async def test_the_baseline_is_recovered(self):
        for _ in range(5):
            self.baseline.learn(SERVICE, KIND, 0.1)
        self.add_sluggish(1)
        await self.write_record()
        baseline = BaselineTimes()
        await self.new_record(baseline).recover(Trial(ORDER, 95.0, 0.15))
        self.assertAlmostEqual(baseline.ratio(SERVICE, KIND, 0.3), 3.0)

    async def test_recovered_counts_are_not_reported_for_this_hall(self):
        self.add_sluggish(4)
        await self.write_record()
        recovered = await self.recover()
        self.assertEqual(recovered.report_of_hall(self.now).counts, ())

    async def test_an_invalid_record_is_ignored(self):
        report = self.trial.report_of_all(self.now)
        of_other_version = TrialReport("o", VersionName("v3"), report.counts)
        for data in (
            b"[]",
            b"{}",
            b'{"version":"v2","verdict":"fine","counts":[],"usual":[]}',
            b'{"version":"v2","verdict":"bad","counts":[{}],"usual":[]}',
            encode(of_other_version, ()),
        ):
            with self.subTest(data=data):
                self.values.stored["trials/o"] = Stored(revision_at(1), data)
                recovered = await self.recover()
                self.assertFalse(recovered.rejected)
                self.assertEqual(recovered.received, {})

    async def test_an_unavailable_store(self):
        self.values.unavailable = True
        self.assertIs((await self.recover()).verdict(), Verdict.UNSURE)


class CatchUpTest(RecordCase):
    """The store is read only if no running VM has seen answers of the version."""

    async def catch_up(self, seen: int) -> int:
        """Catch up with other VMs.

        :param seen: the number of answers that they have seen.
        :returns: the number of calls to the store.
        """
        context = Context(
            VmName("vm-1"),
            HallName("h"),
            new_incarnation(),
            Timeline(VmName("vm-1"), 10),
        )
        response = TrialNews(TrialReport("o", VersionName("v2"), (), seen=seen))

        async def query_any(body):
            return response

        peers = SimpleNamespace(query_any=query_any, size=3)
        exchange = TrialExchange(context, peers, {}, self.baseline, lambda report: None)
        exchange.record = self.record
        self.task.catching_up = True
        await exchange.catch_up(self.task)
        self.assertFalse(self.task.catching_up)
        return self.values.calls

    async def test_the_store_is_not_read_if_others_have_seen_answers(self):
        self.assertEqual(await self.catch_up(seen=4), 0)

    async def test_the_store_is_read_if_nobody_has_seen_answers(self):
        self.assertEqual(await self.catch_up(seen=0), 1)
