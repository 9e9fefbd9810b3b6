# Licensed under the Apache License 2.0: see LICENSE for details.

"""VMs that do not reach endpoints, and VMs that forward connections for them."""

from __future__ import annotations

from lab.mutants.mutation import Mutation

PARTITIONS = "tests.coordination.routed.test_partitions"
TUNNELS = "tests.coordination.routed.test_tunnels"

MUTATIONS = [
    Mutation(
        "links: an end between two VMs is taken for the endpoint's",
        "transport/connections.py",
        "return self.forwarded and (",
        "return False and (",
        f"{TUNNELS}.KilledHelperTest",
    ),
    Mutation(
        "links: no other VM is asked",
        "coordination/routed/tunnels.py",
        "                return forwarded\n        return None",
        "                forwarded.bound.close()\n        return None",
        f"{PARTITIONS}.PartitionedVmTest",
    ),
    Mutation(
        "links: a connection is forwarded twice",
        "coordination/routed/tunnels.py",
        "        if endpoint.name in self.reachability.unreachable:\n"
        "            return Reach.SILENT, None\n",
        "",
        f"{TUNNELS}.RefusedTunnelTest.test_by_a_vm_that_has_lost_its_link_too",
    ),
    Mutation(
        "links: a lost link is put down to the endpoint",
        "coordination/requests/paths.py",
        "own_link = await self.link_is_lost(turn, grant, error)",
        "own_link = False",
        f"{PARTITIONS}.BlameTest",
    ),
    Mutation(
        "links: a connection that cannot be made ejects an endpoint",
        "coordination/requests/paths.py",
        "            self.count_not_reached(turn, grant)",
        "            self.parts.table.failed(grant.name, monotonic(), turn.target)",
        f"{PARTITIONS}.LoneVmTest",
    ),
    Mutation(
        "links: a caller who leaves is not noticed behind a tunnel",
        "transport/tunnels.py",
        "            if exc is not None:\n                other.reset()",
        "            if exc is not None:\n                pass",
        f"{TUNNELS}.ForwardedAnswerTest.test_the_caller_leaves",
    ),
    Mutation(
        "links: an answer that is reset seems whole behind a tunnel",
        "transport/tunnels.py",
        '        if was_reset(self.transport.get_extra_info("socket")):',
        "        if False:",
        f"{TUNNELS}.TunnelEndTest",
    ),
    Mutation(
        "links: a slow reader fills the memory of the VM that forwards",
        "transport/tunnels.py",
        "            self.other.pause_reading()",
        "            pass",
        f"{TUNNELS}.TunnelEndTest.test_a_slow_reader_holds_the_sender_up",
    ),
    Mutation(
        "links: a planned stop cuts forwarded requests",
        "daemon/gateway.py",
        "if not await self.tunnels.idle(end - loop.time()):",
        "if False:",
        f"{TUNNELS}.StopTest",
    ),
    Mutation(
        "brittle endpoints: the requests of other VMs are not counted",
        "state/routed/places.py",
        "if others + wanted <= self._limit(slots, borne, now):",
        "if wanted <= self._limit(slots, borne, now):",
        "tests.lab.test_brittlefleet",
    ),
    Mutation(
        "brittle endpoints: all slots of an entry are filled at once",
        "state/routed/places.py",
        "        slots = min(slots, self.proven + max(1, borne // 2))\n",
        "",
        "tests.state.routed.test_places.ProofTest",
    ),
    Mutation(
        "brittle endpoints: requests that ask for a place are taken for running",
        "state/routed/places.py",
        "return sum(count.running for count in self.counts.values())",
        "return sum(count.requests for count in self.counts.values())",
        "tests.state.routed.test_places.ProofTest",
    ),
    Mutation(
        "brittle endpoints: a rejection that is told late lowers the count too far",
        "state/routed/places.py",
        "max(1, min(known - 1, max(self.proven, there - 1)))",
        "max(1, min(known - 1, there - 1))",
        "tests.state.routed.test_places.CapacityTest",
    ),
    Mutation(
        "brittle endpoints: a crash for want of room is put down to its requests",
        "coordination/routed/failures.py",
        "        if not self.admission.limits.places.has_overflowed(grant.name):",
        "        if True:",
        "tests.coordination.routed.test_places.CrashTest",
    ),
]
