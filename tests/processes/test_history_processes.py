# Licensed under the Apache License 2.0: see LICENSE for details.

"""Requests explained from the log lines of separate processes."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import tempfile
from collections.abc import Sequence
from pathlib import Path

import aiohttp
import tomli_w
from click.testing import CliRunner

from standins.ports import HeldPorts
from standins.worker import Behaviour
from tests.gatewaycase import GatewayCase
from walnutquay.cmdline import main
from walnutquay.history.causes import Cause
from walnutquay.history.lines import read_files
from walnutquay.history.report import judge
from walnutquay.state.process.events import EventKind

HOST = "127.0.0.1"
START_SECONDS = 20.0


class GatewayProcess:
    """An entry VM as a process of its own, its lines in a file.

    :param name: the VM's name.
    :param folder: where its settings and its lines go.
    :param store: the store's address.
    :param ports: where it listens.
    """

    def __init__(
        self, name: str, folder: Path, store: str, ports: Sequence[int]
    ) -> None:
        self.log = folder / f"{name}.json"
        self.settings = folder / f"{name}.toml"
        self.ports = ports
        names = ("callers", "ready", "metrics", "peers")
        sections = {
            name: {"address": f"{HOST}:{port}"}
            for name, port in zip(names, self.ports, strict=True)
        }
        plain = {
            "vm": {"name": name, "hall": "hall-a"},
            "store": {"address": store},
            "promises": {"balancer_seconds": 0.0},
            "log": {"format": "json", "events": True},
            **sections,
        }
        self.settings.write_text(tomli_w.dumps(plain), encoding="utf-8")
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start it; its lines are added to those of its earlier starts."""
        command = (sys.executable, "-m", "walnutquay", "gateway")
        with self.log.open("ab") as file:
            self.process = await asyncio.create_subprocess_exec(
                *command, "--settings", str(self.settings), stdout=file
            )

    def kill(self) -> None:
        """Kill it at once, if it runs."""
        if self.process is not None and self.process.returncode is None:
            os.kill(self.process.pid, signal.SIGKILL)


class ProcessesTest(GatewayCase):
    """A request is followed through a fault by the lines of separate processes."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        held = HeldPorts()
        self.addCleanup(held.close)
        self.vms = [
            GatewayProcess(name, Path(folder.name), self.store.address, held.take(4))
            for name in ("front-1", "front-2")
        ]
        for vm in self.vms:
            await vm.start()
            self.addAsyncCleanup(self.end, vm)
            await self.until_ready(vm)

    async def end(self, vm: GatewayProcess) -> None:
        """Kill a VM and wait for its end."""
        vm.kill()
        await vm.process.wait()

    async def until_ready(self, vm: GatewayProcess) -> None:
        """Wait until a VM would serve callers."""
        async with asyncio.timeout(START_SECONDS):
            while not await self.is_ready(vm):  # noqa: ASYNC110
                await asyncio.sleep(0.05)

    async def is_ready(self, vm: GatewayProcess) -> bool:
        """:returns: whether a VM would serve callers."""
        try:
            url = f"http://{HOST}:{vm.ports[1]}/v1/ready"
            async with self.session.get(url) as answer:
                return answer.status == 200
        except OSError:
            return False

    async def send(self, vm: GatewayProcess, path: str, **headers: str) -> int:
        """:returns: the status of a request to a VM; 0 where it was lost."""
        url = f"http://{HOST}:{vm.ports[0]}{path}"
        try:
            async with self.session.post(
                url, data=b"b", headers=self.head(**headers)
            ) as answer:
                await answer.read()
                return answer.status
        except (OSError, aiohttp.ClientError):
            return 0

    def tell(self, *words: str) -> str:
        """:returns: what a command prints about the lines of all VMs."""
        logs = [str(vm.log) for vm in self.vms]
        result = CliRunner().invoke(main, ["trace", *words, *logs])
        self.assertEqual(result.exit_code, 0, result.output)
        return result.output

    async def until_logged(self, request: str, kind: EventKind) -> None:
        """Wait until a request has a line; they are written without waiting."""
        logs = [vm.log for vm in self.vms]

        def is_logged() -> bool:
            return any(
                one.request == request and one.kind is kind
                for one in read_files(logs).lines
            )

        await self.until(is_logged)

    async def test_an_endpoint_that_failed(self):
        for worker in self.endpoints.values():
            worker.default = Behaviour(status=500)
        status = await self.send(self.vms[0], "/unsafe/x", Request_Id="lost-one")
        self.assertEqual(status, 500)
        await self.until_logged("lost-one", EventKind.ANSWERED)
        told = self.tell("show", "lost-one")
        self.assertIn(Cause.ENDPOINT_ERROR.value, told)
        self.assertIn("configuration 1, in force for", told)
        self.assertIn("was listed at its line failed", told)
        self.assertIn("lost-one  front-1", self.tell("failures"))

    async def test_a_vm_that_was_killed(self):
        for worker in self.endpoints.values():
            worker.default = Behaviour(mute=True)
        first = self.vms[0]
        sending = asyncio.ensure_future(
            self.send(first, "/unsafe/x", Request_Id="cut-off")
        )
        await self.until_logged("cut-off", EventKind.DISPATCHED)
        await self.end(first)
        self.assertEqual(await sending, 0)
        await first.start()
        await self.until_ready(first)
        self.assertIn(Cause.VM_LOST.value, self.tell("show", "cut-off"))
        lost = self.tell("lost")
        self.assertIn("front-1: 1 requests of 1 organisations", lost)
        self.assertRegex(lost, r"cut-off  org-a  unsafe  after .* sent to p[12]")
        judged = judge(read_files([vm.log for vm in self.vms]).lines)
        causes = {
            one.finding.cause
            for one in judged
            if one.finding is not None and one.history.request == "cut-off"
        }
        self.assertEqual(causes, {Cause.VM_LOST})

    async def test_a_picture_and_the_changes_of_a_time(self):
        await self.send(self.vms[1], "/unsafe/x", Request_Id="fine-one")
        await self.until_logged("fine-one", EventKind.ANSWERED)
        picture = self.vms[0].log.with_suffix(".png")
        self.tell("failures", "--picture", str(picture))
        self.assertTrue(picture.read_bytes().startswith(b"\x89PNG"))
        lines = read_files([self.vms[1].log]).lines
        span = ("--from", str(lines[0].seconds), "--to", str(lines[-1].seconds))
        self.assertIn("configured", self.tell("changes", *span))
