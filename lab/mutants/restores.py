# Licensed under the Apache License 2.0: see LICENSE for details.

"""A store that is restored from a backup."""

from __future__ import annotations

from lab.mutants.mutation import Mutation

RESTORES = "tests.coordination.store.test_restores"
ERAS = "tests.platform.test_eras"
CLAIMS = "tests.state.own.test_claims.RestoreTest"

MUTATIONS = [
    Mutation(
        "restores: the era of answers is not read",
        "platform/store.py",
        "era = era if named is None else named",
        "era = era",
        f"{RESTORES}.MissedChangesTest",
    ),
    Mutation(
        "restores: a watch goes on from a revision of an earlier era",
        "platform/store.py",
        "        if answer.era != revision.era:\n"
        '            raise _restored(kind, "watch")\n        events',
        "        events",
        f"{ERAS}.WatchTest",
    ),
    Mutation(
        "restores: an answer of an earlier era counts",
        "platform/store.py",
        "if era < self.eras.current:",
        "if False:",
        f"{ERAS}.LateAnswerTest",
    ),
    Mutation(
        "restores: a condition of an earlier era is sent",
        "platform/store.py",
        "if revision is not None and not self.eras.is_current(revision):",
        "if False:",
        f"{ERAS}.ConditionTest.test_a_restore_that_is_known",
    ),
    Mutation(
        "restores: a condition that held by chance counts",
        "platform/store.py",
        "if revision is not None and answer.era != revision.era:",
        "if False:",
        f"{ERAS}.ConditionTest.test_a_restore_that_the_answer_tells_first",
    ),
    Mutation(
        "restores: a list of an earlier era is taken from another VM",
        "platform/exports.py",
        "if not eras.is_current(revision):",
        "if False:",
        f"{ERAS}.PeerListTest.test_a_list_of_an_earlier_era",
    ),
    Mutation(
        "restores: VMs that start are told an older configuration",
        "platform/feeds.py",
        "        if version < self.versions.get(name, version):",
        "        if False:",
        f"{RESTORES}.ConfigurationTest",
    ),
    Mutation(
        "restores: endpoints that are lost are dropped at once",
        "coordination/store/knowledge.py",
        "            era=era,\n        )\n        self._expect_lapsed_entries()",
        "            era=era,\n        )",
        f"{RESTORES}.EndpointTest",
    ),
    Mutation(
        "restores: halls whose order is lost get requests",
        "coordination/store/knowledge.py",
        "        self.halls.keep_orders()\n",
        "",
        f"{RESTORES}.EmptiedHallTest",
    ),
    Mutation(
        "restores: an outcome that is lost is not written again",
        "coordination/store/sinks.py",
        "        self.unanswered[order.name] = ended\n",
        "",
        f"{RESTORES}.OrderTest",
    ),
    Mutation(
        "restores: a roll-out whose outcome is lost begins again",
        "coordination/store/sinks.py",
        "        if outcome is None or not outcome.is_same_order(order):",
        "        if True:",
        f"{RESTORES}.OrderTest",
    ),
    Mutation(
        "restores: all VMs write a lost outcome",
        "coordination/trials/answers.py",
        'return TURN_SECONDS * self.peers.rank_for(f"status/{order}")',
        "return 0.0",
        f"{RESTORES}.OrderTest",
    ),
    Mutation(
        "restores: entries of VMs are not written again",
        "coordination/fleet/vmlist.py",
        "        self.tasks.spawn(self.repair.run(self.own, left))\n",
        "",
        "tests.coordination.fleet.test_vmlist.StoreRestoredTest",
    ),
    Mutation(
        "restores: all VMs list the others",
        "coordination/fleet/entryrepair.py",
        "        elif self.peers.known:\n            return\n",
        "",
        "tests.coordination.fleet.test_vmlist.StoreRestoredTest",
    ),
    Mutation(
        "restores: a key is claimed while lost claims are written again",
        "coordination/own/claims.py",
        "if result.granted and self.restores.settling:",
        "if False:",
        CLAIMS,
    ),
    Mutation(
        "restores: a lost claim is not written again",
        "coordination/own/lostclaims.py",
        "            await self._write(run, self.claim_of(request))",
        "            continue",
        f"{CLAIMS}.test_a_repeat_before_the_claim_is_written_again",
    ),
    Mutation(
        "restores: a lease is taken at once",
        "state/own/leases.py",
        "        if now <= self.expired_at:\n            return False\n",
        "",
        "tests.state.own.test_leases.ViewTest",
    ),
    Mutation(
        "restores: a fence is given out again",
        "state/process/revisions.py",
        "return (self.era << FENCE_NUMBER_BITS) | self.number",
        "return self.number",
        "tests.state.own.test_leases.ViewTest",
    ),
    Mutation(
        "restores: a lost head is not written again at once",
        "coordination/own/configurations.py",
        "            self.tasks.spawn(self.read_head())",
        "            pass",
        "tests.coordination.own.test_restored_head",
    ),
    Mutation(
        "restores: lost batches of bills are not stored again",
        "coordination/own/billbatches.py",
        "        self.tasks.spawn(self.write_again())",
        "        pass",
        "tests.coordination.own.test_restored_bills",
    ),
]
