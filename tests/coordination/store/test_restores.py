# Licensed under the Apache License 2.0: see LICENSE for details.

"""A store that comes back from a backup: no change after it is missed."""

from __future__ import annotations

from typing import Any, ClassVar
from unittest import mock

from standins.store import Backup
from tests.restorecase import ADDED_ROUTE, REVOKED_KEY, RestoreCase
from walnutquay.coordination.fleet import bootstrap, peers
from walnutquay.coordination.fleet.peers import FleetPeers
from walnutquay.coordination.store import knowledge
from walnutquay.daemon.gateway import GatewayDaemon
from walnutquay.protocol.messages import Message
from walnutquay.transport import peers as transport_peers

# What a VM that starts waits for the others.
PATIENT = (
    (knowledge, "COMPARE_SECONDS"),
    (peers, "QUERY_SECONDS"),
    (bootstrap, "ATTEMPT_SECONDS"),
    (bootstrap, "BOOTSTRAP_SECONDS"),
    (transport_peers, "CONNECT_SECONDS"),
)


class ChangesCase(RestoreCase):
    """Changes of all kinds after the store was away, as VMs and callers see them."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        await self.put_catalogue(2, revoked=False, added=False)
        await self.until_version(2)
        self.backup = self.store.copy()
        # What the store loses: the revisions of all kinds rise beyond those that the
        # changes after the restore are given.
        for version in range(3, 7):
            await self.put_catalogue(version, revoked=False, added=False)
            await self.touch_endpoint(version)
        await self.until_version(6)
        await self.until(lambda: all(self.slots(g) == 6 for g in self.gateways))

    async def touch_endpoint(self, slots: int) -> None:
        """Write the entry of an endpoint again, with another number of slots."""
        spec = {**self.endpoints["p1"].spec("plain"), "slots": slots}
        await self.store.put("servers", "p1", spec)

    async def write_again(self) -> None:
        """Write what the store has lost, as the operator and the endpoints do."""
        await self.put_catalogue(6, revoked=False, added=False)
        await self.touch_endpoint(6)

    def slots(self, gateway: GatewayDaemon) -> int:
        """Return the slots of the endpoint as a VM knows them."""
        return gateway.knowledge.instances.registry.known["p1"].slots

    async def assert_configuration_in_force(self) -> None:
        """Revoke a key and add a route; both hold on all VMs."""
        await self.put_catalogue(7, revoked=True, added=True)
        await self.until_version(7)
        refused = await self.statuses("/safe/x", REVOKED_KEY)
        served = await self.statuses(f"/{ADDED_ROUTE}/x")
        self.assertEqual(refused, [401] * self.vms)
        self.assertEqual(served, [200] * self.vms)

    async def announce_leaving(self) -> None:
        """Let an endpoint announce by its entry that it leaves."""
        leaving = {**self.endpoints["p2"].spec("plain"), "state": "draining"}
        await self.store.put("servers", "p2", leaving)

    async def assert_leaving_endpoint_unused(self) -> None:
        """No VM sends requests to the endpoint that leaves."""
        known = [g.knowledge.instances.registry.known for g in self.gateways]
        await self.until(lambda: all(one["p2"].leaving for one in known))
        before = self.runs("p2")
        for number in range(4):
            await self.statuses(f"/safe/{number}")
        self.assertEqual(self.runs("p2"), before)


class OutageTest(ChangesCase):
    """The store loses nothing: the control for the tests of restores."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.store.era -= 1
        await self.restore(Backup(self.store.kinds, self.store.revision))

    async def test_a_configuration_after_an_outage_is_in_force_everywhere(self):
        await self.assert_configuration_in_force()

    async def test_an_endpoint_that_leaves_after_an_outage_gets_nothing(self):
        await self.announce_leaving()
        await self.assert_leaving_endpoint_unused()


