# Licensed under the Apache License 2.0: see LICENSE for details.

"""What serves the users' platform."""

from __future__ import annotations

from lab.mutants.mutation import Mutation

MUTATIONS = [
    Mutation(
        "relays: entries that lapse with the store are doubted by all",
        "coordination/store/relaying.py",
        "            self.on_returned(answer.returned)",
        "            pass",
        "tests.test_relaying.ReturnedStoreTest",
    ),
    Mutation(
        "relays: a VM that hears from others only is no source",
        "coordination/fleet/watchers.py",
        "if answer is None or not answer.direct:",
        "if answer is None:",
        "tests.test_relaying.WatchersTest."
        "test_one_that_hears_from_others_only_is_no_source",
    ),
    Mutation(
        "roll-outs: versions that are slow in part are found",
        "state/trialcounts.py",
        "counts.bad_share < MIN_SLUGGISH_SHARE",
        "True",
        "tests.test_trials.VerdictTest.test_a_version_that_is_slow_in_part",
    ),
    Mutation(
        "leaving endpoints: only the store's own return makes deletions doubtful",
        "coordination/store/knowledge.py",
        "if self.instance_follower.failing_since is not None:",
        "if True:",
        "tests.test_relaying.RelayedFeedTest."
        "test_a_watcher_that_returns_to_a_vm_that_was_never_cut_off",
    ),
    Mutation(
        "leaving endpoints: watchers of all halls are asked",
        "coordination/fleet/watchers.py",
        "if silent and number >= len(near) + FAR_WATCHERS:",
        "if number >= len(near) + FAR_WATCHERS:",
        "tests.test_relaying.WatchersTest."
        "test_the_only_one_that_the_store_serves_is_found",
    ),
    Mutation(
        "silent streams between VMs are replaced",
        "transport/peers.py",
        "connection.heard_at <= asked_at:",
        "False:",
        "tests.test_peers.PeerNodeTest.test_a_stream_that_fell_silent_is_replaced",
    ),
    Mutation(
        "what is given up does not arrive later",
        "transport/client.py",
        "if transport is None or self._answer_is_whole():",
        "if True:",
        "tests.test_silence.GivenUpTest.test_what_waits_on_a_full_link",
    ),
    Mutation(
        "a VM that left is not brought back by an older list",
        "coordination/fleet/vmlist.py",
        "merged.pop(vm, None)",
        "pass",
        "tests.test_vmlist.NewsTest."
        "test_one_that_left_is_not_brought_back_by_an_older_list",
    ),
    Mutation(
        "a VM that starts learns from the others",
        "coordination/fleet/starting.py",
        "if self.peers.is_seed:",
        "if True:",
        "tests.test_knowledge.StartingVmTest.test_without_any_call_for_a_list",
    ),
    Mutation(
        "the whole answer: a reset is noticed late",
        "transport/client.py",
        "None if framed else answer._protocol",
        "None if framed or answer.connection is None else answer._protocol",
        "tests.test_routed.WholeBodyTest."
        "test_a_reset_is_noticed_after_the_connection_is_let_go_of",
    ),
    Mutation(
        "planned stops: what crosses the close is not passed on",
        "transport/gateway.py",
        "if request.transport is None or request.transport.is_closing():",
        "if False:",
        "tests.test_gateway.StopTest."
        "test_a_request_that_crosses_the_close_is_not_passed_on",
    ),
    Mutation(
        "models: what others lose counts",
        "state/sizing.py",
        "return DEAREST_RUN * own + self.harm(model)",
        "return DEAREST_RUN * own",
        "tests.test_sizing.StepTest.test_on_busy_engines_less_is_asked",
    ),
    Mutation(
        "models: how far opinions scatter is learnt",
        "state/gains.py",
        "deviations = sum(item.deviations for item in counts) / 2.0",
        "deviations = FIRST_SCATTER * FIRST_SCATTER * seen",
        "tests.test_gains.ScatterTest.test_it_is_learnt",
    ),
    Mutation(
        "engines: those that cannot be connected to are not waited for",
        "coordination/routed/bodies.py",
        "given_up = not waiting.done() and not await self.still_there()",
        "given_up = False",
        "tests.test_silence.DarkEngineTest",
    ),
    Mutation(
        "roll-outs: sessions that another VM keeps stay on the old version",
        "coordination/trials/versions.py",
        "if turn.session and trial.keeps(turn.session, seen_on_new, now):",
        "if False:",
        "tests.test_session_versions.SessionOfAnotherVmTest",
    ),
    Mutation(
        "roll-outs: a VM that starts takes up what others have decided",
        "coordination/trials/news.py",
        "trial.join(told.report, now)",
        "trial.open = True",
        "tests.test_session_versions.StartingVmTest",
    ),
    Mutation(
        "roll-outs: what was decided is told twice",
        "coordination/trials/task.py",
        "DECIDED_TELLS = 2",
        "DECIDED_TELLS = 1",
        "tests.test_trialfleet",
    ),
    Mutation(
        "roll-outs: a new version gets sessions when all VMs know which are kept",
        "coordination/trials/versions.py",
        "SETTLE_SECONDS = 1.0",
        "SETTLE_SECONDS = 0.0",
        "tests.test_trialfleet",
    ),
    Mutation(
        "roll-outs: a session is in use while its stream lasts",
        "state/sessionnotes.py",
        "return 0.0 if self.running else now - self.at",
        "return now - self.at",
        "tests.test_sessionnotes",
    ),
    Mutation(
        "ends of endpoints: a request that ends them is kept from the others",
        "coordination/requests/paths.py",
        "refusal = self.still_allowed(turn) or self._blocked(turn, placed.ok)",
        "refusal = self.still_allowed(turn)",
        "tests.test_crashes.CrashingRequestTest",
    ),
    Mutation(
        "ends of endpoints: the same for chats",
        "coordination/requests/paths.py",
        "refusal = self.still_allowed(turn) or self._blocked(turn, placed.ok)",
        "refusal = self.still_allowed(turn)",
        "tests.test_crashing_chats",
    ),
    Mutation(
        "ends of endpoints: VMs tell each other",
        "coordination/requests/crashes.py",
        "self.peers.tell_all(CrashNews(tuple(traces[first : first + TRACES_TOLD])))",
        "pass",
        "tests.test_crashfleet",
    ),
    Mutation(
        "ends of endpoints: a VM that heard nothing compares",
        "coordination/requests/crashes.py",
        "self.peers.tell(CrashDigest(self.book.digest()))",
        "pass",
        "tests.test_crashes.LateVmTest.test_one_that_heard_nothing_while_it_was_cut_off",
    ),
    Mutation(
        "ends of endpoints: kept for VMs that start after all were lost",
        "coordination/requests/crashrecord.py",
        'self.watch.take(decode_traces(stored.value), "the store")',
        "pass",
        "tests.test_crashes.LateVmTest.test_all_were_lost",
    ),
    Mutation(
        "ends of endpoints: an answer clears a request",
        "coordination/requests/paths.py",
        "self.parts.crashes.answered(turn.arrival, target, grant.name)",
        "pass",
        "tests.test_crashes.BesideTest",
    ),
    Mutation(
        "ends of endpoints: what was only beside is not blocked",
        "state/culprits.py",
        "chosen = _without_spare_ones(_cover(suspects))",
        "chosen = suspects",
        "tests.test_crashbook.BesideTest",
    ),
    Mutation(
        "ends of endpoints: news of the others are waited for",
        "coordination/requests/crashes.py",
        "if self.book.is_blocked(arrival.fingerprint(), target):",
        "if False:",
        "tests.test_crashfleet.CrashFleetTest."
        "test_one_ends_three_engines_and_others_are_served",
    ),
    Mutation(
        "ends of endpoints: another version is tried once",
        "state/crashes.py",
        "return len(self._ends_at(fingerprint, target)) >= ENDS_OF_KNOWN_ONE",
        "return False",
        "tests.test_crashes.MendedTest",
    ),
    Mutation(
        "ends of endpoints: copies under way are ended",
        "coordination/requests/paths.py",
        "parts.crashes.stoppers.append(self.limits.stop)",
        "pass",
        "tests.test_crashes.CopiesTest",
    ),
    Mutation(
        "suspended: what was under way ends at its deadline",
        "coordination/requests/limits.py",
        "limit.reschedule(loop_now + max(0.0, held.arrival.deadline - now))",
        "pass",
        "tests.test_suspended.RequestTest",
    ),
    Mutation(
        "suspended: what is known is confirmed before the next request",
        "daemon/gatewayapi.py",
        "await self.knowledge.settled()",
        "pass",
        "tests.test_suspended.KnowledgeTest",
    ),
    Mutation(
        "an endpoint's next start has nothing of the one before",
        "coordination/store/sinks.py",
        'self._tell_gone(instance.name, "it has started again")',
        "pass",
        "tests.test_restarts.ForgettingTest",
    ),
    Mutation(
        "an entry that cannot be read any more names nothing",
        "platform/feeds.py",
        "if item is not None or event.deleted or self.drops_unreadable:",
        "if item is not None or event.deleted:",
        "tests.test_unreadable.FleetTest.test_an_entry_that_could_be_read_before",
    ),
]
