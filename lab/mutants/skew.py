# Licensed under the Apache License 2.0: see LICENSE for details.

"""New connections while a VM's link is full, and answers that never end."""

from __future__ import annotations

from lab.mutants.mutation import Mutation

INTAKE = "tests.state.fleet.test_intake"
ROUNDS = "tests.state.process.test_linkload.RoundTripsTest"
ENDLESS = "tests.daemon.test_endless_answers"
GIVEN_UP = "tests.coordination.trials.test_evaluation.GivenUpRequestTest"

MUTATIONS = [
    Mutation(
        "skew: a full link is not noticed",
        "state/fleet/intake.py",
        "        if wait >= FULL_SECONDS and skewed:",
        "        if False:",
        f"{INTAKE}.FleetReplayTest",
    ),
    Mutation(
        "skew: connections are refused where all are equally busy",
        "state/fleet/intake.py",
        "        if wait >= FULL_SECONDS and skewed:",
        "        if wait >= FULL_SECONDS:",
        f"{INTAKE}.IntakeTest.test_all_are_taken_where_all_vms_are_equally_busy",
    ),
    Mutation(
        "skew: a storm does not end",
        "state/fleet/intake.py",
        "        if now - self.reached_at > CALM_SECONDS:",
        "        if False:",
        f"{INTAKE}.IntakeTest.test_all_are_taken_again_within_seconds_of_a_storm",
    ),
    Mutation(
        "skew: a VM may refuse for good",
        "state/fleet/intake.py",
        "        elif now - self.full_since >= LONGEST_PAUSE_SECONDS:",
        "        elif False:",
        f"{INTAKE}.IntakeTest.test_some_are_taken_at_least_once_a_while",
    ),
    Mutation(
        "skew: an answer that is late does not count until it comes",
        "state/process/roundtrips.py",
        "        return max(self.last if valid else 0.0, now - oldest)",
        "        return self.last if valid else 0.0",
        f"{ROUNDS}.test_round_under_way_counts_once_it_takes_longer",
    ),
    Mutation(
        "skew: the VM does not refuse connections",
        "coordination/fleet/connectiongate.py",
        "            self.listener.refuse()",
        "            pass",
        "tests.daemon.test_full_links.FullLinkTest",
    ),
    Mutation(
        "late: a VM that was late takes endpoints for unreachable",
        "transport/connectors.py",
        "                late = monotonic() - began - limit > LATE_SECONDS",
        "                late = False",
        "tests.transport.test_connectors.LateVmTest.test_a_vm_that_looks_late_tries_again",
    ),
    Mutation(
        "endless: framing is not limited",
        "transport/framing.py",
        "        return self.received > sound or self.interim > MAX_INTERIM_ANSWERS",
        "        return False",
        f"{ENDLESS}.EndlessPlainTest.test_each_place_of_an_answer",
    ),
    Mutation(
        "endless: a body without a length never ends",
        "coordination/routed/bodies.py",
        "            if late > MAX_LATE_BYTES or waited > LATE_READ_SECONDS:",
        "            if False:",
        f"{ENDLESS}.EndlessPlainTest.test_a_body_without_a_length_ends_after_the_deadline",
    ),
    Mutation(
        "slow version: requests that were given up do not count",
        "coordination/trials/evaluation.py",
        "        if self._new_faults(running_request, seconds):",
        "        if False:",
        f"{GIVEN_UP}.test_slow_answers_that_nobody_waits_for_count",
    ),
    Mutation(
        "slow version: an endpoint that is down counts against its version",
        "coordination/trials/evaluation.py",
        "        if await probe(endpoint.address) is Reach.REACHED:",
        "        if True:",
        f"{GIVEN_UP}.test_endpoints_that_are_down_do_not_count",
    ),
]