class MissedChangesTest(ChangesCase):
    """Changes after a restore reach VMs that knew higher revisions before it."""

    async def test_a_configuration_after_a_restore_is_in_force_everywhere(self):
        await self.restore(self.backup)
        await self.write_again()
        await self.assert_configuration_in_force()

    async def test_an_endpoint_that_leaves_after_a_restore_gets_nothing(self):
        await self.restore(self.backup)
        await self.write_again()
        await self.announce_leaving()
        await self.assert_leaving_endpoint_unused()

    async def test_changes_before_the_first_call_after_a_restore(self):
        # The revisions pass those known before, so no watch finds its history gone.
        self.store.refuse = 503
        for gateway in self.gateways:
            for follower in gateway.knowledge.followers():
                follower.query_now()
        await self.store.restore(self.backup)
        await self.announce_leaving()
        await self.put_catalogue(7, revoked=True, added=True)
        for slots in range(20):
            await self.touch_endpoint(slots)
        self.store.refuse = None
        await self.until_version(7)
        await self.assert_leaving_endpoint_unused()


class EndpointTest(RestoreCase):
    """Endpoints that entered the store after its backup."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.backup = self.store.copy()
        await self.add_worker("p3", "plain")
        await self.until(lambda: all("p3" in known for known in self.known()))

    def known(self) -> list[dict]:
        """Return the endpoints that each VM knows."""
        return [g.knowledge.instances.registry.known for g in self.gateways]

    async def until_restore_known(self) -> None:
        """Wait until all VMs know of the restore, and have listed the endpoints."""
        followers = [g.knowledge.instance_follower for g in self.gateways]
        await self.until_era(followers)

    async def test_an_endpoint_stays_in_use_until_it_is_written_again(self):
        await self.restore(self.backup)
        await self.until_restore_known()
        self.assertTrue(all("p3" in known for known in self.known()))
        await self.store.put("servers", "p3", self.endpoints["p3"].spec("plain"))
        registries = [g.knowledge.instances.registry for g in self.gateways]
        await self.until(lambda: not any(r.overdue for r in registries))
        self.assertTrue(all("p3" in known for known in self.known()))

    async def test_an_endpoint_that_is_not_written_again_is_gone_everywhere(self):
        await self.restore(self.backup)
        await self.until(lambda: not any("p3" in known for known in self.known()))

    async def test_an_endpoint_that_left_is_not_used_although_the_backup_has_it(self):
        backup = self.store.copy()
        leaving = {**self.endpoints["p3"].spec("plain"), "state": "draining"}
        await self.store.put("servers", "p3", leaving)
        await self.until(lambda: all(known["p3"].leaving for known in self.known()))
        await self.store.remove("servers", "p3")
        await self.until(lambda: not any("p3" in known for known in self.known()))
        await self.restore(backup)
        await self.until_restore_known()
        await self.until(lambda: all("p3" in known for known in self.known()))
        self.assertTrue(all(known["p3"].leaving for known in self.known()))


class DeletedEndpointTest(RestoreCase):
    """An endpoint whose entry was deleted, and that the backup still shows."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        backup = self.store.copy()
        await self.store.remove("servers", "p2")
        self.registries = [g.knowledge.instances.registry for g in self.gateways]
        await self.until(lambda: not any("p2" in r.known for r in self.registries))
        await self.restore(backup)
        await self.until(lambda: all("p2" in r.known for r in self.registries))

    async def test_it_is_sent_nothing(self):
        before = self.runs("p2")
        for number in range(4):
            served = await self.statuses(f"/safe/{number}")
            self.assertEqual(served, [200] * self.vms)
        self.assertEqual(self.runs("p2"), before)

    async def test_it_is_used_if_its_entry_stays(self):
        for registry in self.registries:
            registry.held_until = dict.fromkeys(registry.held_until, 0.0)
        await self.until(lambda: not any(r.held_until for r in self.registries))
        usable = [r.usable_instances("plain") for r in self.registries]
        self.assertEqual([len(found) for found in usable], [2] * self.vms)


