# Licensed under the Apache License 2.0: see LICENSE for details.

"""Mechanisms against unserved watchers, held bodies and versions that break off."""

from __future__ import annotations

from lab.mutants.mutation import Mutation

UNSERVED = "tests.coordination.store.test_unserved_watchers.TurnedAwayTest"
HELD = "tests.daemon.test_held_bodies.HeldBodiesTest"
BODIES = "tests.state.requests.test_bodymemory"
BREAKS = "tests.state.trials.test_breaks.BreaksTest"

MUTATIONS = [
    Mutation(
        "unserved: a watcher that is not served keeps its place",
        "coordination/fleet/watchers.py",
        "        self.failing_until[vm] = monotonic() + FAILING_SECONDS\n",
        "",
        f"{UNSERVED}.test_next_in_the_ranking_takes_their_place",
    ),
    Mutation(
        "unserved: no VM asks the store itself",
        "coordination/store/relaying.py",
        "if not self.watchers.is_own_call_due(self.kind):",
        "if True:",
        f"{UNSERVED}.test_almost_all",
    ),
    Mutation(
        "unserved: a list is read twice",
        "coordination/store/relaying.py",
        "if self.last_answer is not answer or self.last_changes is None:",
        "if True:",
        "tests.coordination.store.test_whole_lists",
    ),
    Mutation(
        "held: connections keep the request that they were made for",
        "transport/connectors.py",
        "    tokens = [(one, one.set(default)) for one, default in DEFAULTS]",
        "    tokens = []",
        f"{HELD}.test_connections_to_endpoints_are_freed",
    ),
    Mutation(
        "held: errors keep the request path",
        "transport/client.py",
        "        _forget_frames(error)\n",
        "",
        f"{HELD}.test_whatever_the_answer",
    ),
    Mutation(
        "held: large bodies take all the memory",
        "state/requests/bodymemory.py",
        "if held + more > self.large_limit or self.small + held + more > self.limit:",
        "if False:",
        f"{BODIES}.BoundTest",
    ),
    Mutation(
        "held: one organisation takes all the room",
        "state/requests/bodymemory.py",
        "return not own or own + more <= self._share(now, body.organisation)",
        "return True",
        f"{BODIES}.ShareTest",
    ),
    Mutation(
        "held: what is announced and not sent keeps its room",
        "state/requests/bodymemory.py",
        "return self.came if self.came < due else max(self.came, self.announced)",
        "return max(self.came, self.announced)",
        f"{BODIES}.UnsentTest",
    ),
    Mutation(
        "breaks: a bad path condemns a version",
        "state/trials/breaks.py",
        "if any(abs(at - other) <= BURST_SECONDS for other in self.others):",
        "if False:",
        BREAKS,
    ),
]
