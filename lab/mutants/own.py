# Licensed under the Apache License 2.0: see LICENSE for details.

"""What both interfaces share, and our own."""

from __future__ import annotations

from lab.mutants.mutation import Mutation

MUTATIONS = [
    Mutation(
        "only allowed versions",
        "state/own/routing.py",
        "if owner is None or version not in owner.versions:",
        "if owner is None:",
        "tests.state.own.test_routing.AllowedTest",
    ),
    Mutation(
        "withdrawn: asked again right before the dispatch",
        "coordination/requests/paths.py",
        "refusal = self.no_longer_allowed(turn)",
        "refusal = None",
        "tests.processes.test_sessions.WithdrawnWhileWaitingTest",
    ),
    Mutation(
        "withdrawn: a cut hall ends it by itself",
        "state/own/routing.py",
        "if entry.unconfirmed_for and restrictions",
        "if False and restrictions",
        "tests.processes.test_configurations.CutHallTest."
        "test_a_young_version_ends_by_itself_and_a_settled_one_goes_on",
    ),
    Mutation(
        "a session keeps its version: the token binds",
        "state/own/routing.py",
        "    if pinned is None:\n        candidates",
        "    if True:\n        candidates",
        "tests.processes.test_sessions.SessionTest",
    ),
    Mutation(
        "a session keeps its version: bare sessions are kept twice",
        "coordination/own/pins.py",
        "if existing:\n            self.tokens",
        "if False:\n            self.tokens",
        "tests.processes.test_sessions.SessionTest."
        "test_a_bare_session_id_through_a_roll_out_and_a_lost_keeper",
    ),
    Mutation(
        "billed once: the position follows the stored numbers",
        "state/own/bills.py",
        "self.mark_stored_below(records[-1].number + 1)",
        "self.next_batch += len(records)",
        "tests.state.own.test_bills.InterleavingTest",
    ),
    Mutation(
        "billed once: a copy before the end mark",
        "coordination/own/billing.py",
        "missing = await self.keepers.send(peer, self.log, records, timeout)",
        "missing = None",
        "tests.processes.test_billed_once.BilledOnceTest.test_a_kill_between_answer_and_flush",
    ),
    Mutation(
        "billed once: a caller who leaves pays for what it got",
        "coordination/own/chats.py",
        "if forwarded.begun and not forwarded.billed:",
        "if False:",
        "tests.processes.test_whole_answers.WholeAnswerTest."
        "test_a_caller_who_leaves_is_billed_once_for_what_it_got",
    ),
    Mutation(
        "billed once: the copy stands in another hall",
        "coordination/own/billkeepers.py",
        "for wanted in Distance:",
        "for wanted in reversed(Distance):",
        "tests.processes.test_billed_once.BilledOnceTest.test_a_whole_hall_is_lost_before_the_flush",
    ),
    Mutation(
        "billed once: a peer that lacks earlier records requests them",
        "coordination/own/billing.py",
        "return BillsMissing(kept.end) if kept.has_gap() else BillTaken()",
        "return BillTaken()",
        "tests.coordination.own.test_billing.KeeperRestartTest",
    ),
    Mutation(
        "billed once: peers that failed recently are still asked",
        "coordination/own/billkeepers.py",
        "preferred or names",
        "preferred",
        "tests.coordination.own.test_billing.UncopiedAnswerTest",
    ),
    Mutation(
        "the whole answer: another request's answer is not passed on",
        "coordination/own/engines.py",
        "if headers.get(HEADER_REQUEST_ID) != call.dispatch:",
        "if False:",
        "tests.coordination.own.test_engines.ForeignAnswerTest",
    ),
    Mutation(
        "the whole answer: a broken stream is taken up",
        "coordination/own/engines.py",
        "RESUME_TRIES = 2",
        "RESUME_TRIES = 0",
        "tests.processes.test_whole_answers.WholeAnswerTest.test_a_broken_stream_is_taken_up_byte_for_byte",
    ),
    Mutation(
        "the true refusal: a stage that was left is of no use",
        "state/requests/stages.py",
        "if self.progress.stage_number != self.number:",
        "if False:",
        "tests.state.requests.test_requests",
    ),
    Mutation(
        "at most once: a silent holder may have dispatched",
        "state/own/claims.py",
        "if holder is None or holder is RunState.UNKNOWN:",
        "if holder is None:\n        return RepeatAction.TAKE_OVER\n"
        "    if holder is RunState.UNKNOWN:",
        "tests.processes.test_at_most_once.AtMostOnceTest.test_a_repeat_after_the_first_vm_was_killed",
    ),
    Mutation(
        "at most once: an abandoned claim's version goes on counting",
        "coordination/own/claims.py",
        "await self.platform.write(run.claim_name, claim.encode(), run.version)",
        "await self.platform.delete(run.claim_name, run.version)",
        "tests.state.own.test_claims.ReleaseTest",
    ),
    Mutation(
        "at most once: no repeat without the caller's leave",
        "coordination/own/turns.py",
        "return self.arrival.method in methods and not self.arrival.key",
        "return True",
        "tests.processes.test_at_most_once.RepeatableTest.test_one_that_may_not_be_repeated",
    ),
    Mutation(
        "a leaving endpoint: the first word wins",
        "state/requests/endpoints.py",
        "if state.incarnation and incarnation > state.incarnation:",
        "if True:",
        "tests.processes.test_whole_answers.LeavingTest",
    ),
    Mutation(
        "a leaving endpoint: peers are told",
        "coordination/own/endpoints.py",
        "if source is not LeavingSource.PEER:",
        "if False:",
        "tests.processes.test_whole_answers.LeavingTest.test_a_peers_word",
    ),
    Mutation(
        "a planned stop waits for what runs",
        "coordination/own/parts.py",
        "end = loop.time() + seconds",
        "end = 0.0",
        "tests.processes.test_billed_once.PlannedStopTest",
    ),
    Mutation(
        "a planned stop tells callers to leave their connections",
        "daemon/entry.py",
        "self.callers.server.draining = True",
        "self.callers.server.draining = False",
        "tests.processes.test_billed_once.PlannedStopTest."
        "test_a_caller_who_keeps_its_connection_is_never_cut",
    ),
    Mutation(
        "configuration: peers pass it on during an outage",
        "coordination/own/configurations.py",
        "if update.revision > self.head.revision:",
        "if False:",
        "tests.processes.test_configurations.SpreadTest.test_an_outage_right_after_acceptance",
    ),
    Mutation(
        "configuration: a restored store does not bring it back",
        "coordination/own/configurations.py",
        "if head.revision < self.head.revision:\n            await self._repair",
        "if False:\n            await self._repair",
        "tests.processes.test_configurations.SpreadTest."
        "test_a_restored_older_store_does_not_bring_it_back",
    ),
    Mutation(
        "configuration: one of two racing operators wins",
        "coordination/own/acceptance.py",
        "if if_revision is not None and head.revision != if_revision:",
        "if False:",
        "tests.processes.test_configurations.SpreadTest.test_racing_operators",
    ),
    Mutation(
        "faults in pairs, at most once: a silent holder may have dispatched",
        "state/own/claims.py",
        "if holder is None or holder is RunState.UNKNOWN:",
        "if holder is None:\n        return RepeatAction.TAKE_OVER\n"
        "    if holder is RunState.UNKNOWN:",
        "tests.processes.test_pairs",
    ),
    Mutation(
        "faults in pairs, billed once: a copy before the end mark",
        "coordination/own/billing.py",
        "missing = await self.keepers.send(peer, self.log, records, timeout)",
        "missing = None",
        "tests.processes.test_pairs",
    ),
    Mutation(
        "faults in pairs, configuration: one of two racing operators wins",
        "coordination/own/acceptance.py",
        "if if_revision is not None and head.revision != if_revision:",
        "if False:",
        "tests.processes.test_pairs",
    ),
    Mutation(
        "exposure: the counts of all VMs are one",
        "coordination/own/outcomecounts.py",
        "good, bad = self.count_table.receive(row)",
        "good, bad = 0, 0",
        "tests.state.own.test_rollouts.FleetRolloutTest."
        "test_failures_spread_over_all_vms_withdraw_the_version",
    ),
    Mutation(
        "exposure: two versions that do alike are alike",
        "state/own/sequential.py",
        "if self._is_worse():",
        "if True:",
        "tests.state.own.test_rollouts.SequentialTestTest",
    ),
    Mutation(
        "admission: what cannot be answered in time does not begin",
        "state/own/admission.py",
        "return deadline - self.mean_seconds",
        "return deadline",
        "tests.state.own.test_admission",
    ),
    Mutation(
        "a session stays with what has served it, whatever is learnt",
        "coordination/own/planning.py",
        "if served:",
        "if False:",
        "tests.state.own.test_learning.FleetLearningTest",
    ),
    Mutation(
        "leases: others wait until the holder's time is over",
        "state/own/leases.py",
        "return now > self.seen_at + self.value.seconds",
        "return True",
        "tests.state.own.test_leases.InterleavingTest",
    ),
    Mutation(
        "leases: a holder that slept is not in charge",
        "state/own/leases.py",
        "in_time = now + self.order_seconds < self.held_until",
        "in_time = self.held_until > 0",
        "tests.state.own.test_leases.InterleavingTest",
    ),
    Mutation(
        "leases: a renewal is seen though the platform keeps versions of what stays",
        "coordination/own/leases.py",
        "writes=self.value.writes + 1",
        "writes=0",
        "tests.state.own.test_leases.InterleavingTest",
    ),
]
