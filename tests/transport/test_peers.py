# Licensed under the Apache License 2.0: see LICENSE for details.

"""The sockets between entry VMs, in one process, on the daemon's own loop."""

from __future__ import annotations

import asyncio
import unittest
from typing import ClassVar

from walnutquay.env import forbid_io_uring

forbid_io_uring()

import uvloop  # noqa: E402

from standins.link import Link  # noqa: E402
from walnutquay.exceptions import MessageError, PeerError  # noqa: E402
from walnutquay.protocol import messages as m  # noqa: E402
from walnutquay.protocol import ownmessages as own  # noqa: E402
from walnutquay.protocol.lists import (  # noqa: E402
    MAX_BYTES,
    pack,
    pack_places,
    unpack,
    unpack_places,
)
from walnutquay.protocol.ownpeer import OwnPeerCodec  # noqa: E402
from walnutquay.protocol.peer import SEAL_BYTES  # noqa: E402
from walnutquay.state.fleet.membership import Address, VmLocation  # noqa: E402
from walnutquay.state.process.clock import HybridClock, Stamp  # noqa: E402
from walnutquay.state.process.ids import (  # noqa: E402
    EndpointName,
    Fingerprint,
    HallName,
    ModelName,
    RouteName,
    ServiceName,
    VersionName,
    VmName,
)
from walnutquay.state.process.metrics import Metrics  # noqa: E402
from walnutquay.state.requests.crashtypes import CrashTarget, CrashTrace  # noqa: E402
from walnutquay.state.routed.gains import GainCounts, GainRow, ModelPair  # noqa: E402
from walnutquay.state.trials.baseline import BaselineTime  # noqa: E402
from walnutquay.state.trials.counts import Measure, TrialCounts  # noqa: E402
from walnutquay.state.trials.reports import TrialReport, Verdict  # noqa: E402
from walnutquay.state.trials.sessionrecords import SeenSession  # noqa: E402
from walnutquay.transport.peers import PeerNode  # noqa: E402

KEY = b"a-key-of-the-whole-fleet"
HOST = "127.0.0.1"
HALL = HallName("hall-a")


async def answer(envelope: m.Envelope) -> m.Message | None:
    """:returns: the answer to a call."""
    if isinstance(envelope.body, own.AskPart):
        return own.PartIs(envelope.body.hash.encode())
    raise ValueError("not taken")


# Numbers of sessions, the smallest and the largest.
KEPT = (0, (1 << 64) - 1)


class TrialNewsTest(unittest.TestCase):
    """What VMs tell each other of versions on trial."""

    def sealed(self, word: str, elapsed: float | None = 1.5) -> bytes:
        """:returns: news with a measure, as they are sent."""
        counts = TrialCounts(3, 2, frozenset({EndpointName("i-1")}))
        subject = (Measure(word), RouteName("r"))
        report = TrialReport(
            "order",
            VersionName("v2"),
            ((subject, counts),),
            KEPT,
            Verdict.GOOD,
            elapsed,
            0.5,
            (BaselineTime(7, 0.25, 9),),
            12,
            ((subject, TrialCounts(5, 1)),),
        )
        envelope = m.Envelope("vm-a", "inc", Stamp(1, 0), m.TrialNews(report))
        return OwnPeerCodec([KEY]).encode(envelope)

    def test_there_and_back(self):
        report = OwnPeerCodec([KEY]).decode(self.sealed("failed")).body.report
        counts = TrialCounts(3, 2, frozenset({EndpointName("i-1")}))
        self.assertEqual(report.counts, (((Measure.FAILED, "r"), counts),))
        self.assertEqual((report.order, report.version), ("order", "v2"))
        self.assertEqual((report.kept, report.verdict), (KEPT, Verdict.GOOD))
        self.assertEqual((report.elapsed, report.opens_in), (1.5, 0.5))
        self.assertEqual(report.usual, (BaselineTime(7, 0.25, 9),))
        self.assertEqual(report.seen, 12)
        old = ((Measure.FAILED, "r"), TrialCounts(5, 1))
        self.assertEqual(report.old, (old,))

    def test_a_beginning_that_is_not_known(self):
        report = OwnPeerCodec([KEY]).decode(self.sealed("failed", None)).body.report
        self.assertIsNone(report.elapsed)

    def test_a_measure_that_is_not_known_is_no_message(self):
        codec = OwnPeerCodec([KEY])
        data = self.sealed("failed")[SEAL_BYTES:].replace(b"failed", b"faster")
        with self.assertRaises(MessageError):
            codec.decode(codec._seal(KEY, data) + data)


