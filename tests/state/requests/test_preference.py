# Licensed under the Apache License 2.0: see LICENSE for details.

"""The endpoints that all VMs prefer for a key."""

from __future__ import annotations

import unittest
from unittest import mock

import xxhash

from walnutquay.state.process.ids import EndpointName
from walnutquay.state.requests.preference import (
    MAX_APART,
    endpoints_apart,
    preferred_endpoint,
)


class PreferredTest(unittest.TestCase):
    """All VMs prefer the same endpoint for a key."""

    def test_the_order_of_endpoints_does_not_matter(self):
        names = [EndpointName(f"e{n}") for n in range(9)]
        for prefix in ("x", "y", "z"):
            first = preferred_endpoint(names, prefix)
            self.assertEqual(first, preferred_endpoint(names[::-1], prefix))
        self.assertIsNone(preferred_endpoint(names, ""))
        self.assertIsNone(preferred_endpoint([], "x"))


class ApartTest(unittest.TestCase):
    """Two requests that were at the same crashes do not go on to the same endpoint."""

    names = [EndpointName(f"e{n}") for n in range(7)]
    pairs = [(f"a{n}", f"b{n}") for n in range(200)]

    def chosen(self, key: str, *others: str) -> EndpointName | None:
        """:returns: the endpoint of a request whose VM knows of some others."""
        return preferred_endpoint(endpoints_apart(self.names, key, others), key)

    def test_they_meet_though_both_vms_know(self):
        for one, other in self.pairs:
            self.assertNotEqual(self.chosen(one, other), self.chosen(other, one))

    def test_they_meet_where_one_vm_does_not_know(self):
        for one, other in self.pairs:
            self.assertNotEqual(self.chosen(one, other), self.chosen(other))

    def test_some_of_many_meet_more_often_than_by_chance(self):
        groups = [[f"{n}-{i}" for i in range(4)] for n in range(200)]
        met = sum(
            len(group) - len({self.chosen(one, *(set(group) - {one})) for one in group})
            for group in groups
        )
        by_chance = sum(
            len(group) - len({self.chosen(one) for one in group}) for group in groups
        )
        self.assertLess(met, by_chance)

    def test_an_endpoint_is_left_in_any_case(self):
        one = self.names[:1]
        self.assertEqual(endpoints_apart(one, "a", ["b", "c"]), one)
        self.assertEqual(endpoints_apart([], "a", ["b"]), [])

    def test_copies_at_vms_with_the_same_evidence_are_spread(self):
        others = ["b", "c", "d"]
        self.assertEqual(self.chosen("a", *others), self.chosen("a", *others[::-1]))

    def test_many_others_cost_time(self):
        many = [f"b{n}" for n in range(MAX_APART + 1)]
        with mock.patch.object(xxhash, "xxh3_64_intdigest") as digest:
            self.assertEqual(endpoints_apart(self.names, "a", many), self.names)
        digest.assert_not_called()
