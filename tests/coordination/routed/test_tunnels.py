# Licensed under the Apache License 2.0: see LICENSE for details.

"""Connections that one VM forwards for another."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import replace
from unittest import mock

import aiohttp

from standins.worker import Behaviour
from tests.gatewaycase import Got
from tests.partitioncase import PartitionCase
from walnutquay.daemon.gateway import GatewayDaemon
from walnutquay.exceptions import PeerError
from walnutquay.protocol.linkmessages import AskReach, OpenTunnel, ReachIs
from walnutquay.protocol.messages import Envelope, Failure, Message
from walnutquay.protocol.peer import PeerCodec
from walnutquay.state.fleet.membership import Address
from walnutquay.state.process.events import EventKind
from walnutquay.state.process.ids import EndpointName
from walnutquay.state.routed.links import Reach
from walnutquay.transport.peers import PeerNode
from walnutquay.transport.tunnels import TunnelEnd, request_tunnel

# More than all buffers of a connection hold.
LARGE = 32 << 20


class TunnelCase(PartitionCase):
    """The first VM reaches no endpoint, the second one does."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.helper = self.gateways[1]
        self.cut("vm-1", "refuse")

    async def open(self, endpoint: str, gateway: GatewayDaemon) -> Message:
        """Ask a VM for a tunnel, and close what it opens."""
        message = OpenTunnel(EndpointName(endpoint), None, "r")
        node = self.gateway.node
        answer, bound = await request_tunnel(node, gateway.peers.own, message, 2.0)
        bound.close()
        return answer


class ForwardedAnswerTest(TunnelCase):
    """What callers and endpoints see of an answer that is forwarded."""

    async def asyncSetUp(self) -> None:
        """Let the second VM connect without a link, which would hide resets."""
        await super().asyncSetUp()
        known = self.helper.knowledge.instances.registry.known
        for name, worker in self.endpoints.items():
            endpoint = EndpointName(name)
            address = f"http://{worker.address}"
            known[endpoint] = replace(known[endpoint], address=address)

    async def test_a_long_body_is_unchanged(self) -> None:
        body = bytes(range(256)) * 300
        self.endpoints["p1"].default = self.endpoints["p2"].default = Behaviour(
            body=body
        )
        answer = await self.call("/unsafe/x", body)
        self.assertEqual((answer.status, answer.body), (200, body))
        runs = self.endpoints["p1"].runs + self.endpoints["p2"].runs
        self.assertEqual([run.body for run in runs], [body])

    async def test_an_answer_without_a_length_is_reset(self) -> None:
        cut = Behaviour(framed=False, body=b"x" * 1000, cut_after=500)
        self.endpoints["p1"].default = self.endpoints["p2"].default = cut
        self.assertEqual((await self.call("/unsafe/x", b"b")).status, 502)

    async def test_an_answer_without_a_length_is_whole(self) -> None:
        for name in ("p1", "p2"):
            self.endpoints[name].default = Behaviour(framed=False, body=b"all of it")
        answer = await self.call("/unsafe/x", b"b")
        self.assertEqual((answer.status, answer.body), (200, b"all of it"))

    async def test_an_unsafe_request_that_breaks_runs_once(self) -> None:
        for name in ("p1", "p2"):
            self.endpoints[name].default = Behaviour(cut_after=0)
        answer = await self.call("/unsafe/x", b"b")
        self.assertEqual(answer.status, 502)
        self.assertEqual(self.runs("p1", "p2"), 1)

    async def test_attempts_are_counted_at_one_place(self) -> None:
        for name in ("p1", "p2"):
            self.endpoints[name].default = Behaviour(status=500)
        await self.call("/safe/x")
        self.assertEqual(self.runs("p1", "p2"), 2)

    async def test_the_caller_leaves(self) -> None:
        self.endpoints["e1"].default = Behaviour(events=500, pause=0.05)
        call = self.track(self.call("/stream/x", Deadline="9000"))
        engine = self.endpoints["e1"]
        await self.until(lambda: bool(engine.runs))
        call.cancel()
        await self.until(lambda: engine.runs[0].left)
        await self.until(lambda: not self.helper.tunnels.forwarded)

    async def test_the_time_left_is_the_callers(self) -> None:
        await self.call("/unsafe/x", b"b", Deadline="1000")
        runs = self.endpoints["p1"].runs + self.endpoints["p2"].runs
        self.assertLessEqual(int(runs[0].headers["deadline"]), 1000)