class SessionsSeenTest(unittest.TestCase):
    """What a VM that stops hands over."""

    def test_there_and_back(self):
        rows = (SeenSession(ServiceName("s"), "a", VersionName("v1"), 0.5),)
        for body in (m.SessionsSeen(rows), m.SessionsTaken()):
            with self.subTest(body=body):
                envelope = m.Envelope("vm-a", "inc", Stamp(1, 0), body)
                codec = OwnPeerCodec([KEY])
                self.assertEqual(codec.decode(codec.encode(envelope)).body, body)


class OpinionNewsTest(unittest.TestCase):
    """What VMs tell each other of models' opinions."""

    def test_there_and_back(self):
        pair = ModelPair(ModelName("small"), ModelName("large"))
        body = m.OpinionNews((GainRow(pair, GainCounts(3.0, 150.0, 7_600.0)),))
        sealed = OwnPeerCodec([KEY]).encode(
            m.Envelope("vm-a", "inc", Stamp(1, 0), body)
        )
        self.assertEqual(OwnPeerCodec([KEY]).decode(sealed).body, body)


class CrashNewsTest(unittest.TestCase):
    """What VMs tell each other of requests at endpoints that ended."""

    def test_there_and_back(self):
        target = CrashTarget(ServiceName("s"), VersionName("v1"))
        mark = Fingerprint("0f" * 16)
        name = EndpointName("i-1")
        body = m.CrashNews(
            (
                CrashTrace(mark, target, name, 0.5, 0.25),
                CrashTrace(mark, target, name, 0.5, 0.25, held=1.5),
                CrashTrace(mark, target, name, 0.5),
                CrashTrace(mark, target, name, 0.5, answered=True),
            )
        )
        for one in (body, m.CrashDigest((1 << 64) - 1), m.AskCrashes()):
            with self.subTest(body=one):
                envelope = m.Envelope("vm-a", "inc", Stamp(1, 0), one)
                codec = OwnPeerCodec([KEY])
                self.assertEqual(codec.decode(codec.encode(envelope)).body, one)


class VmsTest(unittest.TestCase):
    """Which VMs there are, told in short messages."""

    places: ClassVar = {
        VmName(f"front-{n}"): VmLocation(Address(f"10.0.0.{n}", 7000 + n), HALL)
        for n in range(195)
    }

    def test_there_and_back(self):
        codec = OwnPeerCodec([KEY])
        row = m.VmRow(VmName("front-7"), self.places[VmName("front-7")])
        data = pack_places(self.places)
        known = (m.KnownList("servers", b"s"), m.KnownList("config", b"c"))
        for body in (
            m.AskVms(7),
            m.VmsAre(data),
            m.VmNews(row, leaving=True, incarnation="inc"),
            m.AskStart(),
            m.StartIs(data, known),
            m.StartIs(b"", ()),
        ):
            envelope = m.Envelope("vm-a", "inc", Stamp(1, 0), body)
            self.assertEqual(codec.decode(codec.encode(envelope)).body, body)

    def test_the_list(self):
        data = pack_places(self.places)
        self.assertEqual(unpack_places(data), self.places)
        self.assertLess(len(data), 4_000)

    def test_what_is_no_list(self):
        for data in (b"", b"plain", pack(b"{}x"), pack(b"[[1]]"), pack(b"5")):
            with self.subTest(data=data), self.assertRaises(MessageError):
                unpack_places(data)

    def test_what_unpacks_to_too_much(self):
        with self.assertRaises(MessageError):
            unpack(pack(bytes(MAX_BYTES + 1)))

    def test_what_is_cut_off(self):
        with self.assertRaises(MessageError):
            unpack(pack_places(self.places)[:-9])


