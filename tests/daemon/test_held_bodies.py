# Licensed under the Apache License 2.0: see LICENSE for details.

"""What stays of requests that have ended."""

from __future__ import annotations

import asyncio
import gc
from collections.abc import Iterator
from contextlib import contextmanager

from standins.behaviour import Behaviour, Seen
from tests.gatewaycase import HOST, KEY, GatewayCase
from tests.scriptedendpoint import DaemonLoops
from walnutquay.coordination.routed.turn import RoutedArrival
from walnutquay.transport.connections import KeptProtocol

# A body as long as no other object of a test's process.
BODY_BYTES = 98_765
BODY_END = b"." * 100
REQUESTS = 6
MANY_REQUESTS = 100
# What each of these ends with: whole, by a failure, or cut off.
ANSWERS = {
    "whole": Behaviour(),
    "without a length": Behaviour(framed=False),
    "500": Behaviour(status=500),
    "refused": Behaviour(status=503, not_run=True),
    "cut": Behaviour(cut_after=1),
    "cut at once": Behaviour(cut_after=0),
    "no answer": Behaviour(endless=(b"nonsense\r\n\r\n", b"x")),
    "another request's": Behaviour(crossed=True),
    "stream": Behaviour(events=3),
    "cut stream": Behaviour(events=3, cut_after=1),
    "cut within an event": Behaviour(events=3, cut_after=1, within=5),
}
PATHS = ("/safe/x", "/unsafe/x", "/stream/x", "/once/x")


def held_bodies() -> int:
    """Return how many bodies of requests any object still refers to."""
    found = {
        id(each)
        for holder in gc.get_objects()
        for each in gc.get_referents(holder)
        if isinstance(each, bytes | bytearray)
        and len(each) >= BODY_BYTES
        and each.endswith(BODY_END)
    }
    return len(found)


def count_of(kind: type) -> int:
    """Return how many objects of a class there are, reachable or not."""
    return sum(isinstance(each, kind) for each in gc.get_objects())


class HeldBodiesTest(GatewayCase):
    """Nothing holds a request's body once the request has ended.

    Guards against bodies in reference cycles, which stay until the garbage collector
    runs: a VM that got large ones went over its memory.
    """

    @classmethod
    def setUpClass(cls) -> None:
        asyncio.set_event_loop_policy(DaemonLoops())
        cls.addClassCleanup(asyncio.set_event_loop_policy, None)

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        for worker in self.endpoints.values():
            worker.choose = self._forget_body

    def _forget_body(self, seen: Seen) -> None:
        """Let go of what the endpoint was sent."""
        seen.body = b""

    async def send(self, path: str, *, chunked: bool = False, key: str = KEY) -> bytes:
        """Send a request on a connection of its own, and read all of its answer."""
        head, body = self.request(path, chunked, key)
        return await self.raw(head + body)

    def request(self, path: str, chunked: bool, key: str) -> tuple[bytes, bytes]:
        self.numbers += 1
        framing = f"Content-Length: {BODY_BYTES}"
        body = b"." * BODY_BYTES
        if chunked:
            framing = "Transfer-Encoding: chunked"
            body = f"{BODY_BYTES:x}\r\n".encode() + body + b"\r\n0\r\n\r\n"
        lines = (
            f"POST {path} HTTP/1.1",
            f"Host: {HOST}",
            f"Request-Id: r{self.numbers}",
            "Deadline: 1500",
            "Model: tiny",
            f"Authorization: Bearer {key}",
            "Connection: close",
            framing,
        )
        return "\r\n".join([*lines, "", ""]).encode(), body

    @contextmanager
    def no_collector(self) -> Iterator[None]:
        """Let only the counts of references free anything."""
        gc.collect()
        gc.disable()
        try:
            yield
        finally:
            gc.enable()

    async def settle(self) -> None:
        """Wait until no request is under way, and what was closed has ended."""
        path = self.gateway.path
        await self.until(lambda: not path.in_flight)
        await self.until(lambda: not self.gateway.api.server.web.connections)
        for _ in range(20):
            await asyncio.sleep(0)

    async def assert_none_held(self) -> None:
        await self.settle()
        self.assertEqual(held_bodies(), 0)
        self.assertEqual(count_of(RoutedArrival), 0)

    async def test_whatever_the_answer(self) -> None:
        for name, behaviour in ANSWERS.items():
            for worker in self.endpoints.values():
                worker.default = behaviour
            for path in PATHS:
                with self.subTest(answer=name, path=path), self.no_collector():
                    for _ in range(REQUESTS):
                        await self.send(path)
                    await self.assert_none_held()

    async def test_in_chunks(self) -> None:
        for path in PATHS:
            with self.subTest(path=path), self.no_collector():
                for _ in range(REQUESTS):
                    await self.send(path, chunked=True)
                await self.assert_none_held()

    async def test_denied(self) -> None:
        for path, key in (("/safe/x", "no key"), ("/nowhere/x", KEY)):
            with self.subTest(path=path, key=key), self.no_collector():
                for _ in range(REQUESTS):
                    await self.send(path, key=key)
                await self.assert_none_held()

    async def test_caller_leaves_within_the_body(self) -> None:
        with self.no_collector():
            for _ in range(REQUESTS):
                head, body = self.request("/unsafe/x", False, KEY)
                await self.raw(head + body[:-1], last=True)
            del body
            await self.assert_none_held()

    async def test_caller_leaves_before_the_answer(self) -> None:
        for path in PATHS:
            with self.subTest(path=path), self.no_collector():
                for worker in self.endpoints.values():
                    worker.default = Behaviour(mute=True)
                for _ in range(REQUESTS):
                    await self.leave(path)
                await self.assert_none_held()

    async def leave(self, path: str) -> None:
        """Send a request, and leave once an endpoint runs it."""
        before = self.runs()
        head, body = self.request(path, False, KEY)
        port = self.gateway.api.server.port
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(head + body)
        await self.until(lambda: self.runs() > before)
        writer.close()

    async def test_endpoint_that_is_not_reached(self) -> None:
        for worker in self.endpoints.values():
            worker.crash()
        with self.no_collector():
            for _ in range(REQUESTS):
                await self.send("/unsafe/x")
            await self.assert_none_held()

    async def test_no_objects_are_left_to_the_collector(self) -> None:
        for path in PATHS:
            for worker in self.endpoints.values():
                worker.default = Behaviour(events=3 if "e" in worker.name else None)
            with self.subTest(path=path), self.no_collector():
                for _ in range(MANY_REQUESTS):
                    await self.send(path)
                await self.settle()
                # Background tasks leave a few, whatever the number of requests.
                self.assertLess(gc.collect(), MANY_REQUESTS)

    async def test_connections_to_endpoints_are_freed(self) -> None:
        with self.no_collector():
            await self.send("/unsafe/x")
            await self.settle()
            before = count_of(KeptProtocol)
            for _ in range(REQUESTS):
                await self.send("/unsafe/x")
            await self.settle()
            self.assertEqual(count_of(KeptProtocol), before)
