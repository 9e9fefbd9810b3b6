# Licensed under the Apache License 2.0: see LICENSE for details.

"""What a VM knows: it never goes back, survives silence, and comes from peers too."""

from __future__ import annotations

import unittest

from tests.gatewaycase import KEY, GatewayCase, catalogue
from walnutquay.state.fleet.membership import VmLocation
from walnutquay.state.process.ids import (
    EndpointName,
    HallName,
    ServiceName,
    VersionName,
)
from walnutquay.state.store.instances import Instance, InstanceBook


def instance(name: str, leaving: bool = False) -> Instance:
    """:returns: an instance of the service ``s``."""
    return Instance(
        EndpointName(name),
        ServiceName("s"),
        "http://127.0.0.1:1",
        HallName("h"),
        VersionName("v1"),
        8,
        leaving,
    )


class BookTest(unittest.TestCase):
    """Entries that come, change, lapse and go."""

    def setUp(self) -> None:
        self.book = InstanceBook(2.0)
        self.book.replace_all([instance("a"), instance("b")], 0.0)

    def names(self) -> set[str]:
        """:returns: the instances that may be used."""
        return {item.name for item in self.book.of_service(ServiceName("s"))}

    def test_a_deletion_counts_at_once(self):
        self.assertTrue(self.book.remove(EndpointName("a"), 1.0))
        self.assertEqual(self.names(), {"b"})

    def test_after_an_outage_it_is_doubted_for_a_while(self):
        self.book.doubt_deletions(10.0)
        self.assertFalse(self.book.remove(EndpointName("a"), 10.5))
        self.assertEqual(self.book.drop_overdue(11.9), [])
        self.assertEqual(self.names(), {"a", "b"})
        self.assertEqual(self.book.drop_overdue(12.0), ["a"])
        self.assertEqual(self.names(), {"b"})

    def test_an_entry_that_comes_back_stays(self):
        self.book.doubt_deletions(10.0)
        self.book.replace_all([instance("b")], 10.5)
        self.book.put(instance("a"), 11.0)
        self.assertEqual(self.book.drop_overdue(13.0), [])
        self.assertEqual(self.names(), {"a", "b"})

    def test_an_announced_end_is_never_taken_back(self):
        self.book.put(instance("a", leaving=True), 1.0)
        self.book.put(instance("a"), 2.0)
        self.assertEqual(self.names(), {"b"})
        self.book.doubt_deletions(3.0)
        self.assertTrue(self.book.remove(EndpointName("a"), 3.1))


class SilenceTest(GatewayCase):
    """While the store is away everything known stays in use."""

    async def test_requests_are_served_on(self):
        self.store.silent = True
        self.assertEqual((await self.call("/safe/x")).status, 200)
        self.store.silent = False
        self.store.refuse = 503
        self.assertEqual((await self.call("/unsafe/x", b"b")).status, 200)

    async def test_history_that_is_gone_is_listed_again(self):
        await self.store.put("servers", "p9", self.endpoints["p1"].spec("plain"))
        book = self.gateway.knowledge.instances.book
        await self.until(lambda: "p9" in book.known)
        async with self.store.changed:
            del self.store.kinds["servers"]["p9"]
            self.store.revision += 1
        await self.store.forget_history()
        await self.until(lambda: "p9" not in book.known)


class RelayTest(GatewayCase):
    """A VM that the store turns away hears from its peers."""

    async def test_a_new_configuration(self):
        second = await self.add_gateway("vm-2")
        first = self.gateway
        place = VmLocation(first.peers.own, first.context.hall)
        second.peers.known = {first.context.vm: place}
        # From now on the store does not answer the second VM.
        second.store.base = "http://127.0.0.1:9/v1/objects"
        second.knowledge.catalogue_follower.nudge()
        spec = catalogue(2)
        spec["tenants"][0]["apiKeys"] = ["only-this-key"]
        await self.store.put("config", "main", spec)
        await self.until(lambda: second.knowledge.catalogue.current.version == 2)
        answer = await self.call("/safe/x", gateway=second)
        self.assertEqual((answer.status, KEY in str(spec)), (401, False))


class StartingVmTest(GatewayCase):
    """A VM that starts learns from the others what there is, not from the store."""

    async def test_without_any_call_for_a_list(self):
        kinds = ("config", "servers", "rollouts", "evacuations")
        before = [self.store.calls[f"GET {kind}"] for kind in kinds]
        second = await self.add_gateway("vm-2", [self.gateway])
        await self.until(lambda: second.knowledge.ready)
        after = [self.store.calls[f"GET {kind}"] for kind in kinds]
        self.assertEqual(after, before)
        self.assertEqual((await self.call("/safe/x", gateway=second)).status, 200)

    async def test_a_configuration_that_comes_later_reaches_it(self):
        second = await self.add_gateway("vm-2", [self.gateway])
        await self.store.put("config", "main", catalogue(2))
        await self.until(lambda: second.knowledge.catalogue.current.version == 2)


class EmptyFleetTest(GatewayCase):
    """Where nobody knows anything yet, the store is asked."""

    configured = False

    async def test_two_that_start_together(self):
        second = await self.add_gateway("vm-2", [self.gateway])
        await self.store.put("config", "main", catalogue())
        await self.until(
            lambda: second.knowledge.ready and self.gateway.knowledge.ready
        )


class ForgettingTest(GatewayCase):
    """What is gone leaves nothing behind."""

    async def test_an_endpoint_that_is_gone(self):
        await self.call("/safe/x")
        admission = self.gateway.path.admission
        await self.store.remove("servers", "p1")
        await self.store.remove("servers", "p2")
        await self.until(lambda: not {"p1", "p2"} & set(admission.table.states))
