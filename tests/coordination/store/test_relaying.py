# Licensed under the Apache License 2.0: see LICENSE for details.

"""Changes of the store that are relayed to VMs which do not watch it themselves."""

from __future__ import annotations

import math
import random
import unittest
from types import SimpleNamespace
from unittest import mock

from standins.link import Link
from tests.gatewaycase import GatewayCase, catalogue
from tests.revisions import revision_at
from walnutquay.coordination.fleet import watchers as watchers_module
from walnutquay.coordination.fleet.watchers import SMALL_FLEET, Watchers
from walnutquay.coordination.store import relaying
from walnutquay.coordination.store.following import watch_times
from walnutquay.coordination.store.relaying import RelayedFeed
from walnutquay.daemon.gateway import GatewayDaemon
from walnutquay.exceptions import HistoryGoneError, PeerError
from walnutquay.platform.feeds import KEPT_BATCHES, Batch, Feed
from walnutquay.platform.objects import StoredEvent, StoredObject
from walnutquay.platform.store import WATCH_SLACK_SECONDS
from walnutquay.protocol.messages import ChangesAre
from walnutquay.state.fleet.membership import Address, VmLocation
from walnutquay.state.process.ids import HallName, VmName
from walnutquay.state.process.metrics import Metrics
from walnutquay.state.process.revisions import EraTracker

HALLS = ("h1", "h2", "h3")
PER_HALL = 6
# The number of VMs in each hall that watch the store.
WATCHERS = 1


def fleet(count: int = PER_HALL) -> dict[VmName, VmLocation]:
    """Return a fleet with a number of VMs in each data hall.

    :param count: the number of VMs in each hall.
    """
    return {
        VmName(f"{hall}-{number}"): VmLocation(Address(hall, number), HallName(hall))
        for hall in HALLS
        for number in range(count)
    }


class FakeNode:
    """Answers on behalf of VMs that are up, and records which VMs were called."""

    def __init__(self) -> None:
        self.answers: dict[Address, ChangesAre] = {}
        self.called: list[str] = []

    async def call(self, address, body, limit, peer):
        """Return the answer that is set for an address."""
        self.called.append(peer)
        if address not in self.answers:
            raise PeerError("no answer", peer=peer)
        return self.answers[address]


def watchers(vm: str, known: dict[VmName, VmLocation]) -> Watchers:
    """Return the watchers as one VM sees them."""
    context = SimpleNamespace(
        vm=VmName(vm),
        hall=HallName(vm[:2]),
        rng=random.Random(1),
        metrics=Metrics(),
    )
    peers = SimpleNamespace(known=known, size=len(known), node=FakeNode())
    return Watchers(context, peers)


