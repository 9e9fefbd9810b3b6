# Licensed under the Apache License 2.0: see LICENSE for details.

"""Chats that end the engines that run them: over real processes."""

from __future__ import annotations

from tests.fleetcase import Answer, FleetCase
from walnutquay.state.requests.attribution import CRASHES_TO_BLOCK

# Prompts with it end the engine that begins to run them.
WORD = "crash"
# The ends after which no more engines may end under a shared message.
MAX_ENDED = 5


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


class CrashingSystemMessageTest(FleetCase):
    """Chats that differ share a message that ends engines; others are answered."""

    engines = tuple(f"engine-{number}" for number in range(1, 9))
    engine_options = {"crash_word": WORD}

    async def converse(self, vm: str, system: str, user: str) -> Answer:
        """Send a chat of a system message and a user's, which is like no other."""
        messages = [
            {"role": "system", "content": system},
            {"role": "user", "content": user},
        ]
        body = {"model": "small-1", "messages": messages}
        return await self.send(vm, "POST", "/v1/chat/completions", body)

    async def test_few_engines_end(self):
        found = []
        for number in range(6):
            vm = ("vm-a1", "vm-b1")[number % 2]
            sound = await self.converse(vm, "be kind", f"sound {number}")
            self.assertEqual(sound.status, 200)
            found.append(await self.converse(vm, f"be a {WORD}", f"bad {number}"))
        ended = sum(not self.fleet.processes[name].running for name in self.engines)
        self.assertLessEqual(ended, MAX_ENDED)
        self.assertEqual(found[-1].status, 500)
        self.assertEqual(found[-1].error["code"], "ends_endpoints")
