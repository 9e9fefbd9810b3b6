# Licensed under the Apache License 2.0: see LICENSE for details.

"""Calls of the store around a restore, against the stand-in."""

from __future__ import annotations

import asyncio
import unittest

from standins.store import StoreStandIn
from tests.revisions import revision_at
from walnutquay.exceptions import (
    EarlierEraError,
    HistoryGoneError,
    MessageError,
    PlatformConflictError,
    PlatformUnclearError,
)
from walnutquay.platform.feeds import Feed, instance_feed
from walnutquay.platform.store import StoreClient

SPEC = {
    "service": "plain",
    "address": "127.0.0.1:1",
    "zone": "hall-a",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "coldLeftMs": 0,
    "seq": 1,
}


class EraCase(unittest.IsolatedAsyncioTestCase):
    """Starts a store with two endpoints, and a client that knows them."""

    async def asyncSetUp(self) -> None:
        self.store = StoreStandIn(page=1)
        await self.store.start()
        self.addAsyncCleanup(self.store.stop)
        self.client = StoreClient(self.store.address)
        self.addAsyncCleanup(self.client.close)
        for name in ("i-1", "i-2"):
            await self.store.put("servers", name, SPEC)
        self.backup = self.store.copy()
        self.listing = await instance_feed(self.client).list()

    async def pass_revision(self, number: int) -> None:
        """Change objects of another kind until the store has a revision."""
        while self.store.revision < number:
            await self.store.put("rollouts", "other", {"n": self.store.revision})


class WatchTest(EraCase):
    """A watch from a revision of an earlier era is never taken for a good one."""

    async def test_a_watch_after_revisions_have_passed(self):
        await self.store.put("servers", "i-3", SPEC)
        known = (await instance_feed(self.client).list()).revision
        await self.store.restore(self.backup)
        await self.store.put("servers", "i-4", SPEC)
        await self.pass_revision(known.number + 3)
        with self.assertRaises(HistoryGoneError):
            await self.client.watch("servers", known, 0.0)
        calls = self.store.calls["GET servers watch"]
        # Now the era is known, so the store is not asked.
        with self.assertRaises(HistoryGoneError):
            await self.client.watch("servers", known, 0.0)
        self.assertEqual(self.store.calls["GET servers watch"], calls)

    async def test_a_list_whose_pages_are_of_two_eras(self):
        read = self.store._read

        async def restore_after(*arguments):
            answer = await read(*arguments)
            self.store._read = read
            await self.store.restore(self.backup)
            return answer

        self.store._read = restore_after
        with self.assertRaises(HistoryGoneError):
            await self.client.list("servers")
        listed, revision = await self.client.list("servers")
        self.assertEqual(revision, revision_at(2, era=2))
        self.assertEqual([stored.revision.era for stored in listed], [2, 2])


class LateAnswerTest(EraCase):
    """Answers of an earlier era decide nothing; eras that cannot be read neither."""

    async def test_an_answer_of_an_earlier_era(self):
        self.store.era = 3
        await self.client.list("servers")
        self.store.named_era = "2"
        with self.assertRaises(EarlierEraError):
            await self.client.get("servers", "i-1")
        self.assertEqual(self.client.eras.current, 3)

    async def test_eras_that_cannot_be_read(self):
        for named in ("", "x", "-4", "1.5", "9" * 30, "٣"):
            self.store.named_era = named
            with self.subTest(named):
                stored = await self.client.get("servers", "i-1")
                self.assertEqual(stored.revision, revision_at(1))
        self.assertEqual(self.client.eras.current, 1)

    async def test_a_refusal_names_the_era_too(self):
        await self.store.restore(self.backup)
        with self.assertRaises(PlatformConflictError):
            await self.client.create("servers", "i-1", SPEC)
        self.assertEqual(self.client.eras.current, 2)


class ConditionTest(EraCase):
    """A condition on a revision of an earlier era never holds unnoticed."""

    async def test_a_restore_that_is_known(self):
        old = self.listing.revision
        await self.store.restore(self.backup)
        await self.client.list("servers")
        calls = dict(self.store.calls)
        for call in (
            self.client.replace("servers", "i-2", {"n": 1}, old),
            self.client.write_status("servers", "i-2", {"n": 1}, old),
            self.client.delete("servers", "i-2", old),
        ):
            with self.assertRaises(PlatformConflictError):
                await call
        self.assertEqual(dict(self.store.calls), calls)

    async def test_a_restore_that_the_answer_tells_first(self):
        # The revision is given out again, for another content of the same object.
        await self.store.put("servers", "i-1", {**SPEC, "slots": 5})
        old = (await self.client.get("servers", "i-1")).revision
        await self.store.restore(self.backup)
        await self.store.put("servers", "i-1", {**SPEC, "slots": 6})
        self.assertEqual(self.store.kinds["servers"]["i-1"].revision, old.number)
        with self.assertRaises(PlatformUnclearError):
            await self.client.replace("servers", "i-1", {**SPEC, "slots": 7}, old)

    async def test_a_write_after_reading_again(self):
        await self.store.restore(self.backup)
        stored = await self.client.get("servers", "i-1")
        written = await self.client.replace(
            "servers", "i-1", {**SPEC, "slots": 9}, stored.revision
        )
        self.assertEqual(written.revision, revision_at(3, era=2))


class PeerListTest(EraCase):
    """What other VMs know is taken by its era too."""

    def feed(self) -> Feed:
        """Return the feed of another VM."""
        other = StoreClient(self.store.address)
        self.addAsyncCleanup(other.close)
        return instance_feed(other)

    async def test_a_list_of_an_earlier_era(self):
        peer = self.feed()
        await peer.list()
        old = peer.export(revision_at(0))
        await self.store.restore(self.backup)
        feed = instance_feed(self.client)
        await feed.list()
        for read in (feed.read_export, feed.read_whole):
            with self.assertRaises(MessageError):
                read(old)
        self.assertEqual(feed.revision.era, 2)

    async def test_a_vm_that_is_cut_off_hears_of_the_era_from_others(self):
        peer = self.feed()
        await self.store.restore(self.backup)
        await peer.list()
        feed = instance_feed(self.client)
        listing = feed.read_export(peer.export(revision_at(900)))
        self.assertEqual(listing.revision, revision_at(2, era=2))
        self.assertEqual(self.client.eras.current, 2)

    async def test_changes_are_not_told_across_a_restore(self):
        peer = self.feed()
        listing = await peer.list()
        await self.store.restore(self.backup)
        await peer.list()
        with self.assertRaises(HistoryGoneError):
            peer.export_changes(listing.revision)

    async def test_a_watch_that_ends_with_the_restore(self):
        watch = asyncio.ensure_future(
            self.client.watch("servers", self.listing.revision, 5.0)
        )
        while not self.store.waiting:  # noqa: ASYNC110
            await asyncio.sleep(0.001)
        await self.store.restore(self.backup)
        # The library asks once more by itself, and hears of the new era.
        with self.assertRaises(HistoryGoneError):
            await watch
