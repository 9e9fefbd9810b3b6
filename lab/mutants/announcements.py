# Licensed under the Apache License 2.0: see LICENSE for details.

"""What endpoints announce of themselves in their answers."""

from __future__ import annotations

from lab.mutants.mutation import Mutation

DRAINING = "tests.coordination.routed.test_announcements.DrainingEndpointUsedTest"
STARTS = "tests.coordination.routed.test_announcements.DrainingStartTest"
BACKOFFS = "tests.coordination.routed.test_backoffs"

MUTATIONS = [
    Mutation(
        "draining: read from successful answers only",
        "coordination/routed/announcements.py",
        "        if announced.draining:",
        "        if announced.draining and head.status == 200:",
        f"{DRAINING}.test_every_kind_of_answer_is_read",
    ),
    Mutation(
        "draining: an entry that says ready undoes it",
        "state/store/instances.py",
        "        elif self.draining.is_draining(name, instance.born):",
        "        elif False:",
        f"{STARTS}.test_entries_do_not_undo_it",
    ),
    Mutation(
        "draining: another start is held for the one that announced it",
        "state/store/draining.py",
        "        return None in (born, self.born) or born == self.born",
        "        return True",
        f"{STARTS}.test_a_late_answer_of_an_earlier_start",
    ),
    Mutation(
        "draining: used for as long as it answers",
        "state/store/draining.py",
        "        return now < self.since + share * drain_seconds",
        "        return True",
        "tests.state.store.test_draining.DrainingStartsTest",
    ),
    Mutation(
        "draining: other VMs are not told",
        "coordination/routed/draining.py",
        "        self.peers.broadcast_by_relays(DrainingNews((row,), for_all=True))",
        "        pass",
        "tests.coordination.routed.test_draining.DrainingNewsTest."
        "test_the_others_are_told",
    ),
    Mutation(
        "draining and backoff: a choice from before the announcement is used after it",
        "transport/connectors.py",
        "            if not may_send.get()():",
        "            if False:",
        f"{BACKOFFS}.ConnectingTest",
    ),
    Mutation(
        "backoff: the Retry-After of a 503 is not kept to",
        "coordination/routed/announcements.py",
        "        if announced.backoff_seconds:",
        "        if False:",
        f"{BACKOFFS}.BackoffIgnoredTest",
    ),
    Mutation(
        "backoff: an answer without it ends it",
        "coordination/routed/announcements.py",
        "        if announced.backoff_seconds:",
        "        if not announced.backoff_seconds:\n"
        "            self.backoffs.table.forget(instance.name)\n"
        "        else:",
        f"{BACKOFFS}.BackoffEndTest.test_an_answer_that_was_under_way_does_not_end_it",
    ),
    Mutation(
        "backoff: another start is held back",
        "coordination/routed/announcements.py",
        "        self.backoffs.on_instance(name, instance)",
        "        pass",
        f"{BACKOFFS}.BackoffTest.test_the_next_start_is_used",
    ),
    Mutation(
        "backoff: an earlier end replaces a later one",
        "state/routed/backoffs.py",
        "            until = max(until, before.until)",
        "            pass",
        "tests.state.routed.test_backoffs.BackoffTableTest",
    ),
    Mutation(
        "backoff: all that was held back is sent at once",
        "state/routed/backoffs.py",
        "        return max(0.0, self.last_send_at + RECOVERY_INTERVAL_SECONDS - now)",
        "        return 0.0",
        "tests.state.routed.test_backoffs.RecoveryTest",
    ),
    Mutation(
        "backoff: the endpoint's version is blamed",
        "coordination/routed/path.py",
        "                if not overloaded:",
        "                if True:",
        f"{BACKOFFS}.BlameTest",
    ),
    Mutation(
        "backoff: callers are given the endpoint's time",
        "coordination/routed/path.py",
        "        if answer.status != STATUS_UNAVAILABLE or not given:",
        "        if True:",
        f"{BACKOFFS}.CallerRetryAfterTest",
    ),
    Mutation(
        "retries: a first attempt that reached nobody gives a retry back",
        "coordination/routed/turn.py",
        "        self.retry_unsent = self.charge_sent",
        "        self.retry_unsent = True",
        "tests.coordination.routed.test_budgets.UnreachedTest",
    ),
]
