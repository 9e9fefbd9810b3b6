# Licensed under the Apache License 2.0: see LICENSE for details.

"""Puts together what the daemon follows in the platform's store."""

from __future__ import annotations

from dataclasses import dataclass

from walnutquay.coordination.fleet.bootstrap import Bootstrap
from walnutquay.coordination.fleet.peers import FleetPeers
from walnutquay.coordination.fleet.watchers import Watchers
from walnutquay.coordination.process.context import Context
from walnutquay.coordination.store.following import watch_times
from walnutquay.coordination.store.knowledge import Knowledge
from walnutquay.coordination.store.relaying import RelayedFeed
from walnutquay.platform.feeds import (
    Unreadable,
    catalogue_feed,
    emptied_feed,
    instance_feed,
    order_feed,
)
from walnutquay.platform.store import StoreClient
from walnutquay.protocol.messages import AskKnown, KnownIs
from walnutquay.sections import PromisesSection
from walnutquay.state.process.events import EventKind
from walnutquay.state.process.revisions import StoreRevision

# VMs that do not watch the store ask those that do so much more often: a watcher that
# falls silent is to be noticed, and another asked, in the same time.
POLL_SHARE = 0.5


@dataclass(frozen=True)
class StoreLinks:
    """The ways by which a VM hears of the store's objects.

    :param context: what this process shares.
    :param store: the store itself.
    :param peers: the other VMs.
    :param watchers: those of them that watch the store.
    :param starting: what one of them tells this one as it starts.
    """

    context: Context
    store: StoreClient
    peers: FleetPeers
    watchers: Watchers
    starting: Bootstrap

    def knowledge(self, promises: PromisesSection, first_start: bool) -> Knowledge:
        """:param promises: the limits that the platform's operators set.

        :param first_start: whether no other VM can know anything yet.
        """
        times = watch_times(
            promises.config_seconds, promises.drain_seconds, promises.empty_seconds
        )
        catalogues = catalogue_feed(self.store)
        instances = instance_feed(self.store)
        orders = order_feed(self.store)
        halls = emptied_feed(self.store)
        for feed in (catalogues, instances, orders, halls):
            feed.on_unreadable = self._tell_unreadable
        made = Knowledge(
            self.context,
            RelayedFeed(
                catalogues,
                self.watchers,
                poll=times.configuration * POLL_SHARE,
                starting=self.starting,
            ),
            RelayedFeed(
                instances,
                self.watchers,
                lambda ago: made.store_returned_to_watcher(ago),
                times.endpoints * POLL_SHARE,
                self.starting,
            ),
            RelayedFeed(orders, self.watchers, starting=self.starting),
            RelayedFeed(
                halls,
                self.watchers,
                poll=times.halls * POLL_SHARE,
                starting=self.starting,
            ),
            self._ask_peers,
            times,
            self.store.eras,
            compares=self.peers.is_seed and not first_start,
            others_run=not first_start,
        )
        return made

    def _tell_unreadable(self, found: Unreadable) -> None:
        self.context.metrics.count(f"unreadable_{found.kind}")
        self.context.timeline.emit(
            EventKind.UNREADABLE,
            detail=found.reason,
            object_kind=found.kind,
            name=found.name,
            revision=found.revision.number,
        )

    async def _ask_peers(self, kind: str, revision: StoreRevision) -> bytes:
        answer = await self.peers.query(AskKnown(kind, revision))
        return answer.data if isinstance(answer, KnownIs) else b""
