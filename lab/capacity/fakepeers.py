# Licensed under the Apache License 2.0: see LICENSE for details.

"""Simulates many entry VMs in one process.

``python -m lab.capacity.fakepeers N PORT PERIOD [R]``: they send real heartbeats with
rumours to the VM at PORT, as often as N VMs would that each choose their targets at
random, and answer its calls. With R, they tell R counts of outcomes each second, which
is what one VM is told.
"""

from __future__ import annotations

import asyncio
import json
import random
import sys

from standins.fleet import FLEET_KEY, HOST
from walnutquay.coordination.own.outcomecounts import (
    LARGE_FLEET_ROUNDS,
    OUTCOME_COUNTS_SECONDS,
)
from walnutquay.protocol import messages as m
from walnutquay.protocol import ownmessages as own
from walnutquay.protocol.ownpeer import OwnPeerCodec
from walnutquay.state.fleet.membership import (
    COUNTER_BITS,
    DIGESTS,
    HEARTBEAT_FANOUT,
    RUMOURS,
    Address,
    MemberUpdate,
    digest_of,
)
from walnutquay.state.own.outcomecounts import OutcomeCount
from walnutquay.state.process.clock import HybridClock
from walnutquay.state.process.ids import HallName, Incarnation, VmName
from walnutquay.state.process.metrics import Metrics
from walnutquay.transport.peers import PeerNode

SEED = 7
INCARNATION = Incarnation("0-fake")
# As long as a real one, for the size of messages.
INCARNATION_SHAPE = "0" * 14 + "-" + "0" * 8
FAKE_COUNTERS = 400


async def answer(envelope: m.Envelope) -> m.Message | None:
    """:param envelope: what the VM sends.

    :returns: what a peer would answer.
    """
    if isinstance(envelope.body, own.BillCopy):
        return own.BillTaken()
    if isinstance(envelope.body, own.AskHead):
        return own.HeadIs(b"")
    if isinstance(envelope.body, own.Heartbeat):
        return None
    return m.Failure("a simulated peer")


async def tell_counts(node: PeerNode, target: Address, rows: int) -> None:
    """Tell counts that change each time, as other VMs would.

    :param node: the sockets.
    :param target: where the VM listens.
    :param rows: counts in a message.
    """
    told = 0
    while rows:
        told += 1
        news = tuple(
            OutcomeCount(
                f"fake-{(told + row) % FAKE_COUNTERS:04d}",
                INCARNATION_SHAPE,
                f"rated|a-cascade|a-class-{row}|a-version-1",
                told,
                told,
            )
            for row in range(rows)
        )
        node.send(target, own.TallyNews(news))
        await asyncio.sleep(OUTCOME_COUNTS_SECONDS * LARGE_FLEET_ROUNDS)


async def run(count: int, port: int, period: float, rows: int) -> None:
    """Run peers until ended.

    :param count: how many.
    :param port: where the VM listens.
    :param period: seconds between heartbeats of each.
    :param rows: counts of outcomes in each message.
    """
    rng = random.Random(SEED)
    codec = OwnPeerCodec([FLEET_KEY.encode()])
    node = PeerNode("fake", "fake", codec, HybridClock(), Metrics(), answer)
    await node.start(HOST, 0)
    print(json.dumps({"ready": {"peers": node.port}}), flush=True)
    target = Address(HOST, port)
    counting = asyncio.ensure_future(tell_counts(node, target, rows))
    counting.add_done_callback(lambda task: task.cancelled() or task.result())
    counter = 0
    share = min(1.0, HEARTBEAT_FANOUT / count)

    def news(number: int) -> MemberUpdate:
        return MemberUpdate(
            VmName(f"fake-{number:04d}"),
            INCARNATION,
            HallName(f"hall-{number % 4}"),
            counter,
            1,
            False,
            Address(HOST, node.port),
            1,
            0.1,
        )

    while True:
        counter += 1
        for number in range(count):
            if rng.random() < share:
                others = rng.sample(range(count), min(RUMOURS, count))
                rumours = tuple(news(other) for other in others)
                heard = rng.sample(range(count), min(DIGESTS, count))
                digests = tuple(
                    digest_of(f"fake-{other:04d}", INCARNATION) << COUNTER_BITS
                    | counter
                    for other in heard
                )
                node.send(target, own.Heartbeat(news(number), rumours, digests))
            if number % 50 == 49:
                await asyncio.sleep(0)
        await asyncio.sleep(period)


if __name__ == "__main__":
    told = int(sys.argv[4]) if sys.argv[4:] else 0
    asyncio.run(run(int(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3]), told))