class RefusedTunnelTest(TunnelCase):
    """Tunnels that a VM does not open."""

    async def test_by_a_vm_that_has_lost_its_link_too(self) -> None:
        third = await self.add_gateway("vm-3", peers=list(self.gateways))
        self.cut("vm-3", "refuse")
        await self.call("/unsafe/x", b"b", gateway=third)
        names = [n for n in ("p1", "p2") if n in third.tunnels.reachability.unreachable]
        answer = await self.open(names[0], third)
        self.assertEqual(answer, ReachIs(Reach.SILENT, 0))
        self.assertEqual(third.tunnels.forwarded, set())

    async def test_to_an_endpoint_that_it_does_not_know(self) -> None:
        answer = await self.open("nobody", self.helper)
        self.assertEqual(answer, ReachIs(Reach.UNKNOWN, 0))

    async def test_by_a_vm_that_is_stopping(self) -> None:
        self.helper.tunnels.stop()
        self.assertEqual(await self.open("p1", self.helper), ReachIs(Reach.BUSY, 0))

    async def test_beyond_the_limit(self) -> None:
        with mock.patch("walnutquay.coordination.routed.tunnels.MAX_TUNNELS", 0):
            answer = await self.open("p1", self.helper)
        self.assertEqual(answer, ReachIs(Reach.BUSY, 0))

    async def test_to_a_stranger(self) -> None:
        self.gateway.node.codec = PeerCodec([b"another fleet's"])
        with self.assertRaises(PeerError):
            await self.open("p1", self.helper)
        self.assertEqual(self.helper.tunnels.forwarded, set())

    async def test_for_a_message_that_was_kept(self) -> None:
        with mock.patch("walnutquay.transport.peers.MAX_AGE_MICROSECONDS", -1):
            answer = await self.open("p1", self.helper)
        self.assertIsInstance(answer, Failure)

    async def test_where_nobody_reaches_the_endpoint_callers_are_told(self) -> None:
        self.cut("vm-2", "refuse")
        with mock.patch("walnutquay.state.routed.links.ANSWERS_VALID_SECONDS", 60.0):
            for _ in range(3):
                answer = await self.call("/unsafe/x", b"b")
                self.assertEqual(answer.status, 503)
        self.assertEqual(self.runs("p1", "p2"), 0)
        events = [e.kind for e in self.gateway.context.timeline.ring.events]
        refused = [n for n, kind in enumerate(events) if kind is EventKind.REFUSED]
        # Once both are known to be down, nothing is sent there.
        later = events[refused[0] : refused[-1]]
        self.assertNotIn(EventKind.DISPATCHED, later)

    async def test_a_query_is_answered_by_the_vm_itself(self) -> None:
        query = AskReach(EndpointName("p1"), None)
        answer = await self.gateway.peers.call("vm-2", query, 2.0)
        self.assertEqual(answer, ReachIs(Reach.REACHED, 0))


class StopTest(TunnelCase):
    """A VM stops while it forwards connections."""

    async def test_what_it_forwards_ends_first(self) -> None:
        self.endpoints["e1"].default = Behaviour(events=8, pause=0.1)
        call = self.track(self.call("/stream/x", Deadline="9000"))
        await self.until(lambda: bool(self.helper.tunnels.forwarded))
        await self.helper.drain()
        self.assertEqual(self.helper.tunnels.forwarded, set())
        await self.close_gateway(self.helper)
        answer = await call
        self.assertEqual((answer.status, answer.whole), (200, True))
        self.assertEqual(len(self.endpoints["e1"].runs), 1)


