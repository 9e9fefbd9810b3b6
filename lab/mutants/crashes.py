# Licensed under the Apache License 2.0: see LICENSE for details.

"""What finds requests and parts of prompts that end endpoints."""

from __future__ import annotations

from lab.mutants.mutation import Mutation

MUTATIONS = [
    Mutation(
        "ends of endpoints: a request that ends them is kept from the others",
        "coordination/requests/paths.py",
        "refusal = self.no_longer_allowed(turn) or self._blocked(turn, acquired.ok)",
        "refusal = self.no_longer_allowed(turn)",
        "tests.coordination.requests.test_crashes.CrashingRequestTest",
    ),
    Mutation(
        "ends of endpoints: the same for chats",
        "coordination/requests/paths.py",
        "refusal = self.no_longer_allowed(turn) or self._blocked(turn, acquired.ok)",
        "refusal = self.no_longer_allowed(turn)",
        "tests.processes.test_crashing_chats",
    ),
    Mutation(
        "ends of endpoints: VMs tell each other",
        "coordination/requests/crashnews.py",
        "self.peers.broadcast(CrashNews(traces))",
        "pass",
        "tests.lab.test_crashfleet",
    ),
    Mutation(
        "ends of endpoints: a VM that heard nothing compares",
        "coordination/requests/crashnews.py",
        "self.peers.send_to_some(CrashDigest(self.book.digest()))",
        "pass",
        "tests.coordination.requests.test_crashes.LateVmTest.test_vm_that_was_partitioned",
    ),
    Mutation(
        "ends of endpoints: kept for VMs that start after all were lost",
        "coordination/requests/crashrecord.py",
        'self.watch.apply_traces(decode_traces(stored.value), "the store")',
        "pass",
        "tests.coordination.requests.test_crashes.LateVmTest.test_all_vms_were_lost",
    ),
    Mutation(
        "ends of endpoints: news tell their age",
        "coordination/requests/crashnews.py",
        "age=trace.age + now - recorded_at",
        "age=trace.age",
        "tests.coordination.requests.test_crashnews",
    ),
    Mutation(
        "ends of endpoints: what had not begun may have run since it was sent",
        "state/requests/crashes.py",
        "crash.at - crash.sent[request] if ran is None else ran",
        "math.inf if ran is None else ran",
        "tests.state.requests.test_crashhistory.ConcurrentRequestTest",
    ),
    Mutation(
        "ends of endpoints: requests at the same crashes go on apart",
        "coordination/requests/paths.py",
        "companions=self.parts.crashes.companions(suspect),",
        "",
        "tests.coordination.requests.test_companions",
    ),
    Mutation(
        "ends of endpoints: two that know of each other go on apart",
        "state/requests/preference.py",
        "meetings[name] += (high if digest % 2 else low) == other",
        "pass",
        "tests.state.requests.test_preference",
    ),
    Mutation(
        "ends of endpoints: an answer clears a request",
        "coordination/requests/crashnotes.py",
        "self.parts.crashes.record_answer(turn.arrival, target, grant.name, written)",
        "pass",
        "tests.coordination.requests.test_crashes.ConcurrentRequestsTest",
    ),
    Mutation(
        "ends of endpoints: what was only beside is not blocked",
        "state/requests/attribution.py",
        "chosen = _without_redundant(fewest_explaining(suspects))",
        "chosen = dict(suspects)",
        "tests.state.requests.test_crashhistory.ConcurrentRequestTest",
    ),
    Mutation(
        "ends of endpoints: news of the others are waited for",
        "coordination/requests/crashes.py",
        "if self.book.verdict_on(features, target) is not None:",
        "if False:",
        "tests.lab.test_crashfleet.CrashFleetTest."
        "test_one_ends_three_engines_and_others_are_served",
    ),
    Mutation(
        "ends of endpoints: another version is tried once",
        "state/requests/crashes.py",
        "return verdict if len(crashes) >= CRASHES_TO_BLOCK_ELSEWHERE else None",
        "return None",
        "tests.coordination.requests.test_crashes.FixedReleaseTest",
    ),
    Mutation(
        "ends of endpoints: copies under way are ended",
        "coordination/requests/paths.py",
        "parts.crashes.watch_calls(self.limits)",
        "pass",
        "tests.coordination.requests.test_crashes.ConcurrentCopiesTest",
    ),
    Mutation(
        "parts that end endpoints: known by whole requests only",
        "state/requests/crashes.py",
        "found = crashing_features({**whole, **self.parts.suspects(target)})",
        "found = crashing_features(whole)",
        "tests.coordination.requests.test_crashingparts.DistinctRequestsTest",
    ),
    Mutation(
        "parts that end endpoints: answers speak for parts",
        "state/requests/crashparts.py",
        "if crash.target == target and crash.at <= at:",
        "if False:",
        "tests.state.requests.test_crashparts.SoundPartTest",
    ),
    Mutation(
        "parts that end endpoints: the first part counts too",
        "coordination/routed/turn.py",
        "return part_names(part.name for part in self.head.prompt.parts[:-1])",
        "return part_names(part.name for part in self.head.prompt.parts[1:-1])",
        "tests.coordination.requests.test_crashingparts.FirstPartTest",
    ),
    Mutation(
        "parts that end endpoints: all VMs' evidence counts",
        "protocol/peerfields.py",
        '"parts": SEPARATOR.join(trace.parts),',
        "",
        "tests.coordination.requests.test_crashingparts.DistinctRequestsTest",
    ),
    Mutation(
        "parts that end endpoints: a version that answers nothing is at fault itself",
        "state/requests/crashparts.py",
        "and served > min(crash.at for crash in suspect.crashes)",
        "",
        "tests.state.requests.test_crashparts.SoundPartTest",
    ),
    Mutation(
        "parts that end endpoints: suspects share an endpoint",
        "coordination/requests/crashes.py",
        "if early is not None:",
        "if False:",
        "tests.coordination.requests.test_crashingparts.SuspectTest",
    ),
    Mutation(
        "parts that end endpoints: kept for VMs that start after all were lost",
        "coordination/requests/crashrecord.py",
        "await self._write(PARTS_VALUE, self.watch.blocked_part_traces)",
        "pass",
        "tests.coordination.requests.test_crashingparts.LateVmTest.test_all_vms_were_lost",
    ),
    Mutation(
        "parts that end endpoints: what is under way is ended",
        "coordination/requests/crashes.py",
        "calls.stop(self.blocks.would_crash)",
        "pass",
        "tests.coordination.requests.test_crashingparts.UnderWayTest",
    ),
    Mutation(
        "ends of endpoints: the next start of an endpoint shows its end",
        "daemon/routing.py",
        "self.knowledge.instances.restart_listeners.append(crashes.on_endpoint_restarted)",
        "pass",
        "tests.coordination.requests.test_crashes.ForwarderTest",
    ),
    Mutation(
        "ends of endpoints: what was sent there later is no evidence",
        "state/requests/crashtypes.py",
        "return self.sent.get(fingerprint, -math.inf) < self.at",
        "return True",
        "tests.state.requests.test_crashhistory.SentAfterCrashTest",
    ),
]
