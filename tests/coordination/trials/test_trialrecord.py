# Licensed under the Apache License 2.0: see LICENSE for details.

"""What is kept of a version on trial for VMs that start when all are lost."""

from __future__ import annotations

import asyncio
import unittest
from types import SimpleNamespace
from unittest import mock

from walnutquay.coordination.process.context import Context, Timeline, new_incarnation
from walnutquay.coordination.trials import record as trialrecord
from walnutquay.coordination.trials.news import TrialExchange
from walnutquay.coordination.trials.record import WRITE_SECONDS, TrialRecord, encode
from walnutquay.coordination.trials.task import TrialTask
from walnutquay.exceptions import PlatformConflictError, PlatformUnavailableError
from walnutquay.platform.values import Stored
from walnutquay.protocol.messages import TrialNews
from walnutquay.state.process.ids import (
    EndpointName,
    HallName,
    RouteName,
    ServiceName,
    VersionName,
    VmName,
)
from walnutquay.state.store.orders import OrderState, RolloutOrder
from walnutquay.state.trials.baseline import BaselineTimes
from walnutquay.state.trials.counts import Measure
from walnutquay.state.trials.reports import TrialReport, Verdict
from walnutquay.state.trials.trial import RAMP_START, Trial

SERVICE = ServiceName("s")
SECONDS = 20.0
ORDER = RolloutOrder("o", 1, SERVICE, VersionName("v2"), SECONDS, OrderState.RUNNING)
SLUGGISH = (Measure.SLUGGISH, RouteName("r"))
KIND = "head/r/0"


class FakeValues:
    """The values of the store."""

    def __init__(self) -> None:
        self.stored: dict[str, Stored] = {}
        self.calls = 0
        self.away = False

    async def read(self, name: str) -> Stored:
        """As the real ones."""
        self._call()
        return self.stored.get(name, Stored(0))

    async def write(self, name: str, value: bytes, expected: int) -> int:
        """As the real ones."""
        self._call()
        if self.stored.get(name, Stored(0)).version != expected:
            raise PlatformConflictError("changed", step="write", peer=name)
        self.stored[name] = Stored(expected + 1, value)
        return expected + 1

    def _call(self) -> None:
        self.calls += 1
        if self.away:
            raise PlatformUnavailableError("away", step="call", peer="store")


async def yes() -> bool:
    """:returns: that a VM reads the store."""
    return True


class RecordCase(unittest.IsolatedAsyncioTestCase):
    """A trial with a record."""

    def setUp(self) -> None:
        self.now = 100.0
        patch = mock.patch.object(trialrecord, "monotonic", lambda: self.now)
        patch.start()
        self.addCleanup(patch.stop)
        self.values = FakeValues()
        self.keeps = True
        self.trial = Trial(ORDER, 95.0, 0.15)
        self.task = TrialTask(self.trial, 0.0)
        self.usual = BaselineTimes()
        self.record = self.new_record(self.usual)

    def new_record(self, usual: BaselineTimes) -> TrialRecord:
        """:returns: the record as a VM knows it."""
        keepers = SimpleNamespace(is_responsible_for=lambda key: self.keeps)
        return TrialRecord(keepers, self.values, usual, yes)

    def see(self, bad: int) -> None:
        """Let this VM see sluggish answers."""
        for _ in range(bad):
            self.trial.own.add(SLUGGISH, True, EndpointName("new-1"))

    async def keep(self) -> None:
        """Let the record be written if it is to be."""
        self.record.keep(self.task)
        await asyncio.gather(*self.record.tasks.running)


class KeepingTest(RecordCase):
    """One VM writes, while there is news."""

    async def test_it_is_written_where_there_is_news(self):
        await self.keep()
        self.assertEqual(self.values.calls, 0)
        self.see(3)
        await self.keep()
        await self.keep()
        self.now += WRITE_SECONDS
        await self.keep()
        self.assertEqual(self.values.stored["trials/o"].version, 1)
        self.see(1)
        await self.keep()
        self.assertEqual(self.values.stored["trials/o"].version, 2)

    async def test_other_vms_write_nothing(self):
        self.keeps = False
        self.see(3)
        await self.keep()
        self.assertEqual(self.values.calls, 0)

    async def test_one_that_takes_over_reads_its_version(self):
        self.values.stored["trials/o"] = Stored(7, b"{}")
        self.record.versions["o"] = 3
        self.see(1)
        await self.keep()
        self.assertEqual(self.values.stored["trials/o"].version, 7)
        self.see(1)
        self.now += WRITE_SECONDS
        await self.keep()
        self.assertEqual(self.values.stored["trials/o"].version, 8)


