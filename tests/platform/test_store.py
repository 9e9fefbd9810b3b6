# Licensed under the Apache License 2.0: see LICENSE for details.

"""The store's client against the stand-in, with the store's faults."""

from __future__ import annotations

import asyncio
import unittest
from collections import Counter
from collections.abc import AsyncIterator

from standins.link import Link
from standins.store import StoreStandIn
from tests.revisions import revision_at
from tests.scriptedendpoint import Asked, ScriptedEndpointCase, answer
from walnutquay.exceptions import (
    HistoryGoneError,
    PlatformConflictError,
    PlatformUnavailableError,
    PlatformUnclearError,
)
from walnutquay.platform.feeds import instance_feed
from walnutquay.platform.registers import StoredOrders, VmRegister
from walnutquay.platform.store import StoreClient
from walnutquay.state.fleet.membership import Address, VmLocation
from walnutquay.state.process.ids import HallName, VmName
from walnutquay.state.store.orders import OrderState

SPEC = {
    "service": "s",
    "address": "127.0.0.1:1",
    "zone": "hall-a",
    "version": "v1",
    "slots": 1,
    "state": "ready",
    "coldLeftMs": 0,
    "seq": 1,
}


def place(port: int) -> VmLocation:
    """:returns: where a VM is that listens at a port."""
    return VmLocation(Address("127.0.0.1", port), HallName("h"))


class StoreCase(unittest.IsolatedAsyncioTestCase):
    """Starts a store with small pages and a client."""

    async def asyncSetUp(self) -> None:
        self.store = StoreStandIn(page=3)
        await self.store.start()
        self.addAsyncCleanup(self.store.stop)
        self.client = StoreClient(self.store.address)
        self.addAsyncCleanup(self.client.close)


class CountTest(StoreCase):
    """Each call is counted by what it is, for it has a price."""

    async def test_calls(self):
        counted: Counter[str] = Counter()
        self.client.count = lambda name: counted.update([name])
        await self.store.put("servers", "i-1", SPEC)
        await self.client.list("servers")
        await self.client.watch("servers", revision_at(0), 0.0)
        await self.client.create("entry-vms", "vm-1", {})
        await self.client.delete("entry-vms", "vm-1")
        expected = ["get_servers", "watch_servers", "post_entry_vms"]
        expected.append("delete_entry_vms")
        self.assertEqual(dict(counted), {f"store_calls_{name}": 1 for name in expected})


class ListTest(StoreCase):
    """Lists come whole, over all pages."""

    async def test_pages(self):
        for number in range(8):
            await self.store.put("servers", f"i-{number}", SPEC)
        found, revision = await self.client.list("servers")
        self.assertEqual([s.name for s in found], [f"i-{n}" for n in range(8)])
        self.assertEqual(revision, revision_at(8))
        self.assertEqual(self.store.calls["GET servers"], 3)

    async def test_none(self):
        listing = await instance_feed(self.client).list()
        self.assertEqual(listing.items, {})

    async def test_an_entry_that_cannot_be_read_is_left_out(self):
        await self.store.put("servers", "i-1", SPEC)
        await self.store.put("servers", "i-2", {"service": "s"})
        listing = await instance_feed(self.client).list()
        self.assertEqual(list(listing.items), ["i-1"])


class WatchTest(StoreCase):
    """Watches tell changes in order, or that they cannot."""

    async def test_changes_in_order(self):
        await self.store.put("servers", "i-1", SPEC)
        feed = instance_feed(self.client)
        listing = await feed.list()
        watch = asyncio.ensure_future(feed.watch(listing.revision, 5.0))
        await asyncio.sleep(0)
        await self.store.put("servers", "i-2", SPEC)
        changes = await watch
        self.assertEqual([c.name for c in changes.changes], ["i-2"])
        await self.store.remove("servers", "i-1")
        later = await feed.watch(changes.revision, 5.0)
        self.assertEqual([(c.name, c.item) for c in later.changes], [("i-1", None)])

    async def test_history_that_is_gone(self):
        await self.store.put("servers", "i-1", SPEC)
        await self.store.forget_history()
        with self.assertRaises(HistoryGoneError):
            await self.client.watch("servers", revision_at(0), 1.0)

    async def test_a_watch_that_is_cut(self):
        revision = await self.store.put("servers", "i-1", SPEC)
        watch = asyncio.ensure_future(
            self.client.watch("servers", revision_at(revision), 5.0)
        )
        while not self.store.waiting:  # noqa: ASYNC110
            await asyncio.sleep(0.001)
        await self.store.put("rollouts", "unrelated", {})
        await self.store.forget_history()
        # The library asks once more by itself, and hears that the history is gone.
        with self.assertRaises(HistoryGoneError):
            await watch

    async def test_nothing_changes(self):
        events, revision = await self.client.watch("servers", revision_at(0), 0.01)
        self.assertEqual((events, revision), ([], revision_at(0)))


