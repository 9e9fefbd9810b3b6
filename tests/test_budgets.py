# Licensed under the Apache License 2.0: see LICENSE for details.

"""The retries that VMs may make together."""

from __future__ import annotations

import unittest

from walnutquay.coordination.budgets import FIRST_RETRIES, RetryBudgets
from walnutquay.state.ids import ServiceName

SERVICE = ServiceName("s")


class RetryBudgetsTest(unittest.TestCase):
    """The fleet's reserve is shared by the VMs that there are."""

    def setUp(self) -> None:
        self.vms = 6
        self.budgets = RetryBudgets(0.9, 48.0, lambda: self.vms)

    def saved(self) -> float:
        """:returns: the retries that are left after many first tries."""
        for _ in range(1000):
            self.budgets.of(SERVICE).first_try()
        return self.budgets.of(SERVICE).left

    def test_at_first_a_vm_may_retry_little(self):
        self.assertEqual(self.budgets.of(SERVICE).left, FIRST_RETRIES)

    def test_the_reserve_is_shared(self):
        self.assertAlmostEqual(self.saved(), 48.0 / 6)

    def test_it_follows_the_number_of_vms(self):
        self.saved()
        self.vms = 12
        self.assertAlmostEqual(self.budgets.of(SERVICE).left, 48.0 / 12)
        self.assertAlmostEqual(self.saved(), 48.0 / 12)
        self.vms = 3
        self.assertAlmostEqual(self.saved(), 48.0 / 3)

    def test_many_vms_leave_less_than_one_retry_each(self):
        self.vms = 640
        self.assertFalse(self.budgets.of(SERVICE).take())

    def test_services_have_budgets_of_their_own(self):
        self.saved()
        other = self.budgets.of(ServiceName("other"))
        self.assertEqual(other.left, FIRST_RETRIES)


if __name__ == "__main__":
    unittest.main()