class WatchersTest(unittest.IsolatedAsyncioTestCase):
    """Which VMs watch the store, and which are queried by the others."""

    def watching(self, known: dict[VmName, VmLocation]) -> list[VmName]:
        """Return the VMs that treat themselves as watchers."""
        return [vm for vm in known if watchers(vm, known).includes_this()]

    def test_all_of_a_small_fleet(self):
        known = fleet(SMALL_FLEET // len(HALLS))
        self.assertEqual(self.watching(known), list(known))

    def test_some_of_each_hall(self):
        for per_hall in (2, PER_HALL, 40):
            found = self.watching(fleet(per_hall))
            for hall in HALLS:
                in_hall = [vm for vm in found if vm.startswith(hall)]
                self.assertEqual(len(in_hall), WATCHERS)

    def follower(self) -> tuple[Watchers, list[VmName], dict[VmName, VmLocation]]:
        """Return a VM that does not watch, the watchers of its hall, and the fleet."""
        known = fleet()
        near = [vm for vm in self.watching(known) if vm.startswith("h1")]
        vm = next(vm for vm in known if vm.startswith("h1") and vm not in near)
        return watchers(vm, known), near, known

    async def test_a_silent_watcher_is_replaced_by_another(self):
        found, near, known = self.follower()
        node = found.peers.node
        for vm, place in known.items():
            if vm not in near:
                node.answers[place.address] = ChangesAre(direct=vm.startswith("h2"))
        await found.query("servers", revision_at(1), 0.0)
        self.assertEqual(set(node.called[:WATCHERS]), set(near))
        node.called.clear()
        await found.query("servers", revision_at(1), 0.0)
        self.assertFalse(set(node.called) & set(near))

    async def test_the_answer_of_a_vm_that_the_store_serves_is_used(self):
        found, _, known = self.follower()
        node = found.peers.node
        for vm, place in known.items():
            node.answers[place.address] = ChangesAre(failing=vm.startswith("h1"))
        answer = await found.query("servers", revision_at(1), 0.0)
        self.assertFalse(answer.failing)
        self.assertEqual(len(node.called), WATCHERS + 1)

    async def test_the_only_hall_that_the_store_serves_is_found(self):
        found, _, known = self.follower()
        node = found.peers.node
        for served in ("h2", "h3"):
            for vm, place in known.items():
                is_failing = not vm.startswith(served)
                node.answers[place.address] = ChangesAre(failing=is_failing)
            answer = await found.query("servers", revision_at(1), 0.0)
            self.assertFalse(answer.failing, served)

    async def test_a_watcher_that_has_not_noticed_its_failure_is_no_last_word(self):
        found, _, known = self.follower()
        node = found.peers.node
        news = ChangesAre(b"news")
        for unaware in ("h2", "h3"):
            for vm, place in known.items():
                is_failing = vm.startswith("h1")
                old = is_failing or vm.startswith(unaware)
                node.answers[place.address] = (
                    ChangesAre(failing=is_failing) if old else news
                )
            for _ in range(4):
                answer = await found.query(
                    "config", revision_at(1), 0.0, lambda one: bool(one.data)
                )
                self.assertEqual(answer, news, unaware)

    async def test_after_a_timeout_not_all_halls_are_queried(self):
        found, near, _ = self.follower()
        self.assertIsNone(await found.query("servers", revision_at(1), 0.0))
        self.assertEqual(len(found.peers.node.called), len(near) + 1)

    async def test_a_vm_that_does_not_watch_the_store_is_no_source(self):
        found, _, known = self.follower()
        for place in known.values():
            found.peers.node.answers[place.address] = ChangesAre(direct=False)
        self.assertIsNone(await found.query("servers", revision_at(1), 0.0))


class EraStore:
    """Knows of no restore of the store."""

    def __init__(self) -> None:
        self.eras = EraTracker()


class ExportTest(unittest.TestCase):
    """Exported changes are complete, or the export fails."""

    def feed(self) -> Feed:
        """Return a feed without a store."""
        return Feed(EraStore(), "servers", lambda stored: stored)

    def batch(self, revision: int, deleted: bool = False) -> Batch:
        """Return a change of one object.

        :param revision: the revision of the change.
        :param deleted: whether the object was deleted.
        """
        stored = StoredObject(f"i-{revision}", revision_at(revision), {"n": revision})
        return Batch(revision_at(revision), (StoredEvent(stored, deleted),))

    def test_changes_are_read_as_exported(self):
        source, target = self.feed(), self.feed()
        for revision in (3, 5, 8):
            source._changes(self.batch(revision, deleted=revision == 5))
        changes = target.read_changes(source.export_changes(revision_at(3)))
        self.assertEqual([change.name for change in changes.changes], ["i-5", "i-8"])
        self.assertIsNone(changes.changes[0].item)
        self.assertEqual(changes.revision, revision_at(8))
        # Changes that were read from an export can be exported again.
        self.assertEqual(
            target.export_changes(revision_at(3)), source.export_changes(revision_at(3))
        )

    def test_changes_that_are_no_longer_kept(self):
        source = self.feed()
        for revision in range(1, KEPT_BATCHES + 3):
            source._changes(self.batch(revision))
        self.assertEqual(source.batches_since, revision_at(2))
        with self.assertRaises(HistoryGoneError):
            source.export_changes(revision_at(1))
        source.export_changes(revision_at(2))


class ReturnedStoreTest(unittest.IsolatedAsyncioTestCase):
    """The store's return is reported before changes, so deletions are unconfirmed."""

    async def test_the_return_is_reported_before_the_changes(self):
        calls: list[str] = []

        class DirectFeed:
            kind = "servers"

            def read_changes(self, data: bytes) -> None:
                calls.append(f"changes {data.decode()}")

        class OneWatcher:
            def includes_this(self) -> bool:
                return False

            async def wait_for_vms(self) -> None:
                return

            async def query(self, kind, revision, seconds, _) -> ChangesAre:
                return ChangesAre(b"gone", returned=returned)

            def note_served(self, kind: str) -> None:
                return

        feed = RelayedFeed(
            DirectFeed(), OneWatcher(), lambda ago: calls.append(f"back for {ago}")
        )
        returned = 0.5
        await feed.watch(revision_at(3), 1.0)
        returned = math.inf
        await feed.watch(revision_at(3), 1.0)
        self.assertEqual(calls, ["back for 0.5", "changes gone", "changes gone"])


class RelayedFeedTest(GatewayCase):
    """Three VMs of one data hall, one of which watches the store."""

    async def asyncSetUp(self) -> None:
        faster = ((watchers_module, "SMALL_FLEET", 1), (relaying, "POLL_SECONDS", 0.3))
        for module, name, value in faster:
            patch = mock.patch.object(module, name, value)
            patch.start()
            self.addCleanup(patch.stop)
        await super().asyncSetUp()
        for name in ("vm-2", "vm-3"):
            await self.add_gateway(name)
        known = {
            gateway.context.vm: VmLocation(gateway.peers.own, gateway.context.hall)
            for gateway in self.gateways
        }
        for gateway in self.gateways:
            gateway.vm_list.tasks.stop()
            gateway.peers.known = dict(known)
        self.follower = next(g for g in self.gateways if not self.watches(g))
        for gateway in self.gateways:
            for follower in gateway.knowledge.followers():
                follower.query_now()
        feeds = [f.feed for f in self.follower.knowledge.followers()]
        await self.until(lambda: not any(feed.watching for feed in feeds))

    def watches(self, gateway: GatewayDaemon) -> bool:
        """Return whether a VM treats itself as a watcher."""
        return gateway.knowledge.instance_follower.feed.watchers.includes_this()

    async def test_changes_arrive_without_calls_to_the_store(self):
        self.follower.store.base = "http://127.0.0.1:9/v1/objects"
        await self.store.put("config", "main", catalogue(2))
        await self.store.remove("servers", "p1")
        knowledge = self.follower.knowledge
        await self.until(lambda: knowledge.catalogue.current.version == 2)
        await self.until(lambda: "p1" not in knowledge.instances.registry.known)
        self.assertIsNone(knowledge.catalogue_follower.failing_since)

    async def test_without_watchers_the_vm_watches_the_store(self):
        for gateway in self.gateways:
            if gateway is not self.follower:
                await gateway.node.stop()
        await self.store.put("config", "main", catalogue(2))
        knowledge = self.follower.knowledge
        await self.until(lambda: knowledge.catalogue.current.version == 2)

    async def test_changes_arrive_though_the_watcher_is_turned_away(self):
        # Its neighbours kept a revoked key and a gone endpoint until it was served.
        watcher = next(g for g in self.gateways if self.watches(g))
        watcher.store.base = "http://127.0.0.1:9/v1/objects"
        for follower in watcher.knowledge.followers():
            follower.query_now()
        await self.store.put("config", "main", catalogue(2))
        await self.store.remove("servers", "p1")
        for gateway in self.gateways:
            knowledge = gateway.knowledge
            await self.until(lambda one=knowledge: one.catalogue.current.version == 2)
            await self.until(
                lambda one=knowledge: "p1" not in one.instances.registry.known
            )

    async def test_deletions_during_an_outage_are_unconfirmed_here_too(self):
        self.store.refuse = 503
        followers = [f for g in self.gateways for f in g.knowledge.followers()]
        for follower in followers:
            # Otherwise, watches that the store already holds would still be answered.
            follower.query_now()
        await self.until(lambda: all(f.failing_since is not None for f in followers))
        await self.store.remove("servers", "p1")
        self.store.refuse = None
        registry = self.follower.knowledge.instances.registry
        await self.until(lambda: "p1" in registry.overdue)
        self.assertIn("p1", registry.known)

    async def test_a_deletion_applies_if_only_the_watcher_was_cut_off(self):
        source = self.follower.knowledge.instance_follower.feed.watchers
        original_ask = source.query
        cut = True

        async def query(kind, revision, seconds, has_changes):
            if cut:
                return ChangesAre(failing=True)
            return await original_ask(kind, revision, seconds, has_changes)

        source.query = query
        knowledge = self.follower.knowledge
        await self.until(lambda: knowledge.instance_follower.failing_since is not None)
        await self.store.remove("servers", "p1")
        cut = False
        await self.until(lambda: knowledge.instance_follower.failing_since is None)
        await self.until(
            lambda: (
                "p1" not in knowledge.instances.registry.known
                or "p1" in knowledge.instances.registry.overdue
            )
        )
        self.assertNotIn("p1", knowledge.instances.registry.known)

    async def test_a_watcher_whose_connections_to_the_store_stalled(self):
        watcher = next(g for g in self.gateways if self.watches(g))
        host, _, port = self.store.address.partition(":")
        link = Link((host, int(port)))
        await link.start()
        self.addCleanup(link.stop)
        watcher.store.base = f"http://{host}:{link.port}/v1/objects"
        for follower in watcher.knowledge.followers():
            follower.query_now()
        await self.until(lambda: len(link.writers) >= 6)
        link.silence()
        await self.store.remove("servers", "p1")
        # The stall is noticed only when a watch is overdue, so this fails if watches
        # last for longer than the test waits.
        registry = self.follower.knowledge.instances.registry
        await self.until(lambda: "p1" not in registry.known)

    def test_a_silent_store_is_noticed_while_leaving_endpoints_are_served(self):
        # The shortest times that the users' deployments set, and longer ones.
        for seconds in (2.0, 4.0, 8.0):
            times = watch_times(seconds, seconds, seconds)
            noticed = times.endpoints + WATCH_SLACK_SECONDS
            self.assertLess(noticed + watchers_module.ANSWER_SECONDS, seconds)
            noticed = times.configuration + WATCH_SLACK_SECONDS
            self.assertLessEqual(noticed, seconds)
            noticed = times.halls + WATCH_SLACK_SECONDS
            self.assertLessEqual(noticed, seconds)

    async def test_the_return_of_a_watcher_to_a_vm_that_was_never_cut_off(self):
        knowledge = self.follower.knowledge
        self.assertIsNone(knowledge.instance_follower.failing_since)
        knowledge.store_returned_to_watcher(0.0)
        await self.store.remove("servers", "p1")
        await self.until(lambda: "p1" not in knowledge.instances.registry.known)
        self.assertNotIn("p1", knowledge.instances.registry.overdue)
        self.assertLess(knowledge.instances.registry.deletions_unconfirmed_until, 0.0)

    async def test_a_watcher_without_the_history_sends_the_full_list(self):
        for gateway in self.gateways:
            for follower in gateway.knowledge.followers():
                follower.feed.direct.batches_since = revision_at(10**6)
        self.follower.store.base = "http://127.0.0.1:9/v1/objects"
        await self.store.put("config", "main", catalogue(2))
        await self.store.remove("servers", "p1")
        knowledge = self.follower.knowledge
        await self.until(lambda: knowledge.catalogue.current.version == 2)
        await self.until(lambda: "p1" not in knowledge.instances.registry.known)
        self.assertIn("p2", knowledge.instances.registry.known)
        self.assertIsNone(knowledge.catalogue_follower.failing_since)