class FaultTest(StoreCase):
    """Each fault means that nothing was done, or that nobody can tell."""

    async def test_refusals_did_nothing(self):
        for status in (429, 503):
            self.store.refuse = status
            with self.assertRaises(PlatformUnavailableError):
                await self.client.create("servers", "i-1", SPEC)
        self.assertEqual(self.store.kinds, {})

    async def test_no_way_there_did_nothing(self):
        await self.store.stop()
        with self.assertRaises(PlatformUnavailableError):
            await self.client.create("servers", "i-1", SPEC)

    async def test_a_lost_answer_is_unclear(self):
        self.store.lose_writes = 1
        with self.assertRaises(PlatformUnclearError):
            await self.client.create("servers", "i-1", SPEC)
        self.assertIn("i-1", self.store.kinds["servers"])

    async def test_a_connection_that_fell_silent_is_used_no_more(self):
        await self.store.put("servers", "i-1", SPEC)
        host, _, port = self.store.address.partition(":")
        link = Link((host, int(port)))
        await link.start()
        self.addCleanup(link.stop)
        client = StoreClient(f"{host}:{link.port}", call_seconds=0.3)
        self.addAsyncCleanup(client.close)
        await client.list("servers")
        link.silence()
        with self.assertRaises(PlatformUnclearError):
            await client.list("servers")
        found, _ = await client.list("servers")
        self.assertEqual([stored.name for stored in found], ["i-1"])

    async def test_silence_is_unclear(self):
        self.store.silent = True
        with self.assertRaises(PlatformUnclearError):
            await self.client.list("servers")


class ConditionTest(StoreCase):
    """Writes under a condition change nothing where it does not hold."""

    async def test_orders_are_answered_once(self):
        order = {"service": "s", "toVersion": "v2", "durationS": 12}
        await self.store.put("rollouts", "s", order)
        orders = StoredOrders(self.client)
        first = await orders.read("s")
        assert first is not None
        self.assertIs(first.state, OrderState.NEW)
        done = await orders.answer(first, OrderState.DONE)
        self.assertIs(done.state, OrderState.DONE)
        with self.assertRaises(PlatformConflictError):
            await orders.answer(first, OrderState.WITHDRAWN)
        present = await orders.read("s")
        assert present is not None
        self.assertIs(present.state, OrderState.DONE)

    async def test_the_status_of_an_earlier_order_says_nothing(self):
        order = {"service": "s", "toVersion": "v3", "durationS": 12}
        status = {"state": "complete", "toVersion": "v2"}
        await self.store.put("rollouts", "s", order, status)
        present = await StoredOrders(self.client).read("s")
        assert present is not None
        self.assertIs(present.state, OrderState.NEW)

    async def test_a_vm_enters_itself_again(self):
        register = VmRegister(self.client)
        for port in (1, 2):
            await register.enter(VmName("vm-1"), place(port))
        self.assertEqual(await register.read(), {"vm-1": place(2)})
        await register.leave(VmName("vm-1"))
        self.assertEqual(await register.read(), {})


class SecondAnswerTest(ScriptedEndpointCase):
    """A store's second answer is no answer to the next call."""

    async def answer_twice(self, late: bool) -> StoreClient:
        """Have each call answered twice, with an object of its own name.

        :param late: whether the second answer comes in the place of the next one.
        :returns: a client.
        """
        owed: list[bytes] = []

        async def script(asked: Asked) -> AsyncIterator[bytes]:
            name = asked.path.rpartition("/")[2]
            body = b'{"metadata": {"name": "%s", "revision": 1}}' % name.encode()
            if late and asked.number:
                yield owed.pop()
            yield answer("", body)
            owed.append(answer("", body))
            if not late:
                await asyncio.sleep(0.005)
                yield owed.pop()

        await self.start(script)
        client = StoreClient(f"127.0.0.1:{self.port}", on_stray=self.strays.append)
        self.addAsyncCleanup(client.close)
        return client

    async def test_while_no_call_is_under_way(self):
        client = await self.answer_twice(late=False)
        for name in ("a", "b", "c"):
            before = len(self.strays)
            stored = await client.get("config", name)
            self.assertEqual(stored and stored.name, name)
            await self.until(lambda: len(self.strays) > before)  # noqa: B023

    async def test_in_the_place_of_the_next_answer(self):
        client = await self.answer_twice(late=True)
        await client.get("config", "a")
        with self.assertRaises(PlatformUnclearError):
            await client.get("config", "b")