class RecoveringTest(RecordCase):
    """All VMs are lost; what they had seen is not."""

    # A version that was slow in part got 219 of the 1,115 requests of its service, of
    # which a bad one may get 197.  All VMs were lost twice within its trial, each time
    # with the 9 or 10 answers that they had seen, and 5 of the next 6 were good.

    async def recovered(self) -> Trial:
        """:returns: the trial as a VM knows it that starts when all were lost."""
        found = Trial(ORDER, 95.0, 0.15)
        await self.new_record(BaselineTimes()).recover(found)
        return found

    async def test_what_was_seen_counts_with_what_is_seen(self):
        self.see(7)
        await self.keep()
        found = await self.recovered()
        self.assertIs(found.verdict(), Verdict.UNSURE)
        for _ in range(5):
            found.own.add(SLUGGISH, True, EndpointName("new-2"))
        self.assertIs(found.verdict(), Verdict.BAD)

    async def test_what_was_decided_holds(self):
        self.trial.rejected = True
        self.see(1)
        await self.keep()
        self.assertTrue((await self.recovered()).rejected)

    async def test_a_version_that_was_trusted_keeps_its_sessions(self):
        self.now = 95.0 + SECONDS * RAMP_START + 0.1
        self.trial.trusted = True
        self.see(1)
        await self.keep()
        self.assertTrue((await self.recovered()).trusted)

    async def test_what_is_usual(self):
        for _ in range(5):
            self.usual.learn(SERVICE, KIND, 0.1)
        self.see(1)
        await self.keep()
        usual = BaselineTimes()
        await self.new_record(usual).recover(Trial(ORDER, 95.0, 0.15))
        self.assertAlmostEqual(usual.ratio(SERVICE, KIND, 0.3), 3.0)

    async def test_it_is_not_told_as_this_halls(self):
        self.see(4)
        await self.keep()
        found = await self.recovered()
        self.assertEqual(found.report_of_hall(self.now).counts, ())

    async def test_what_cannot_be_read_is_left_out(self):
        report = self.trial.report_of_all(self.now)
        of_another = TrialReport("o", VersionName("v3"), report.counts)
        for data in (
            b"[]",
            b"{}",
            b'{"version":"v2","verdict":"fine","counts":[],"usual":[]}',
            b'{"version":"v2","verdict":"bad","counts":[{}],"usual":[]}',
            encode(of_another, ()),
        ):
            with self.subTest(data=data):
                self.values.stored["trials/o"] = Stored(1, data)
                found = await self.recovered()
                self.assertFalse(found.rejected)
                self.assertEqual(found.received, {})

    async def test_a_store_that_is_away(self):
        self.values.away = True
        self.assertIs((await self.recovered()).verdict(), Verdict.UNSURE)


class AskingTest(RecordCase):
    """The store is read only where no VM that lives has seen anything."""

    async def catch_up(self, seen: int) -> int:
        """Start a VM while others have seen some answers.

        :returns: calls of the store.
        """
        context = Context(
            VmName("vm-1"),
            HallName("h"),
            new_incarnation(),
            Timeline(VmName("vm-1"), 10),
        )
        told = TrialNews(TrialReport("o", VersionName("v2"), (), seen=seen))

        async def query_any(body):
            return told

        peers = SimpleNamespace(query_any=query_any, size=3)
        exchange = TrialExchange(context, peers, {}, self.usual, lambda report: None)
        exchange.record = self.record
        self.task.asking = True
        await exchange.catch_up(self.task)
        self.assertFalse(self.task.asking)
        return self.values.calls

    async def test_others_have_seen_some(self):
        self.assertEqual(await self.catch_up(seen=4), 0)

    async def test_nobody_has(self):
        self.assertEqual(await self.catch_up(seen=0), 1)
