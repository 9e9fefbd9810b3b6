# Licensed under the Apache License 2.0: see LICENSE for details.

"""Values of our own interface in the store, against the stand-in."""

from __future__ import annotations

import asyncio
import unittest
from dataclasses import replace

from standins.store import StoreStandIn
from walnutquay.coordination.own.platform import Platform
from walnutquay.coordination.process.context import Context, Timeline
from walnutquay.exceptions import (
    PlatformConflictError,
    PlatformError,
    PlatformUnavailableError,
    PlatformUnclearError,
)
from walnutquay.platform.store import StoreClient
from walnutquay.platform.values import ABSENT, ValueStore, object_key, value_name
from walnutquay.sections import PlatformSection
from walnutquay.state.process.ids import HallName, Incarnation, VmName

NAMES = ("config/head", "config/parts/4f1c", "claims/shop/a b%2Fc", "bills/inc/0001")
# Seconds of a watch in which nothing is to happen.
SHORT_WATCH = 0.05
LONG_WATCH = 5.0


class NameTest(unittest.TestCase):
    """Names of values survive the way to an object's kind and name and back."""

    def test_there_and_back(self):
        for name in NAMES:
            with self.subTest(name):
                self.assertEqual(value_name(object_key(name)), name)
                self.assertNotIn("/", object_key(name).name)


class ValueCase(unittest.IsolatedAsyncioTestCase):
    """Starts a store with small pages and the values in it."""

    async def asyncSetUp(self) -> None:
        self.store = StoreStandIn(page=3)
        await self.store.start()
        self.addAsyncCleanup(self.store.stop)
        client = StoreClient(self.store.address, call_seconds=0.2)
        self.addAsyncCleanup(client.close)
        self.values = ValueStore(client)


class WriteTest(ValueCase):
    """Each write changes the version that it named, or nothing."""

    async def test_a_value_comes_back_as_it_was(self):
        for name in NAMES:
            version = await self.values.write(name, b'{"b":[1,2.5],"a":"x"}', ABSENT)
            stored = await self.values.read(name)
            self.assertEqual(stored.version, version)
            self.assertEqual(stored.value, b'{"a":"x","b":[1,2.5]}')

    async def test_nothing_is_stored_yet(self):
        self.assertEqual((await self.values.read("claims/x")).version, ABSENT)

    async def test_conditions(self):
        first = await self.values.write("claims/x", b"[1]", ABSENT)
        second = await self.values.write("claims/x", b"[2]", first)
        unused = replace(second, number=second.number + 1)
        for expected in (ABSENT, first, unused):
            with self.subTest(expected), self.assertRaises(PlatformConflictError):
                await self.values.write("claims/x", b"[3]", expected)
        with self.assertRaises(PlatformConflictError):
            await self.values.delete("claims/x", first)
        self.assertEqual((await self.values.read("claims/x")).value, b"[2]")
        await self.values.delete("claims/x", second)
        with self.assertRaises(PlatformConflictError):
            await self.values.write("claims/x", b"[3]", second)

    async def test_a_write_that_changes_nothing_keeps_the_version(self):
        first = await self.values.write("leases/d", b"[1]", ABSENT)
        self.assertEqual(await self.values.write("leases/d", b"[1]", first), first)

    async def test_a_value_made_anew_is_not_taken_for_the_old_one(self):
        first = await self.values.write("claims/x", b"[1]", ABSENT)
        await self.values.delete("claims/x", first)
        self.assertGreater(await self.values.write("claims/x", b"[1]", ABSENT), first)

    async def test_names_over_all_pages(self):
        names = [f"claims/org/{number}" for number in range(8)]
        for name in [*names, "bills/inc/1"]:
            await self.values.write(name, b"[]", ABSENT)
        self.assertEqual(await self.values.names("claims/"), names)
        self.assertEqual(await self.values.names("leases/"), [])

    async def test_a_write_that_lands_late(self):
        self.store.late_writes_seconds = 0.4
        with self.assertRaises(PlatformUnclearError):
            await self.values.write("claims/x", b"[1]", ABSENT)
        self.store.late_writes_seconds = 0.0
        self.assertEqual((await self.values.read("claims/x")).version, ABSENT)
        await asyncio.gather(*self.store.late_tasks)
        with self.assertRaises(PlatformConflictError):
            await self.values.write("claims/x", b"[2]", ABSENT)


