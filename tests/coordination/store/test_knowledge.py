# Licensed under the Apache License 2.0: see LICENSE for details.

"""A VM's copy of the store: never reverted, kept during outages, shared with peers."""

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
from walnutquay.state.store.instances import Instance, InstanceRegistry


def instance(name: str, leaving: bool = False) -> Instance:
    """Return an instance of the service ``s``."""
    return Instance(
        EndpointName(name),
        ServiceName("s"),
        "http://127.0.0.1:1",
        HallName("h"),
        VersionName("v1"),
        8,
        leaving,
    )


class RegistryTest(unittest.TestCase):
    """Entries that are added, changed, expired and deleted."""

    def setUp(self) -> None:
        self.registry = InstanceRegistry(2.0)
        self.registry.replace_all([instance("a"), instance("b")], 0.0)

    def names(self) -> set[str]:
        """Return the names of the instances that may be sent requests."""
        return {item.name for item in self.registry.usable_instances(ServiceName("s"))}

    def test_a_deletion_applies_at_once(self):
        self.assertTrue(self.registry.remove(EndpointName("a"), 1.0))
        self.assertEqual(self.names(), {"b"})

    def test_after_an_outage_a_deletion_is_unconfirmed_for_a_while(self):
        self.registry.mark_deletions_unconfirmed(10.0)
        self.assertFalse(self.registry.remove(EndpointName("a"), 10.5))
        self.assertEqual(self.registry.drop_overdue(11.9), [])
        self.assertEqual(self.names(), {"a", "b"})
        self.assertEqual(self.registry.drop_overdue(12.0), ["a"])
        self.assertEqual(self.names(), {"b"})

    def test_an_entry_that_is_written_again_stays(self):
        self.registry.mark_deletions_unconfirmed(10.0)
        self.registry.replace_all([instance("b")], 10.5)
        self.registry.put(instance("a"), 11.0)
        self.assertEqual(self.registry.drop_overdue(13.0), [])
        self.assertEqual(self.names(), {"a", "b"})

    def test_an_announced_shutdown_is_never_reverted(self):
        self.registry.put(instance("a", leaving=True), 1.0)
        self.registry.put(instance("a"), 2.0)
        self.assertEqual(self.names(), {"b"})
        self.registry.mark_deletions_unconfirmed(3.0)
        self.assertTrue(self.registry.remove(EndpointName("a"), 3.1))


class StoreOutageTest(GatewayCase):
    """All state stays in use while the store is unavailable."""

    async def test_requests_are_still_served(self):
        self.store.silent = True
        self.assertEqual((await self.call("/safe/x")).status, 200)
        self.store.silent = False
        self.store.refuse = 503
        self.assertEqual((await self.call("/unsafe/x", b"b")).status, 200)

    async def test_expired_history_is_listed_again(self):
        await self.store.put("servers", "p9", self.endpoints["p1"].spec("plain"))
        registry = self.gateway.knowledge.instances.registry
        await self.until(lambda: "p9" in registry.known)
        async with self.store.changed:
            del self.store.kinds["servers"]["p9"]
            self.store.revision += 1
        await self.store.forget_history()
        await self.until(lambda: "p9" not in registry.known)


class RelayTest(GatewayCase):
    """A VM that the store does not answer receives changes from its peers."""

    async def test_a_new_configuration(self):
        second = await self.add_gateway("vm-2")
        first = self.gateway
        place = VmLocation(first.peers.own, first.context.hall)
        second.peers.known = {first.context.vm: place}
        # From here on, the store does not answer the second VM.
        second.store.base = "http://127.0.0.1:9/v1/objects"
        second.knowledge.catalogue_follower.query_now()
        spec = catalogue(2)
        spec["tenants"][0]["apiKeys"] = ["only-this-key"]
        await self.store.put("config", "main", spec)
        await self.until(lambda: second.knowledge.catalogue.current.version == 2)
        answer = await self.call("/safe/x", gateway=second)
        self.assertEqual((answer.status, KEY in str(spec)), (401, False))


class StartingVmTest(GatewayCase):
    """A VM that starts receives all lists from another VM, not from the store."""

    async def test_no_list_is_read_from_the_store(self):
        kinds = ("config", "servers", "rollouts", "evacuations")
        before = [self.store.calls[f"GET {kind}"] for kind in kinds]
        second = await self.add_gateway("vm-2", [self.gateway])
        await self.until(lambda: second.knowledge.ready)
        after = [self.store.calls[f"GET {kind}"] for kind in kinds]
        self.assertEqual(after, before)
        self.assertEqual((await self.call("/safe/x", gateway=second)).status, 200)

    async def test_a_later_configuration_reaches_it(self):
        second = await self.add_gateway("vm-2", [self.gateway])
        await self.store.put("config", "main", catalogue(2))
        await self.until(lambda: second.knowledge.catalogue.current.version == 2)


class EmptyFleetTest(GatewayCase):
    """The store is queried if no VM has any state yet."""

    configured = False

    async def test_two_vms_that_start_together(self):
        second = await self.add_gateway("vm-2", [self.gateway])
        await self.store.put("config", "main", catalogue())
        await self.until(
            lambda: second.knowledge.ready and self.gateway.knowledge.ready
        )


class RemovalTest(GatewayCase):
    """The state of objects that are gone is removed."""

    async def test_an_endpoint_that_is_gone(self):
        await self.call("/safe/x")
        admission = self.gateway.path.admission
        await self.store.remove("servers", "p1")
        await self.store.remove("servers", "p2")
        await self.until(lambda: not {"p1", "p2"} & set(admission.table.states))
