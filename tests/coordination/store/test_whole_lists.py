# Licensed under the Apache License 2.0: see LICENSE for details.

"""Whole lists that watchers send in the place of changes."""

from __future__ import annotations

import unittest

from tests.coordination.store.test_relaying import EraStore
from tests.revisions import revision_at
from walnutquay.coordination.store.relaying import RelayedFeed
from walnutquay.platform.feeds import Feed
from walnutquay.platform.objects import StoredObject
from walnutquay.protocol.messages import ChangesAre


class WholeListTest(unittest.IsolatedAsyncioTestCase):
    """A list that is sent in the place of changes tells what is gone.

    Guards against endpoints that stayed for good where the list had been looked at for
    changes before it was applied.
    """

    def feed(self, *names: str) -> Feed:
        feed = Feed(EraStore(), "servers", lambda stored: stored)
        revision = revision_at(len(names))
        found = [StoredObject(name, revision, {}) for name in names]
        feed._listing(found, revision)
        return feed

    async def test_deletions_are_told_though_it_was_looked_at(self):
        data = self.feed("a", "c", "d").export(revision_at(0))

        class OneWatcher:
            def includes_this(self) -> bool:
                return False

            async def wait_for_vms(self) -> None:
                return

            async def query(self, kind, revision, seconds, has_changes) -> ChangesAre:
                answer = ChangesAre(data, whole=True)
                self.has_changes = has_changes(answer)
                return answer

            def note_served(self, kind: str) -> None:
                return

        relayed = RelayedFeed(self.feed("a", "b"), OneWatcher())
        changes = await relayed.watch(revision_at(2), 1.0)
        self.assertTrue(relayed.watchers.has_changes)
        gone = [change.name for change in changes.changes if change.item is None]
        self.assertEqual(gone, ["b"])