class WatchTest(ValueCase):
    """Watches see the value that they are for, and lose no change."""

    async def test_other_values_of_the_kind_are_no_change(self):
        head = await self.values.write("config/head", b"[1]", ABSENT)
        await self.values.write("config/parts/a", b"[]", ABSENT)
        self.assertIsNone(await self.values.watch("config/head", head, SHORT_WATCH))
        newer = await self.values.write("config/head", b"[2]", head)
        stored = await self.values.watch("config/head", head, LONG_WATCH)
        assert stored is not None
        self.assertEqual((stored.version, stored.value), (newer, b"[2]"))

    async def test_a_change_while_the_history_is_lost(self):
        head = await self.values.write("config/head", b"[1]", ABSENT)
        newer = await self.values.write("config/head", b"[2]", head)
        await self.store.forget_history()
        stored = await self.values.watch("config/head", head, LONG_WATCH)
        assert stored is not None
        self.assertEqual(stored.version, newer)

    async def test_no_change_while_the_history_is_lost(self):
        head = await self.values.write("config/head", b"[1]", ABSENT)
        await self.store.put("servers", "i-1", {})
        await self.store.forget_history()
        self.assertIsNone(await self.values.watch("config/head", head, LONG_WATCH))
        # It goes on from the list, not from the revision that is forgotten.
        self.assertIsNone(await self.values.watch("config/head", head, SHORT_WATCH))
        self.assertEqual(self.store.calls["GET walnutquay-config"], 1)

    async def test_a_deleted_value(self):
        head = await self.values.write("config/head", b"[1]", ABSENT)
        await self.values.delete("config/head", head)
        stored = await self.values.watch("config/head", head, LONG_WATCH)
        assert stored is not None
        self.assertEqual(stored.version, ABSENT)


# the store's fault -> what a read means, what a write means, whether the platform
# counts as up afterwards
FAULTS = [
    ({"refuse": 503}, PlatformUnavailableError, PlatformUnavailableError, False),
    ({"refuse": 429}, PlatformUnavailableError, PlatformUnavailableError, True),
    ({"refuse": 500}, PlatformUnavailableError, PlatformUnclearError, False),
    ({"refuse": 400}, PlatformError, PlatformError, False),
    ({"silent": True}, PlatformUnavailableError, PlatformUnclearError, False),
    ({"late_seconds": 0.5}, PlatformUnavailableError, PlatformUnclearError, False),
    ({"turned_away": {"vm-1"}}, PlatformUnavailableError, PlatformUnclearError, False),
    ({"turned_away": {"vm-2"}}, None, None, True),
]


class FaultTest(unittest.IsolatedAsyncioTestCase):
    """What each fault of the store means to the parts that call it."""

    async def test_table(self):
        for fault, read_error, write_error, up in FAULTS:
            with self.subTest(fault):
                await self.check(fault, read_error, write_error, up)

    async def check(self, fault, read_error, write_error, up) -> None:
        """Make one read and one write under a fault."""
        store = StoreStandIn()
        await store.start()
        vm = VmName("vm-1")
        context = Context(vm, HallName("h"), Incarnation("inc"), Timeline(vm, 10))
        section = PlatformSection(
            url=f"http://{store.address}", vm_list_url="", timeout_seconds=0.2
        )
        platform = Platform(context, section)
        for name, value in fault.items():
            setattr(store, name, value)
        try:
            await self.meets(platform.read("claims/x"), read_error)
            await self.meets(platform.write("claims/x", b"[1]", ABSENT), write_error)
            self.assertIs(platform.up, up)
        finally:
            await platform.close()
            await store.stop()

    async def meets(self, call, error: type[Exception] | None) -> None:
        """Check that a call ends with an error, or with none."""
        if error is None:
            await call
            return
        with self.assertRaises(error):
            await call

    async def test_a_rate_that_is_used_up(self):
        store = StoreStandIn(writes=2)
        await store.start()
        self.addAsyncCleanup(store.stop)
        client = StoreClient(store.address)
        self.addAsyncCleanup(client.close)
        values = ValueStore(client)
        for number in range(2):
            await values.write(f"claims/{number}", b"[]", ABSENT)
        with self.assertRaises(PlatformUnavailableError):
            await values.write("claims/2", b"[]", ABSENT)
        self.assertEqual((await values.read("claims/2")).version, ABSENT)

    async def test_a_list_that_may_be_old(self):
        store = StoreStandIn()
        await store.start()
        self.addAsyncCleanup(store.stop)
        client = StoreClient(store.address)
        self.addAsyncCleanup(client.close)
        await store.put("servers", "i-1", {})
        store.keep_stale_view()
        await store.put("servers", "i-2", {})
        old, old_revision = await client.list("servers", stale=True)
        new, revision = await client.list("servers")
        self.assertEqual([stored.name for stored in old], ["i-1"])
        self.assertEqual([stored.name for stored in new], ["i-1", "i-2"])
        self.assertLess(old_revision, revision)
