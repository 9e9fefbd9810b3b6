# Licensed under the Apache License 2.0: see LICENSE for details.

"""Shows that each guarantee's proof fails where its mechanism is taken out.

``python -m lab.mutations [NUMBER ...]`` copies the tree, takes one mechanism out
at a time, and runs the tests that prove it; each must fail.
"""

from __future__ import annotations

import shutil
import subprocess
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).parent.parent
COPIED = ("walnutquay", "standins", "tests", "demo", "lab")


@dataclass(frozen=True)
class Mutation:
    """A mechanism that is taken out.

    :param guarantee: what it serves.
    :param file: where it is.
    :param old: the text that is replaced.
    :param new: what by.
    :param test: what must fail then.
    """

    guarantee: str
    file: str
    old: str
    new: str
    test: str


MUTATIONS = [
    Mutation(
        "only allowed versions",
        "state/routing.py",
        "if owner is None or version not in owner.versions:",
        "if owner is None:",
        "tests.test_routing.AllowedTest",
    ),
    Mutation(
        "withdrawn: asked again right before the dispatch",
        "coordination/requests/paths.py",
        "refusal = self.still_allowed(turn)",
        "refusal = None",
        "tests.test_sessions.WithdrawnWhileWaitingTest",
    ),
    Mutation(
        "withdrawn: a cut hall ends it by itself",
        "state/routing.py",
        "if entry.unconfirmed_for and doubts",
        "if False and doubts",
        "tests.test_configurations.CutHallTest."
        "test_a_young_version_ends_by_itself_and_a_settled_one_goes_on",
    ),
    Mutation(
        "a session keeps its version: the token binds",
        "state/routing.py",
        "    if pinned is None:\n        candidates",
        "    if True:\n        candidates",
        "tests.test_sessions.SessionTest",
    ),
    Mutation(
        "a session keeps its version: bare sessions are kept twice",
        "coordination/own/pins.py",
        "if standing:\n            self.tokens",
        "if False:\n            self.tokens",
        "tests.test_sessions.SessionTest."
        "test_a_bare_session_id_through_a_roll_out_and_a_lost_keeper",
    ),
    Mutation(
        "billed once: the position follows the stored numbers",
        "state/bills.py",
        "self.skip_to(records[-1].number + 1)",
        "self.next_batch += len(records)",
        "tests.test_bills.InterleavingTest",
    ),
    Mutation(
        "billed once: a copy before the end mark",
        "coordination/own/billing.py",
        "safe = await self._copy([item.record for item in batch])",
        "safe = True",
        "tests.test_billed_once.BilledOnceTest.test_a_kill_between_answer_and_flush",
    ),
    Mutation(
        "billed once: a caller who leaves pays for what it got",
        "coordination/own/chats.py",
        "if passed.begun and not passed.billed:",
        "if False:",
        "tests.test_whole_answers.WholeAnswerTest."
        "test_a_caller_who_leaves_is_billed_once_for_what_it_got",
    ),
    Mutation(
        "billed once: the copy stands in another hall",
        "coordination/own/billing.py",
        "for wanted in Distance:",
        "for wanted in reversed(Distance):",
        "tests.test_billed_once.BilledOnceTest.test_a_whole_hall_is_lost_before_the_flush",
    ),
    Mutation(
        "the whole answer: another request's answer is not passed on",
        "coordination/own/engines.py",
        "if headers.get(HEADER_REQUEST_ID) != call.dispatch:",
        "if False:",
        "tests.test_whole_answers.WholeAnswerTest.test_crossed_and_cut_answers_are_never_passed_on",
    ),
    Mutation(
        "the whole answer: a broken stream is taken up",
        "coordination/own/engines.py",
        "RESUME_TRIES = 2",
        "RESUME_TRIES = 0",
        "tests.test_whole_answers.WholeAnswerTest.test_a_broken_stream_is_taken_up_byte_for_byte",
    ),
    Mutation(
        "the true refusal: a stage that was left is of no use",
        "state/requests.py",
        "if self.journey.stage is not self:",
        "if False:",
        "tests.test_requests",
    ),
    Mutation(
        "at most once: a silent holder may have dispatched",
        "state/claims.py",
        "if holder is None or holder is RunState.UNKNOWN:",
        "if holder is None:\n        return RepeatAction.TAKE_OVER\n"
        "    if holder is RunState.UNKNOWN:",
        "tests.test_at_most_once.AtMostOnceTest.test_a_repeat_after_the_first_vm_was_killed",
    ),
    Mutation(
        "at most once: an abandoned claim's version goes on counting",
        "coordination/own/claims.py",
        "await self.platform.write(run.claim_name, claim.encode(), run.version)",
        "await self.platform.delete(run.claim_name, run.version)",
        "tests.test_claims.InterleavingTest.test_repeats_through_both_vms",
    ),
    Mutation(
        "at most once: no repeat without the caller's leave",
        "coordination/own/turns.py",
        "return self.arrival.method in methods and not self.arrival.key",
        "return True",
        "tests.test_at_most_once.RepeatableTest.test_one_that_may_not_be_repeated",
    ),
    Mutation(
        "a leaving endpoint: the first word wins",
        "state/endpoints.py",
        "if facts.incarnation and incarnation > facts.incarnation:",
        "if True:",
        "tests.test_whole_answers.LeavingTest",
    ),
    Mutation(
        "a leaving endpoint: peers are told",
        "coordination/own/endpoints.py",
        "if source is not LeavingSource.PEER:",
        "if False:",
        "tests.test_whole_answers.LeavingTest.test_a_peers_word",
    ),
    Mutation(
        "a planned stop waits for what runs",
        "coordination/own/parts.py",
        "end = loop.time() + seconds",
        "end = 0.0",
        "tests.test_billed_once.PlannedStopTest",
    ),
    Mutation(
        "a planned stop tells callers to leave their connections",
        "daemon/entry.py",
        "self.callers.server.draining = True",
        "self.callers.server.draining = False",
        "tests.test_billed_once.PlannedStopTest."
        "test_a_caller_who_keeps_its_connection_is_never_cut",
    ),
    Mutation(
        "configuration: peers pass it on during an outage",
        "coordination/own/configurations.py",
        "if news.revision > self.head.revision:",
        "if False:",
        "tests.test_configurations.SpreadTest.test_an_outage_right_after_acceptance",
    ),
    Mutation(
        "configuration: a restored store does not bring it back",
        "coordination/own/configurations.py",
        "if head.revision < self.head.revision:\n            await self._repair",
        "if False:\n            await self._repair",
        "tests.test_configurations.SpreadTest."
        "test_a_restored_older_store_does_not_bring_it_back",
    ),
    Mutation(
        "configuration: one of two racing operators wins",
        "coordination/own/acceptance.py",
        "if if_revision is not None and head.revision != if_revision:",
        "if False:",
        "tests.test_configurations.SpreadTest.test_racing_operators",
    ),
    Mutation(
        "faults in pairs, at most once: a silent holder may have dispatched",
        "state/claims.py",
        "if holder is None or holder is RunState.UNKNOWN:",
        "if holder is None:\n        return RepeatAction.TAKE_OVER\n"
        "    if holder is RunState.UNKNOWN:",
        "tests.test_pairs",
    ),
    Mutation(
        "faults in pairs, billed once: a copy before the end mark",
        "coordination/own/billing.py",
        "safe = await self._copy([item.record for item in batch])",
        "safe = True",
        "tests.test_pairs",
    ),
    Mutation(
        "faults in pairs, configuration: one of two racing operators wins",
        "coordination/own/acceptance.py",
        "if if_revision is not None and head.revision != if_revision:",
        "if False:",
        "tests.test_pairs",
    ),
    Mutation(
        "exposure: the counts of all VMs are one",
        "coordination/own/tallies.py",
        "good, bad = self.board.hear(row)",
        "good, bad = 0, 0",
        "tests.test_rollouts.FleetRolloutTest."
        "test_failures_that_are_spread_over_all_vms_brake_it",
    ),
    Mutation(
        "exposure: two versions that do alike are alike",
        "state/sequential.py",
        "if self._differs():",
        "if True:",
        "tests.test_rollouts.SequentialTestTest",
    ),
    Mutation(
        "admission: what cannot be answered in time does not begin",
        "state/admission.py",
        "return deadline - self.mean_seconds",
        "return deadline",
        "tests.test_admission",
    ),
    Mutation(
        "a session stays with what has served it, whatever is learnt",
        "coordination/own/planning.py",
        "if served:",
        "if False:",
        "tests.test_learning.FleetLearningTest",
    ),
    Mutation(
        "leases: others wait until the holder's time is over",
        "state/leases.py",
        "return now > self.seen_at + self.value.seconds",
        "return True",
        "tests.test_leases.InterleavingTest",
    ),
    Mutation(
        "leases: a holder that slept is not in charge",
        "state/leases.py",
        "in_time = now + self.order_seconds < self.held_until",
        "in_time = self.held_until > 0",
        "tests.test_leases.InterleavingTest",
    ),
    Mutation(
        "leases: a renewal is seen though the platform keeps versions of what stays",
        "coordination/own/leases.py",
        "writes=self.value.writes + 1",
        "writes=0",
        "tests.test_leases.InterleavingTest",
    ),
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
        "tests.test_routed.GivenUpTest.test_what_waits_on_a_full_link",
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
        "tests.test_routed.StopTest."
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
        "tests.test_routed.DarkEngineTest",
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


def is_there(mutation: Mutation) -> bool:
    """:param mutation: what to take out.

    :returns: whether its text stands in the sources, once.
    """
    text = (ROOT / "walnutquay" / mutation.file).read_text(encoding="utf-8")
    return text.count(mutation.old) == 1


def fails(mutation: Mutation) -> bool:
    """Run a mutation's test on a copy of the tree.

    :param mutation: what to take out.
    :returns: whether the test fails, as it must.
    """
    with tempfile.TemporaryDirectory(prefix="walnutquay-mutation-") as folder:
        for name in COPIED:
            shutil.copytree(ROOT / name, Path(folder) / name)
        path = Path(folder) / "walnutquay" / mutation.file
        text = path.read_text(encoding="utf-8")
        if text.count(mutation.old) != 1:
            raise RuntimeError(f"{mutation.guarantee}: the text is not there once")
        path.write_text(text.replace(mutation.old, mutation.new), encoding="utf-8")
        done = subprocess.run(
            [sys.executable, "-m", "tests", mutation.test],
            cwd=folder,
            env={"PYTHONPATH": folder, "PATH": "/usr/bin:/bin"},
            capture_output=True,
            check=False,
        )
    if b"_FailedTest" in done.stdout:
        # A test that is not there fails too, and proves nothing.
        raise RuntimeError(f"{mutation.guarantee}: there is no test {mutation.test}")
    return done.returncode != 0


def main() -> int:
    """:returns: the exit code: 0 if every test failed as it must."""
    wanted = [int(text) for text in sys.argv[1:]] or range(len(MUTATIONS))
    missed = 0
    for number in wanted:
        mutation = MUTATIONS[number]
        failed = fails(mutation)
        missed += not failed
        word = "fails as it must" if failed else "PASSES ALL THE SAME"
        print(f"{number:2} {mutation.guarantee}: {word}", flush=True)
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