class EmptiedHallTest(RestoreCase):
    """A data hall stays emptied although the store has lost the order."""

    def emptied(self) -> list[bool]:
        """Return whether the hall is emptied, on each VM."""
        return ["hall-a" in g.knowledge.halls.emptied for g in self.gateways]

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.backup = self.store.copy()
        await self.store.put("evacuations", "hall-a", {})
        await self.until(lambda: all(self.emptied()))
        await self.restore(self.backup)
        followers = [g.knowledge.hall_follower for g in self.gateways]
        await self.until_era(followers)

    async def test_the_order_is_kept_until_it_is_written_again(self):
        self.assertTrue(all(self.emptied()))
        await self.store.put("evacuations", "hall-a", {})
        sinks = [g.knowledge.halls for g in self.gateways]
        await self.until(lambda: not any(sink.overdue for sink in sinks))
        for sink in sinks:
            sink.kept_until = 0.0
            sink.drop_overdue()
        self.assertTrue(all(self.emptied()))

    async def test_an_order_that_is_not_written_again_ends(self):
        for gateway in self.gateways:
            gateway.knowledge.halls.kept_until = 0.0
        await self.until(lambda: not any(self.emptied()))


class ConfigurationTest(RestoreCase):
    """A configuration that the store has lost stays in force, at VMs that start too."""

    async def asyncSetUp(self) -> None:
        # A busy machine must not decide whether an answer comes in time.
        for module, name in PATIENT:
            self.enterContext(mock.patch.object(module, name, 9.0))
        await super().asyncSetUp()
        await self.put_catalogue(2, revoked=False, added=False)
        self.backup = self.store.copy()
        await self.put_catalogue(3, revoked=True, added=True)
        await self.until_version(3)
        await self.restore(self.backup)
        followers = [g.knowledge.catalogue_follower for g in self.gateways]
        await self.until_era(followers)

    async def prepare(self, gateway: GatewayDaemon) -> None:
        """Let the VM that starts last be a seed, which reads the store at first."""
        if gateway.options.vm.name == "vm-9":
            gateway.peers.seeds = [self.gateway.peers.own]
            gateway.peers.is_seed = True
            gateway.knowledge.compares = True

    async def test_it_stays_in_force(self):
        refused = await self.statuses("/safe/x", REVOKED_KEY)
        served = await self.statuses(f"/{ADDED_ROUTE}/x")
        self.assertEqual(refused, [401] * self.vms)
        self.assertEqual(served, [200] * self.vms)

    async def test_it_is_in_force_at_a_vm_that_starts(self):
        # From other VMs, and from the store while others know more.
        for name, known in (("vm-8", [self.gateway]), ("vm-9", [])):
            with self.subTest(name):
                started = await self.add_gateway(name, known)
                self.assertEqual(started.knowledge.catalogue.current.version, 3)

    async def test_it_comes_into_force_where_peers_answer_late(self):
        # The VM kept what the store had, and accepted a revoked key, for good.
        query = FleetPeers.query_each
        is_late = True

        async def late(asked: FleetPeers, *more: Any) -> Message | None:
            return None if is_late else await query(asked, *more)

        self.enterContext(mock.patch.object(FleetPeers, "query_each", late))
        for name, known in (("vm-8", [self.gateway]), ("vm-9", [])):
            with self.subTest(name):
                is_late = True
                started = await self.add_gateway(name, known)
                catalogue = started.knowledge.catalogue
                self.assertEqual(catalogue.current.version, 2)
                is_late = False
                await self.until(lambda one=catalogue: one.current.version == 3)

    async def test_a_newer_one_comes_into_force(self):
        await self.put_catalogue(4, revoked=False, added=False)
        await self.until_version(4)
        served = await self.statuses("/safe/x", REVOKED_KEY)
        self.assertEqual(served, [200] * self.vms)


