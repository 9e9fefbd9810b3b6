# Licensed under the Apache License 2.0: see LICENSE for details.

"""Tests of the errors raised by a fleet of processes."""

from __future__ import annotations

from unittest import mock

from standins import fleet as fleet_module
from tests.fleetcase import FleetCase


class FailedWaitTest(FleetCase):
    """Guards against timeout errors that report the state of only one VM."""

    async def test_error_describes_all_vms(self):
        with (
            mock.patch.object(fleet_module, "HANG_SECONDS", 0.5),
            self.assertRaises(RuntimeError) as caught,
        ):
            await self.fleet.wait_for_revision(1_000_000)
        message = str(caught.exception)
        for name in self.vms:
            self.assertIn(f"{name}: members", message)
        self.assertIn("peer_datagrams_in", message)