class LostHelperTest(TunnelCase):
    """A VM is lost while it forwards connections."""

    others = 2

    async def test_a_stream_continues_through_another_one(self) -> None:
        self.endpoints["e1"].default = Behaviour(events=8, pause=0.1)
        call = self.track(self.call("/stream/x", Deadline="9000"))
        helpers = self.gateways[1:]
        await self.until(lambda: any(h.tunnels.forwarded for h in helpers))
        used = next(h for h in helpers if h.tunnels.forwarded)
        await self.close_gateway(used)
        for end in list(used.tunnels.forwarded):
            end.reset()
        answer = await call
        self.assertEqual((answer.status, answer.whole), (200, True))
        self.assertEqual(answer.body.count(b"id:"), 8)
        kinds = [event.kind for event in self.gateway.context.timeline.ring.events]
        self.assertNotIn(EventKind.ENDPOINT_ENDED, kinds)


class KilledHelperTest(TunnelCase):
    """A VM is killed while it forwards answers without a length.

    Guards against parts of answers that seem whole: the system closes the connections
    of a process that ends as an endpoint closes its own.
    """

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.gate = asyncio.Event()
        self.addCleanup(self.gate.set)

    async def cut_within(self, path: str) -> Got:
        """Have the first answer cut between two events, and return what came of it."""
        first = Behaviour(events=4, framed=False, gate=self.gate)
        left = [first]
        for worker in self.endpoints.values():
            worker.choose = lambda _: left.pop() if left else replace(first, gate=None)
        call = self.track(self.call(path, b"b", Model="tiny", Deadline="9000"))
        with self.watch_data() as passed_on:
            await self.until(lambda: bool(passed_on))
        for near in list(self.helper.tunnels.forwarded):
            near.close()
        return await call

    @contextmanager
    def watch_data(self) -> Iterator[list[bytes]]:
        """Collect what comes from endpoints and is passed on."""
        passed_on = []
        receive = TunnelEnd.data_received

        def watched(end: TunnelEnd, data: bytes) -> None:
            receive(end, data)
            if end not in self.helper.tunnels.forwarded:
                passed_on.append(data)

        with mock.patch.object(TunnelEnd, "data_received", watched):
            yield passed_on

    async def test_plain_answer_is_not_whole(self) -> None:
        answer = await self.cut_within("/unsafe/x")
        self.assertEqual(answer.status, 502)
        self.assertEqual(self.runs("p1", "p2"), 1)

    async def test_safe_request_is_sent_again(self) -> None:
        answer = await self.cut_within("/safe/x")
        self.assertEqual((answer.status, answer.whole), (200, True))
        self.assertEqual(answer.body.count(b"id:"), 4)

    async def test_stream_is_resumed(self) -> None:
        answer = await self.cut_within("/stream/x")
        self.assertEqual((answer.status, answer.whole), (200, True))
        self.assertEqual(answer.body.count(b"id:"), 4)

    async def test_stream_that_may_not_be_resumed_is_not_whole(self) -> None:
        answer = await self.cut_within("/once/x")
        self.assertFalse(answer.status == 200 and answer.whole)

    async def test_endpoint_is_not_blamed(self) -> None:
        await self.cut_within("/unsafe/x")
        events = self.gateway.context.timeline.ring.events
        failed = [event for event in events if event.kind is EventKind.FAILED]
        facts = [dict(event.facts) for event in failed]
        self.assertEqual([one["step"] for one in facts], ["forwarder"])
        self.assertEqual([one["own_link"] for one in facts], [True])