class OrderTest(RestoreCase):
    """Orders whose status the store has lost: no trial begins again."""

    workers: ClassVar = {"p1": "plain", "e1": "engine", "e2": "engine"}
    spec: ClassVar = {"service": "engine", "toVersion": "v2", "durationS": 60}

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        newer = {**self.endpoints["e2"].spec("engine"), "version": "v2"}
        await self.store.put("servers", "e2", newer)

    async def complete(self, state: str) -> None:
        """Write an order and its outcome, and wait until all VMs know it."""
        status = {"state": state, "toVersion": "v2"}
        await self.store.put("rollouts", "engine", self.spec, status)
        sinks = [g.knowledge.orders for g in self.gateways]

        def known() -> bool:
            return all(
                "engine" in s.orders and s.orders["engine"].state.ended for s in sinks
            )

        await self.until(known)

    def trials(self) -> list[dict]:
        """Return the trials that are under way on each VM."""
        return [g.versions.tasks for g in self.gateways]

    def stored_state(self) -> str | None:
        """Return the state of the order in the store."""
        stored = self.store.kinds.get("rollouts", {}).get("engine")
        return stored and stored.status and stored.status["state"]

    def allowed(self) -> list[frozenset | None]:
        """Return the versions that each VM may use."""
        return [g.versions.allowed("engine") for g in self.gateways]

    async def assert_outcome_kept(self, backup: Backup, state: str) -> None:
        """Restore the store; the outcome is written again, by one VM."""
        before = self.allowed()
        await self.restore(backup)
        await self.store.put("rollouts", "engine", self.spec)
        calls = self.store.calls["PUT rollouts"]
        await self.until(lambda: self.stored_state() == state)
        sinks = [g.knowledge.orders for g in self.gateways]
        await self.until_era(g.knowledge.order_follower for g in self.gateways)
        await self.until(lambda: not any(s.unanswered for s in sinks))
        self.assertEqual(self.trials(), [{}] * self.vms)
        self.assertEqual(self.allowed(), before)
        self.assertEqual(self.store.calls["PUT rollouts"] - calls, 1)

    async def test_the_outcome_of_an_order_that_the_store_has_lost(self):
        backup = self.store.copy()
        await self.complete("complete")
        await self.assert_outcome_kept(backup, "complete")

    async def test_a_version_that_was_withdrawn_gets_no_second_trial(self):
        backup = self.store.copy()
        await self.complete("rolled_back")
        await self.assert_outcome_kept(backup, "rolled_back")

    async def test_the_outcome_of_an_order_whose_status_is_lost(self):
        await self.store.put("rollouts", "engine", self.spec)
        backup = self.store.copy()
        await self.complete("complete")
        await self.restore(backup)
        await self.until(lambda: self.stored_state() == "complete")
        self.assertEqual(self.trials(), [{}] * self.vms)

    async def test_a_later_order_for_the_same_version_is_a_new_one(self):
        await self.complete("rolled_back")
        await self.store.put("rollouts", "engine", {**self.spec, "durationS": 50})
        await self.until(lambda: all("engine" in tasks for tasks in self.trials()))

    async def test_the_same_order_long_after_a_restore_is_a_new_one(self):
        backup = self.store.copy()
        await self.complete("rolled_back")
        await self.restore(backup)
        followers = [g.knowledge.order_follower for g in self.gateways]
        await self.until_era(followers)
        for gateway in self.gateways:
            gateway.knowledge.orders.rewritten_until = 0.0
        await self.store.put("rollouts", "engine", self.spec)
        await self.until(lambda: all("engine" in tasks for tasks in self.trials()))

    async def test_a_trial_that_is_under_way_goes_on(self):
        backup = self.store.copy()
        await self.store.put("rollouts", "engine", self.spec)
        await self.until(lambda: self.stored_state() == "active")
        await self.until(lambda: all("engine" in tasks for tasks in self.trials()))
        before = [tasks["engine"].trial for tasks in self.trials()]
        await self.restore(backup)
        await self.store.put("rollouts", "engine", self.spec)
        await self.until(lambda: self.stored_state() == "active")
        self.assertEqual([tasks["engine"].trial for tasks in self.trials()], before)


class VmEntryTest(RestoreCase):
    """A VM that entered the list of VMs after the backup."""

    async def test_it_is_entered_again(self):
        backup = self.store.copy()
        started = await self.add_gateway("vm-9", [self.gateway])
        name = started.context.vm
        await self.until(lambda: name in self.store.kinds["entry-vms"])
        self.share_list()
        await self.restore(backup)
        await self.until(lambda: name in self.store.kinds["entry-vms"])