class PeerNodeTest(unittest.TestCase):
    """Calls end with an answer or a PeerError, whatever becomes of a stream."""

    def run_between(self, use) -> None:
        """Run something between two nodes."""

        async def run() -> None:
            nodes = [
                PeerNode(n, n, OwnPeerCodec([KEY]), HybridClock(), Metrics(), answer)
                for n in ("a", "b")
            ]
            for node in nodes:
                await node.start(HOST, 0)
            try:
                await use(nodes[0], Address(HOST, nodes[1].port), nodes[1])
            finally:
                for node in nodes:
                    await node.stop()

        uvloop.run(run())

    def test_calls_and_failures(self):
        async def use(node: PeerNode, address: Address, other: PeerNode) -> None:
            got = await node.call(address, own.AskPart("x"), 5.0)
            self.assertEqual(got, own.PartIs(b"x"))
            with self.assertRaises(PeerError) as caught:
                await node.call(address, own.AskHead(), 5.0, "vm-b")
            self.assertEqual(
                (caught.exception.step, caught.exception.peer), ("AskHead", "vm-b")
            )

        self.run_between(use)

    def test_a_stream_that_has_just_been_aborted(self):
        async def use(node: PeerNode, address: Address, other: PeerNode) -> None:
            for turns in range(8):
                await node.call(address, own.AskPart("x"), 5.0)
                node.connections[address].writer.transport.abort()
                # Nobody, or not everybody, has noticed yet.
                for _ in range(turns + 1):
                    await asyncio.sleep(0)
                got = await node.call(address, own.AskPart("y"), 5.0)
                self.assertEqual(got, own.PartIs(b"y"))

        self.run_between(use)

    def test_a_peer_whose_streams_end_at_once(self):
        # As behind a link that is being cut: the stream is opened, and has
        # ended by the time that the call goes on.
        async def use(node: PeerNode, address: Address, other: PeerNode) -> None:
            async def abort(
                reader: asyncio.StreamReader, writer: asyncio.StreamWriter
            ) -> None:
                writer.transport.abort()

            server = await asyncio.start_server(abort, HOST, 0)
            port = server.sockets[0].getsockname()[1]

            async def connect(where: Address):
                connection = await PeerNode._connect(node, where)
                connection.writer.transport.abort()
                await asyncio.sleep(0.01)
                return connection

            for slow in (False, True):
                node._connect = connect if slow else node._connect
                for _ in range(20):
                    with self.assertRaises(PeerError):
                        await node.call(Address(HOST, port), own.AskPart("x"), 5.0)
            server.close()

        self.run_between(use)

    def test_a_stream_that_fell_silent_is_replaced(self):
        async def use(node: PeerNode, address: Address, other: PeerNode) -> None:
            link = Link((HOST, other.port))
            await link.start()
            through = Address(HOST, link.port)
            await node.call(through, own.AskPart("x"), 5.0)
            link.silence()
            with self.assertRaises(PeerError):
                await node.call(through, own.AskPart("y"), 0.2)
            got = await node.call(through, own.AskPart("z"), 5.0)
            self.assertEqual(got, own.PartIs(b"z"))
            link.stop()

        self.run_between(use)

    def test_a_stream_that_only_one_call_was_late_on_is_kept(self):
        async def use(node: PeerNode, address: Address, other: PeerNode) -> None:
            held = asyncio.Event()
            answers = other.handler

            async def hold(envelope: m.Envelope) -> m.Message | None:
                if envelope.body == own.AskPart("held"):
                    await held.wait()
                return await answers(envelope)

            other.handler = hold
            await node.call(address, own.AskPart("x"), 5.0)
            before = node.connections[address]
            late = asyncio.ensure_future(node.call(address, own.AskPart("held"), 0.3))
            while not late.done():
                await node.call(address, own.AskPart("y"), 5.0)
                await asyncio.sleep(0.01)
            with self.assertRaises(PeerError):
                await late
            self.assertIs(node.connections[address], before)
            held.set()

        self.run_between(use)

    def test_a_peer_that_is_gone(self):
        async def use(node: PeerNode, address: Address, other: PeerNode) -> None:
            await node.call(address, own.AskPart("x"), 5.0)
            await other.stop()
            for _ in range(3):
                with self.assertRaises(PeerError):
                    await node.call(address, own.AskPart("x"), 1.0)

        self.run_between(use)
