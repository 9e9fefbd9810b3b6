# Licensed under the Apache License 2.0: see LICENSE for details.

"""The choice of an endpoint, and announcements that endpoints are leaving."""

from __future__ import annotations

import random
import unittest
from collections import Counter

from walnutquay.state.process.ids import LeavingSource
from walnutquay.state.requests.endpoints import (
    EJECT_SECONDS,
    FAILURES_TO_EJECT,
    FULL_SECONDS,
    SUBSET,
    EndpointTable,
    subset,
)
from walnutquay.state.store.parts import Endpoint

OLD, NEW = "1-old", "2-new"


def endpoints(count: int, slots: int = 4) -> list[Endpoint]:
    """:returns: endpoints in one hall."""
    return [
        Endpoint(name=f"e{n}", pool="p", hall="h", address="http://x", slots=slots)
        for n in range(count)
    ]


class ChoiceTest(unittest.TestCase):
    """The choice of the endpoint for a request."""

    def setUp(self):
        self.table = EndpointTable("h", random.Random(7))

    def choices(self, among: list[Endpoint], now: float = 0.0, **more) -> Counter:
        """:returns: how often each endpoint is chosen in a thousand calls."""
        picked = (self.table.choose(among, now, **more) for _ in range(1000))
        return Counter(endpoint.name for endpoint in picked if endpoint)

    def test_the_less_loaded_of_two_is_chosen(self):
        self.table.state_of("e0").in_flight = 3
        self.assertEqual(set(self.choices(endpoints(2))), {"e1"})

    def test_none_if_all_endpoints_are_full(self):
        for name in ("e0", "e1"):
            self.table.state_of(name).in_flight = 4
        self.assertIsNone(self.table.choose(endpoints(2), 0.0))

    def test_the_hinted_endpoint_is_chosen_unless_full(self):
        self.assertEqual(set(self.choices(endpoints(3), hint="e2")), {"e2"})
        self.table.report("e2", 4, NEW, 0.0)
        self.assertNotIn("e2", self.choices(endpoints(3), hint="e2"))

    def test_an_old_report_is_ignored(self):
        self.table.report("e0", 100, NEW, 0.0)
        self.assertNotIn("e0", self.choices(endpoints(2), now=1.0))
        self.assertIn("e0", self.choices(endpoints(2), now=60.0))

    def test_repeated_failures_lengthen_the_ejection(self):
        for turn, seconds in enumerate((EJECT_SECONDS, 2 * EJECT_SECONDS)):
            start = 100.0 * turn
            for _ in range(FAILURES_TO_EJECT):
                self.table.failed("e0", start)
            before = start + seconds - 0.1
            self.assertNotIn("e0", self.choices(endpoints(4), now=before))
            self.assertIn("e0", self.choices(endpoints(4), now=start + seconds))

    def test_the_ejection_is_not_lengthened_while_no_endpoint_answers(self):
        def fail(name: str, now: float) -> None:
            for _ in range(FAILURES_TO_EJECT):
                self.table.failed(name, now, "v")

        self.table.succeeded("e1", "v/tag", 0.1, 0.0)
        fail("e0", 1.0)
        fail("e0", 10.0)
        self.assertEqual(self.table.state_of("e0").ejected_until, 10.0 + EJECT_SECONDS)
        self.table.succeeded("e1", "v/tag", 0.1, 15.0)
        fail("e0", 20.0)
        self.assertEqual(
            self.table.state_of("e0").ejected_until, 20.0 + 2 * EJECT_SECONDS
        )

    def test_half_of_the_endpoints_stay_in_use_if_all_fail(self):
        for name in ("e0", "e1", "e2", "e3"):
            for _ in range(FAILURES_TO_EJECT):
                self.table.failed(name, 0.0)
        self.assertEqual(len(self.choices(endpoints(4), now=0.1)), 2)

    def test_an_endpoint_that_reports_being_full_is_skipped_briefly(self):
        self.table.full("e0", 0.0)
        self.assertIsNone(self.table.choose(endpoints(1), FULL_SECONDS / 2))
        self.assertIsNotNone(self.table.choose(endpoints(1), FULL_SECONDS))


