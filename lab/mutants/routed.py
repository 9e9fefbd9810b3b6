# Licensed under the Apache License 2.0: see LICENSE for details.

"""What serves the users' platform."""

from __future__ import annotations

from lab.mutants.mutation import Mutation

MUTATIONS = [
    Mutation(
        "relays: entries that lapse with the store are doubted by all",
        "coordination/store/relaying.py",
        "            self.on_store_returned(answer.returned)",
        "            pass",
        "tests.coordination.store.test_relaying.ReturnedStoreTest",
    ),
    Mutation(
        "relays: a VM that hears from others only is no source",
        "coordination/fleet/watchers.py",
        "if answer is None or not answer.direct:",
        "if answer is None:",
        "tests.coordination.store.test_relaying.WatchersTest."
        "test_a_vm_that_does_not_watch_the_store_is_no_source",
    ),
    Mutation(
        "roll-outs: versions that are slow in part are found",
        "state/trials/counts.py",
        "counts.bad_share < MIN_SLUGGISH_SHARE",
        "True",
        "tests.state.trials.test_trials.VerdictTest.test_partly_slow_version_is_bad",
    ),
    Mutation(
        "leaving endpoints: only the store's own return makes deletions doubtful",
        "coordination/store/knowledge.py",
        "if self.instance_follower.failing_since is not None:",
        "if True:",
        "tests.coordination.store.test_relaying.RelayedFeedTest."
        "test_the_return_of_a_watcher_to_a_vm_that_was_never_cut_off",
    ),
    Mutation(
        "leaving endpoints: watchers of all halls are asked",
        "coordination/fleet/watchers.py",
        "if silent and number >= len(near) + FAR_WATCHERS:",
        "if number >= len(near) + FAR_WATCHERS:",
        "tests.coordination.store.test_relaying.WatchersTest."
        "test_the_only_hall_that_the_store_serves_is_found",
    ),
    Mutation(
        "relays: a watcher that has not noticed its failure is believed",
        "coordination/fleet/watchers.py",
        "elif not (failing or in_doubt) or has_changes(answer):",
        "elif True:",
        "tests.coordination.store.test_relaying.WatchersTest."
        "test_a_watcher_that_has_not_noticed_its_failure_is_no_last_word",
    ),
    Mutation(
        "silent streams between VMs are replaced",
        "transport/peers.py",
        "connection.heard_at <= asked_at:",
        "False:",
        "tests.transport.test_peers.PeerNodeTest.test_a_stream_that_fell_silent_is_replaced",
    ),
    Mutation(
        "a VM that left is not brought back by an older list",
        "coordination/fleet/vmlist.py",
        "merged.pop(vm, None)",
        "pass",
        "tests.coordination.fleet.test_vmlist.AnnouncementTest."
        "test_vm_that_left_is_not_restored_by_older_list",
    ),
    Mutation(
        "a VM that starts learns from the others",
        "coordination/fleet/bootstrap.py",
        "if self.peers.is_seed:",
        "if True:",
        "tests.coordination.store.test_knowledge.StartingVmTest.test_no_list_is_read_from_the_store",
    ),
    Mutation(
        "planned stops: what crosses the close is not passed on",
        "transport/gateway.py",
        "if request.transport is None or request.transport.is_closing():",
        "if False:",
        "tests.daemon.test_gateway.StopTest."
        "test_a_request_that_crosses_the_close_is_not_passed_on",
    ),
    Mutation(
        "models: what others lose counts",
        "state/routed/modelchoice.py",
        "return MAX_RUN_COST * own + self.harm(model)",
        "return MAX_RUN_COST * own",
        "tests.state.routed.test_modelchoice.DecisionTest.test_busy_engines_get_fewer_requests",
    ),
    Mutation(
        "models: how far opinions scatter is learnt",
        "state/routed/gains.py",
        "deviations = sum(item.deviations for item in counts) / 2.0",
        "deviations = INITIAL_SCATTER * INITIAL_SCATTER * seen",
        "tests.state.routed.test_gains.ScatterTest.test_the_scatter_is_estimated",
    ),
    Mutation(
        "engines: those that cannot be connected to are not waited for",
        "coordination/routed/bodies.py",
        "unreachable = not connecting.done() and not await self.check_reachable()",
        "unreachable = False",
        "tests.coordination.routed.test_silence.UnreachableEngineTest",
    ),
    Mutation(
        "roll-outs: sessions that another VM keeps stay on the old version",
        "coordination/trials/versions.py",
        "if turn.session and trial.must_stay_on_old(turn.session, seen_on_new, now):",
        "if False:",
        "tests.coordination.trials.test_session_versions.SessionOfAnotherVmTest",
    ),
    Mutation(
        "roll-outs: a VM that starts takes up what others have decided",
        "coordination/trials/exchange.py",
        "trial.join(response.report, now)",
        "trial.open = True",
        "tests.coordination.trials.test_session_versions.StartingVmTest",
    ),
    Mutation(
        "roll-outs: what was decided is told twice",
        "coordination/trials/task.py",
        "DECISION_ANNOUNCEMENTS = 2",
        "DECISION_ANNOUNCEMENTS = 1",
        "tests.lab.test_trialfleet",
    ),
    Mutation(
        "roll-outs: a new version gets sessions when all VMs know which are kept",
        "coordination/trials/versions.py",
        "SETTLE_SECONDS = 1.0",
        "SETTLE_SECONDS = 0.0",
        "tests.lab.test_trialfleet",
    ),
    Mutation(
        "roll-outs: a session is in use while its stream lasts",
        "state/trials/sessionrecords.py",
        "return 0.0 if self.running else now - self.at",
        "return now - self.at",
        "tests.state.trials.test_sessionrecords",
    ),
    Mutation(
        "failures: a request that fails everywhere counts against no endpoint",
        "state/requests/failures.py",
        "return len(endpoints) == 1",
        "return True",
        "tests.coordination.requests.test_failures",
    ),
    Mutation(
        "suspended: what was under way ends at its deadline",
        "coordination/requests/limits.py",
        "limit.reschedule(loop_now + max(0.0, call.arrival.deadline - now))",
        "pass",
        "tests.coordination.requests.test_suspended.InFlightRequestTest",
    ),
    Mutation(
        "suspended: what is known is confirmed before the next request",
        "daemon/gatewayapi.py",
        "await self.knowledge.wait_confirmed()",
        "pass",
        "tests.coordination.requests.test_suspended.KnowledgeTest",
    ),
    Mutation(
        "an endpoint's next start has nothing of the one before",
        "coordination/store/sinks.py",
        'self._notify_gone(instance.name, "it has restarted")',
        "pass",
        "tests.coordination.store.test_restarts.StateResetTest",
    ),
    Mutation(
        "an entry that cannot be read any more names nothing",
        "platform/feeds.py",
        "if item is not None or event.deleted or self.drops_unreadable:",
        "if item is not None or event.deleted:",
        "tests.platform.test_unreadable.FleetTest.test_an_entry_that_could_be_read_before",
    ),
    Mutation(
        "trials: an answer that does not begin counts as soon as it is late",
        "coordination/trials/versions.py",
        "self.evaluator.check_overdue()",
        "pass",
        "tests.coordination.trials.test_versions.OverdueTest",
    ),
    Mutation(
        "trials: an answer of which nothing is known to be usual tells nothing",
        "coordination/trials/evaluation.py",
        "        if ratio is not None:\n            sluggish",
        "        ratio = ratio or 0.0\n        if True:\n            sluggish",
        "tests.coordination.trials.test_evaluation.NoBaselineTest.test_times_are_not_counted",
    ),
    Mutation(
        "trials: VMs tell each other what is usual",
        "coordination/trials/exchange.py",
        "self.baseline.receive(service, vm, update.report.usual)",
        "pass",
        "tests.coordination.trials.test_trialexchange.BaselineTest",
    ),
    Mutation(
        "trials: what lost VMs had seen is read in the store",
        "coordination/trials/exchange.py",
        "await self._recover(trial)",
        "pass",
        "tests.coordination.trials.test_trialrecord.CatchUpTest."
        "test_the_store_is_read_if_nobody_has_seen_answers",
    ),
    Mutation(
        "list of VMs: one that starts where its entry was left says that it is back",
        "coordination/fleet/vmlist.py",
        "if from_store and not self.first_start:",
        "if False:",
        "tests.coordination.fleet.test_vmlist.RestartTest."
        "test_vm_whose_entry_remained_is_sent_all_updates_again",
    ),
    Mutation(
        "list of VMs: any message of a later process shows that a VM is back",
        "daemon/gateway.py",
        "self.dispatcher.listeners.append(self.vm_list.detect_restart)",
        "pass",
        "tests.daemon.test_gateway.ReturnTest",
    ),
    Mutation(
        "list of VMs: those that are lost for good are taken out",
        "coordination/fleet/absentees.py",
        "return enough_checks and now - absence.since >= ABSENT_SECONDS",
        "return False",
        "tests.coordination.fleet.test_absentees.RemovalTest.test_lost_vms_are_removed",
    ),
    Mutation(
        "a caller who has left is not taken for the endpoint's failure",
        "daemon/streamreply.py",
        'raise CallerGoneError(str(error), step="answer") from error',
        "raise",
        "tests.coordination.routed.test_silence.ClosingConnectionTest",
    ),
    Mutation(
        "emptied halls: their endpoints are chosen all the same",
        "state/store/instances.py",
        "and instance.hall not in self.emptied",
        "and True",
        "tests.coordination.store.test_emptied.SendingTest",
    ),
    Mutation(
        "cold endpoints: each VM sends as if it were their only keeper",
        "coordination/routed/cold.py",
        "if self.context.vm not in assigned_senders(instance.name, vms, count):",
        "if False:",
        "tests.coordination.routed.test_cold.SeveralVmsTest",
    ),
    Mutation(
        "cold endpoints: what is sent there is not counted",
        "coordination/routed/cold.py",
        "self.endpoints.record_send(instance.name, quota.count, now)",
        "pass",
        "tests.coordination.routed.test_cold.SendingTest",
    ),
    Mutation(
        "a hall that was emptied: its endpoints are warm at once",
        "daemon/routing.py",
        "self.knowledge.halls.back_listeners.append(admission.cold.on_hall_back)",
        "pass",
        "tests.coordination.routed.test_cold.HallBackTest",
    ),
    Mutation(
        "connections made of sockets: given up midway",
        "transport/loops.py",
        "return await asyncio.shield(opening)",
        "return await opening",
        "tests.transport.test_loops",
    ),
    Mutation(
        "regions: a route's endpoints are asked wherever they stand",
        "coordination/routed/candidates.py",
        "allowed = filter_by_region(found, need.regions, self.region_of)",
        "allowed = found",
        "tests.coordination.requests.test_regions.RouteRegionsTest",
    ),
]