class OlderBuildTest(TunnelCase):
    """One of the two VMs is of a build whose tunnels have no frames.

    Guards against a part that seems whole, and against answers that neither could read.
    """

    def answer_framed(self, framed: bool) -> None:
        for name in ("p1", "p2"):
            self.endpoints[name].default = Behaviour(body=b"all of it", framed=framed)

    def age_helper(self) -> None:
        """Have the VM that forwards ignore that frames are asked for."""
        serve = self.helper.tunnels.serve

        async def older(envelope: Envelope, writer: asyncio.StreamWriter) -> bool:
            body = replace(envelope.body, framed=False)
            return await serve(replace(envelope, body=body), writer)

        self.helper.node.tunnel_handler = older

    def age_caller(self) -> None:
        """Have the VM that asks not know of frames."""

        async def older(
            node: PeerNode, address: Address, body: OpenTunnel, timeout: float
        ) -> tuple[Message, socket.socket]:
            return await request_tunnel(
                node, address, replace(body, framed=False), timeout
            )

        name = "walnutquay.coordination.routed.tunnels.request_tunnel"
        self.enterContext(mock.patch(name, older))

    async def test_answer_with_a_length_is_read(self) -> None:
        self.answer_framed(True)
        for age in (self.age_helper, self.age_caller):
            with self.subTest(age=age.__name__):
                age()
                answer = await self.call("/unsafe/x", b"b")
                self.assertEqual((answer.status, answer.body), (200, b"all of it"))

    async def test_answer_without_a_length_never_seems_whole(self) -> None:
        self.answer_framed(False)
        for age in (self.age_helper, self.age_caller):
            with self.subTest(age=age.__name__):
                age()
                answer = await self.call("/unsafe/x", b"b")
                self.assertEqual(answer.status, 502)


class TunnelEndTest(TunnelCase):
    """How the two connections of a tunnel follow each other."""

    async def test_a_reset_that_reads_as_an_end_stays_a_reset(self) -> None:
        near, far = TunnelEnd(), TunnelEnd()
        near.transport, far.transport = mock.Mock(), mock.Mock()
        near.other = far
        with mock.patch("walnutquay.transport.tunnels.was_reset", return_value=True):
            self.assertFalse(near.eof_received())
        far.transport.abort.assert_called_once()
        far.transport.write_eof.assert_not_called()

    async def test_a_slow_reader_holds_the_sender_up(self) -> None:
        for name in ("p1", "p2"):
            self.endpoints[name].default = Behaviour(body=b"x" * LARGE)
        largest = 0
        write = TunnelEnd.data_received

        def watched(end: TunnelEnd, data: bytes) -> None:
            nonlocal largest
            write(end, data)
            transport = end.other.transport if end.other else None
            if transport is not None:
                largest = max(largest, transport.get_write_buffer_size())

        with mock.patch.object(TunnelEnd, "data_received", watched):
            message = OpenTunnel(EndpointName("p1"), None, "r")
            node = self.gateway.node
            _, bound = await request_tunnel(node, self.helper.peers.own, message, 2.0)
            reader, writer = await asyncio.open_connection(sock=bound, limit=1024)
            head = "GET /safe/x HTTP/1.1\r\nRequest-Id: r\r\n\r\n"
            writer.write(head.encode())
            await reader.readuntil(b"\r\n\r\n")
            await self.until(lambda: largest > 0)
            await asyncio.sleep(0.3)
            writer.transport.abort()
        self.assertLess(largest, 1 << 20)


class ClientTest(TunnelCase):
    """Callers that read from a VM which reaches no endpoint."""

    async def test_many_at_once(self) -> None:
        answers = await self.calls_at_once("safe", 40)
        self.assertEqual([answer.status for answer in answers], [200] * 40)
        await self.until(lambda: not self.helper.tunnels.forwarded)

    async def test_a_caller_who_is_cut_off_leaves_nothing(self) -> None:
        self.endpoints["p1"].default = Behaviour(mute=True)
        self.endpoints["p2"].default = Behaviour(mute=True)
        with self.assertRaises((aiohttp.ClientError, TimeoutError)):
            async with asyncio.timeout(0.5):
                await self.call("/unsafe/x", b"b")
        await self.until(lambda: not self.helper.tunnels.forwarded)
        await self.until(lambda: not self.gateway.path.in_flight)
