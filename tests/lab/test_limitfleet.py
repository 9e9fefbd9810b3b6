# Licensed under the Apache License 2.0: see LICENSE for details.

"""Tests of rate limits in whole fleets, in simulated time."""

from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from lab.limits.fleet import SIZES, Case, Findings, LimitedFleet
from lab.limits.ways import AssignedSenders, EvenParts, Nothing, Permits, Way

LIMIT = 1.2
LOAD = 10.0
# The least share of a limit that is used while there is enough work for it.
MIN_USED = 0.7


def run(
    case: Case, way: type[Way], vms: int = 61, seed: int = 1, load: float = LOAD
) -> Findings:
    """Run a fleet."""
    return LimitedFleet(seed, SIZES[vms], case, way, LIMIT, 0.0, load).run()


class LimitedFleetTest(unittest.TestCase):
    """All VMs together keep to a limit, and use it."""

    def test_without_permits_the_limit_is_exceeded(self):
        found = run(Case.EVEN, Nothing)
        self.assertGreater(found.worst, found.tolerated)

    def test_the_limit_is_used_whoever_has_the_work(self):
        for vms in (6, 61, 195):
            for case in (Case.EVEN, Case.UNEVEN, Case.RESTARTS):
                with self.subTest(vms=vms, case=case):
                    self.assertGreaterEqual(run(case, Permits, vms).used, MIN_USED)

    def test_other_ways_waste_it_if_one_vm_has_most_of_the_work(self):
        for way in (EvenParts, AssignedSenders):
            self.assertLess(run(Case.UNEVEN, way, load=2.0).used, 0.5)
        self.assertGreater(run(Case.UNEVEN, Permits, load=2.0).used, 0.5)

    def test_a_hall_that_is_cut_off_gets_some(self):
        for case in (Case.CUT, Case.OWN_CUT):
            self.assertGreater(run(case, Permits).cut_used, 0.05)

    @settings(max_examples=40, deadline=None, derandomize=True)
    @given(
        st.integers(0, 2**32),
        st.sampled_from((6, 61)),
        st.sampled_from(list(Case)),
        st.floats(0.2, 8.0),
        st.sampled_from((0.0, 1.0)),
        st.floats(1.0, 12.0),
    )
    def test_never_more_than_is_tolerated(
        self,
        seed: int,
        vms: int,
        case: Case,
        limit: float,
        patience: float,
        load: float,
    ):
        fleet = LimitedFleet(seed, SIZES[vms], case, Permits, limit, patience, load)
        found = fleet.run()
        self.assertLessEqual(found.worst, found.tolerated)


if __name__ == "__main__":
    unittest.main()
