# Licensed under the Apache License 2.0: see LICENSE for details.

"""The retries that VMs may make together."""

from __future__ import annotations

import unittest
from unittest import mock

from walnutquay.coordination.routed import budgets
from walnutquay.coordination.routed.budgets import INITIAL_RETRIES, RetryBudgets
from walnutquay.state.process.ids import ServiceName

SERVICE = ServiceName("s")
# Seconds in which the bound holds.
SPAN = 10.0


class RetryBudgetsTest(unittest.TestCase):
    """The fleet's reserve is shared by the VMs that there are."""

    def setUp(self) -> None:
        self.vm_count = 6
        self.now = 1_000.0
        patch = mock.patch.object(budgets, "monotonic", lambda: self.now)
        patch.start()
        self.addCleanup(patch.stop)
        self.budgets = RetryBudgets(0.9, 48.0, SPAN, lambda: self.vm_count)

    def saved(self) -> float:
        """:returns: the retries that are left long after the start."""
        self.now += 2.0 * SPAN
        return self.budgets.of(SERVICE).left

    def test_at_first_a_vm_may_retry_little(self):
        self.assertEqual(self.budgets.of(SERVICE).left, INITIAL_RETRIES)

    def test_the_reserve_is_shared(self):
        self.assertAlmostEqual(self.saved(), 48.0 / 6)

    def test_it_follows_the_number_of_vms(self):
        self.saved()
        self.vm_count = 12
        self.assertAlmostEqual(self.budgets.of(SERVICE).left, 48.0 / 12)
        self.assertAlmostEqual(self.saved(), 48.0 / 12)
        self.vm_count = 3
        self.assertAlmostEqual(self.saved(), 48.0 / 3)

    def test_a_vm_that_starts_again_has_no_new_part(self):
        self.budgets.of(SERVICE)
        self.now += SPAN / 2
        self.assertEqual(self.budgets.of(SERVICE).left, INITIAL_RETRIES)

    def test_many_vms_leave_less_than_one_retry_each(self):
        self.vm_count = 640
        self.assertFalse(self.budgets.of(SERVICE).take())

    def test_services_have_budgets_of_their_own(self):
        self.assertTrue(self.budgets.of(SERVICE).take())
        other = self.budgets.of(ServiceName("other"))
        self.assertEqual(other.left, INITIAL_RETRIES)