class PrefixTest(unittest.TestCase):
    """Prompts with the same prefix go to one endpoint as long as it is healthy."""

    def setUp(self):
        self.vms = [EndpointTable("h", random.Random(seed)) for seed in range(5)]

    def chosen(self, prefix: str, now: float = 0.0) -> set[str]:
        """:returns: the endpoints to which the VMs send prompts with a prefix."""
        return {vm.choose(endpoints(8), now, prefix=prefix).name for vm in self.vms}

    def test_all_vms_agree_and_prefixes_are_spread(self):
        found = [self.chosen(f"p{n}") for n in range(200)]
        self.assertEqual({len(names) for names in found}, {1})
        counts = Counter(name for names in found for name in names)
        self.assertEqual(len(counts), 8)

    def test_a_busier_preferred_endpoint_is_skipped(self):
        (preferred,) = self.chosen("p")
        for vm in self.vms:
            for endpoint in endpoints(8):
                busy = 4 if endpoint.name == preferred else 1
                vm.state_of(endpoint.name).in_flight = busy
        (other,) = self.chosen("p")
        self.assertNotEqual(other, preferred)
        # It is chosen while its load is low.
        for vm in self.vms:
            vm.state_of(preferred).in_flight = 1
        self.assertEqual(self.chosen("p"), {preferred})

    def test_a_slow_endpoint_loses_prefixes_and_hints_until_it_recovers(self):
        (preferred,) = self.chosen("p")
        for vm in self.vms:
            for number in range(200):
                name = f"e{number % 8}"
                seconds = 4.0 if name == preferred else 1.0
                vm.succeeded(name, "tag", seconds, 0.0)
        self.assertNotIn(preferred, self.chosen("p"))
        vm = self.vms[0]
        hinted = {vm.choose(endpoints(8), 0.0, preferred).name for _ in range(50)}
        self.assertNotEqual(hinted, {preferred})
        self.assertEqual(self.chosen("p", now=200.0), {preferred})

    def test_failures_count_as_slow(self):
        vm = self.vms[0]
        for now in range(8):
            vm.failed("e0", float(now))
            vm.succeeded("e0")
        self.assertGreater(vm.state_of("e0").slow_by(8.0), 2.0)


class SubsetTest(unittest.TestCase):
    """One VM uses a bounded subset of the endpoints, and the fleet uses all of them."""

    def test_few_endpoints_are_all_used(self):
        few = endpoints(SUBSET)
        self.assertEqual(subset(few, "vm", "h"), few)

    def test_many_endpoints_are_spread_over_the_vms(self):
        many = endpoints(200)
        chosen = [subset(many, f"vm-{n}", "h") for n in range(60)]
        self.assertEqual({len(part) for part in chosen}, {SUBSET})
        counts = Counter(e.name for part in chosen for e in part)
        self.assertEqual(len(counts), 200)
        self.assertLess(max(counts.values()), 3 * 60 * SUBSET / 200)

    def test_endpoints_in_the_same_hall_come_first(self):
        many = endpoints(200)
        here = [e.model_copy(update={"hall": "own"}) for e in many[:20]]
        chosen = subset([*many[20:], *here], "vm", "own")
        self.assertEqual(chosen[:20], sorted(here, key=chosen.index))


# The announcements and reports received, in order, and whether the endpoint still gets
# new requests after them.
LEAVING = [
    ([], True),
    ([("mark", LeavingSource.VM_LIST, "")], False),
    ([("mark", LeavingSource.ENDPOINT, OLD)], False),
    ([("mark", LeavingSource.PEER, OLD)], False),
    ([("mark", LeavingSource.CONFIGURATION, "")], False),
    # A report of the same incarnation may be older than the announcement.
    ([("report", OLD), ("mark", LeavingSource.VM_LIST, ""), ("report", OLD)], False),
    ([("report", OLD), ("mark", LeavingSource.PEER, OLD), ("report", OLD)], False),
    # Only a newer incarnation clears the mark.
    ([("report", OLD), ("mark", LeavingSource.PEER, OLD), ("report", NEW)], True),
    # A late announcement about the previous incarnation does not affect this one.
    ([("report", NEW), ("mark", LeavingSource.PEER, OLD)], True),
    ([("report", NEW), ("mark", LeavingSource.PEER, NEW)], False),
    # A stale report of the older incarnation does not clear the mark either.
    ([("report", NEW), ("mark", LeavingSource.PEER, NEW), ("report", OLD)], False),
]


class LeavingTest(unittest.TestCase):
    """An announcement that an endpoint is leaving lasts until a newer incarnation."""

    def test_marks_and_reports(self):
        for received, usable in LEAVING:
            with self.subTest(received=received):
                table = EndpointTable("h", random.Random(1))
                for action, *arguments in received:
                    if action == "mark":
                        table.mark_leaving("e0", *arguments)
                    else:
                        table.report("e0", 0, arguments[0], 0.0)
                chosen = table.choose(endpoints(1), 0.0)
                self.assertEqual(chosen is not None, usable)

    def test_a_leaving_endpoint_in_the_configuration_is_not_chosen(self):
        table = EndpointTable("h", random.Random(1))
        leaving = endpoints(1)[0].model_copy(update={"leaving": True})
        self.assertIsNone(table.choose([leaving], 0.0))
