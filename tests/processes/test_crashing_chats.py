# Licensed under the Apache License 2.0: see LICENSE for details.

"""Chats that end the engines that run them: over real processes."""

from __future__ import annotations

from tests.fleetcase import FleetCase
from walnutquay.state.requests.attribution import CRASHES_TO_BLOCK

# Prompts with it end the engine that begins to run them.
WORD = "crash"


class CrashingChatTest(FleetCase):
    """A chat that ends engines does not go on to end all of them."""

    engines = tuple(f"engine-{number}" for number in range(1, 6))
    engine_options = {"crash_word": WORD}

    def ended(self) -> int:
        """:returns: how many engines have ended."""
        return sum(not self.fleet.processes[name].running for name in self.engines)

    async def come_again(self, stream: bool) -> None:
        """Send the chat to both VMs in turn, and see what becomes of the engines."""
        for vm in ("vm-a1", "vm-b1", "vm-a1", "vm-b1"):
            await self.chat(vm, WORD, model="small-1", stream=stream, may_break=stream)
        self.assertEqual(self.ended(), CRASHES_TO_BLOCK)
        answer = await self.chat("vm-a1", WORD, model="small-1", stream=stream)
        self.assertEqual(answer.status, 500)
        self.assertEqual(answer.error["code"], "ends_endpoints")
        other = await self.chat("vm-b1", "harmless", model="small-1")
        self.assertEqual(other.status, 200)

    async def test_whole_answers(self):
        await self.come_again(stream=False)

    async def test_streams(self):
        await self.come_again(stream=True)
