# Licensed under the Apache License 2.0: see LICENSE for details.

"""A short soak with a fixed seed; long ones are started by hand (``make soak``)."""

from __future__ import annotations

import asyncio
import signal
import tempfile
import unittest
from pathlib import Path
from types import SimpleNamespace
from unittest import mock

from soak.__main__ import soak
from soak.fleet import Vm

SEED = 7
SECONDS = 12.0


class SoakTest(unittest.IsolatedAsyncioTestCase):
    """What must hold whenever; what must hold in time is judged by hand."""

    async def test_short(self):
        report = await soak(SEED, SECONDS)
        self.assertEqual(report.broken, [])
        self.assertGreater(report.outcomes["200"], 50)
        self.assertGreater(len(report.faults), 3)


class VmTest(unittest.IsolatedAsyncioTestCase):
    """Ends that a soak has ordered are told from those that nobody asked for."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = Path(folder.name)
        self.vm = Vm("vm", path / "vm.toml", path / "vm.log", {}, SimpleNamespace())

    async def start(self, returncode: int | None) -> None:
        """Start it; it is looked at before its process is there."""

        async def made(*_, **__):
            self.vm.look()
            return SimpleNamespace(
                returncode=returncode,
                send_signal=lambda number: None,
                wait=asyncio.Event().wait,
            )

        with mock.patch.object(asyncio, "create_subprocess_exec", made):
            await self.vm.start()

    async def test_the_end_before_a_start_was_ordered(self):
        await self.start(returncode=None)
        self.vm.process.wait = mock.AsyncMock()
        await self.vm.end(signal.SIGKILL)
        self.vm.process.returncode = -signal.SIGKILL
        await self.start(returncode=None)
        self.assertEqual(self.vm.own_ends, [])

    async def test_an_end_of_its_own_is_noted_once(self):
        await self.start(returncode=1)
        self.vm.look()
        self.vm.look()
        self.assertEqual(self.vm.own_ends, [1])
