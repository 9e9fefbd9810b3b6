# Licensed under the Apache License 2.0: see LICENSE for details.

"""What it costs to share out scarce slots: ``python -m lab.overload.costs``.

Bytes and processor time of a request's messages are measured, as are the decisions of
the keeper; what a VM spends a second is calculated from them, with what the keeper
sends to tell all VMs that slots are scarce.  Sockets and tasks are not included.
"""

from __future__ import annotations

import os
import random
import resource
import time
from collections.abc import Callable
from dataclasses import dataclass
from itertools import count

import click

from lab.overload.loads import Bounds
from walnutquay.coordination.fleet.peers import MAX_RECIPIENTS, RELAYS
from walnutquay.coordination.routed.slotkeeper import TOLD_PERIODS, tell_seconds
from walnutquay.coordination.routed.slotsigns import (
    MAX_SHARED_SLOTS,
    SlotSigns,
)
from walnutquay.protocol.messages import Envelope, Message
from walnutquay.protocol.peer import PeerCodec
from walnutquay.protocol.slotmessages import (
    AskSlot,
    SlotIs,
    SlotLoad,
    SlotNews,
    SlotReleased,
    SlotsScarce,
    SlotState,
)
from walnutquay.state.process.clock import Stamp
from walnutquay.state.process.ids import (
    EndpointName,
    OrganisationName,
    RouteName,
    ServiceName,
    VmName,
)
from walnutquay.state.routed.overloadscope import Coverage, OverloadScope
from walnutquay.state.routed.slotqueue import SlotQueue
from walnutquay.state.routed.slottypes import (
    DenialReason,
    Granted,
    SlotKey,
    SlotNumber,
    WaitingRequest,
    WorkHash,
)

SIZES = (6, 79, 195, 640)
ROUNDS = 5_000
DECIDED = 1_000
MICROSECONDS = 1_000_000
# What a VM may spend on control: bytes a second, part of a core, MB.
MAX_BYTES, MAX_CORE, MAX_MEGABYTES = 27_000, 0.022, 128
SERVICE, ENDPOINT = ServiceName("translate-small"), EndpointName("i-0123456789")
LOAD = SlotLoad(ENDPOINT, 6, 1, 1.2, 0.01)
START = 0x0123_4567_89AB_CDEF
NUMBER = SlotNumber(12_345)
BOUNDS = Bounds()
HALLS = 4
HEADINGS = (
    "| VMs | slots | load | requests/s | telling KB/s | keeper KB/s | keeper core "
    "| decisions, us | VM KB/s | VM core | keeper | within up to requests/s |"
)


@dataclass(frozen=True)
class Cost:
    """What one message or request costs.

    :param size: bytes.
    :param asker: processor time of the VM with the caller; seconds.
    :param keeper: processor time of the VM that is asked; seconds.
    """

    size: float = 0.0
    asker: float = 0.0
    keeper: float = 0.0

    def __add__(self, other: Cost) -> Cost:
        return Cost(
            self.size + other.size,
            self.asker + other.asker,
            self.keeper + other.keeper,
        )

    def __mul__(self, factor: float) -> Cost:
        return Cost(self.size * factor, self.asker * factor, self.keeper * factor)


def seconds_of(call: Callable[[], object], rounds: int = ROUNDS) -> float:
    """:returns: the processor time of a call; seconds."""
    began = time.process_time()
    for _ in range(rounds):
        call()
    return (time.process_time() - began) / rounds


def cost_of(body: Message, to_keeper: bool) -> Cost:
    """Measure one message.

    :param body: the message.
    :param to_keeper: whether the keeper reads it; else it writes it.
    """
    codec = PeerCodec([b"key"])
    stamp = Stamp(1_788_067_740_000_000, 0)
    envelope = Envelope("vm-123", "0123456789abcdef", stamp, body, 7)
    data = codec.encode(envelope)
    writing = seconds_of(lambda: codec.encode(envelope))
    reading = seconds_of(lambda: codec.decode(data))
    if to_keeper:
        return Cost(len(data), writing, reading)
    return Cost(len(data), reading, writing)


def message_costs() -> dict[str, Cost]:
    """:returns: what the messages cost, by name."""
    route, organisation = RouteName("translate"), OrganisationName("org-123")
    work = WorkHash(START)
    ask = AskSlot(
        SERVICE, NUMBER, route, organisation, 1.0, 1, work, 0.5, 2.3, loads=(LOAD,)
    )
    granted = SlotIs(SlotState.GRANTED, ENDPOINT, start=START)
    reason = DenialReason.NO_ROOM.value
    return {
        "AskSlot": cost_of(ask, True),
        "SlotIs, granted": cost_of(granted, False),
        "SlotIs, waiting": cost_of(SlotIs(SlotState.WAITING, start=START), False),
        "SlotIs, denied": cost_of(
            SlotIs(SlotState.DENIED, None, 0.4, reason, START), False
        ),
        "SlotNews": cost_of(SlotNews(SERVICE, NUMBER, granted), False),
        "SlotReleased": cost_of(
            SlotReleased(SERVICE, NUMBER, ENDPOINT, 0.25, False, LOAD), True
        ),
        "SlotsScarce": cost_of(SlotsScarce(SERVICE, TOLD_PERIODS), False),
    }


def request_costs(of: dict[str, Cost]) -> dict[str, Cost]:
    """:returns: what the messages of one request cost, by its course."""
    waiting = of["AskSlot"] + of["SlotIs, waiting"]
    return {
        "granted at once": of["AskSlot"] + of["SlotIs, granted"] + of["SlotReleased"],
        # It asks again once while it waits.
        "waits, then granted": waiting * 2 + of["SlotNews"] + of["SlotReleased"],
        "refused": of["AskSlot"] + of["SlotIs, denied"],
    }


class Keeper:
    """The queue of one service.

    :param vms: the number of entry VMs.
    :param endpoints: the number of its endpoints.
    """

    def __init__(self, vms: int, endpoints: int) -> None:
        self.vms = vms
        self.endpoints = endpoints
        self.rate = self.endpoints * BOUNDS.slots / BOUNDS.work
        self.queue = SlotQueue(SERVICE, random.Random(1))
        self.queue.times.learn(RouteName("r"), BOUNDS.work, 1.0)
        names = [EndpointName(f"e{number}") for number in range(self.endpoints)]
        self.queue.set_endpoints(dict.fromkeys(names, BOUNDS.slots))
        self.numbers = count(1)
        self.running: list[tuple[float, SlotKey]] = []
        self.now = 0.0

    def step(self, load: float) -> None:
        """Have one request come, and those end that are due."""
        self.now += 1.0 / (self.rate * load)
        number = next(self.numbers)
        key = SlotKey(VmName(f"vm-{number % self.vms}"), SlotNumber(number))
        self.queue.ask(self.request(key), self.now)
        self.decide()
        while self.running and self.running[0][0] <= self.now:
            self.queue.release(self.running.pop(0)[1], BOUNDS.work, self.now)
            self.decide()

    def request(self, key: SlotKey) -> WaitingRequest:
        """:returns: a request of one of two organisations, of one of three ranks."""
        return WaitingRequest(
            key,
            SERVICE,
            RouteName("r"),
            OrganisationName(f"o{key.number % 2}"),
            1.0,
            key.number % 3,
            WorkHash(key.number),
            self.now,
            self.now + BOUNDS.aim,
            self.now + BOUNDS.deadline,
        )

    def decide(self) -> None:
        """Start what is granted."""
        for one in self.queue.decide(self.now):
            if isinstance(one, Granted):
                self.running.append((self.now + BOUNDS.work, one.key))

    def decision_seconds(self, load: float) -> float:
        """:returns: the processor time of the decisions on one request; seconds."""
        for _ in range(self.endpoints * (BOUNDS.slots + 1)):
            self.step(load)
        return seconds_of(lambda: self.step(load), DECIDED)


def idle_costs() -> tuple[float, float]:
    """:returns: the time that a request costs where slots are not scarce; seconds."""
    scope = OverloadScope(Coverage.PACED)
    scope.on_load(SERVICE, 1.0)
    signs = SlotSigns(scope, lambda _: {ENDPOINT: 6})
    never = seconds_of(lambda: signs.are_scarce(SERVICE, 0.0))
    signs.on_rejected(SERVICE, 0.0)
    return never, seconds_of(lambda: signs.are_scarce(SERVICE, 9.0))


def verdict(size: float, core: float) -> str:
    """:returns: whether a VM keeps within its limits."""
    over = []
    if size > MAX_BYTES:
        over.append(f"bytes {size / MAX_BYTES:.1f} times")
    if core > MAX_CORE:
        over.append(f"processor {core / MAX_CORE:.1f} times")
    return "within" if not over else "OVER: " + ", ".join(over)


def loads_of(courses: dict[str, Cost]) -> dict[float, Cost]:
    """:returns: the mean cost of a request, by the load that the slots are under."""
    waits, refused = courses["waits, then granted"], courses["refused"]
    return {1.0: courses["granted at once"], 2.0: waits * 0.5 + refused * 0.5}


def telling_bytes(vms: int, size: float) -> float:
    """Calculate what the keeper sends to tell all VMs that slots are scarce.

    :param vms: the number of entry VMs.
    :param size: the bytes of the message.
    :returns: bytes a second.
    """
    receivers = vms - 1
    if receivers > MAX_RECIPIENTS:
        receivers = vms // HALLS - 1 + RELAYS * (HALLS - 1)
    return receivers * size / tell_seconds(vms)


def row_of(vms: int, endpoints: int, load: float, mean: Cost, telling: float) -> str:
    """:returns: what the keeper and the other VMs spend in one case."""
    keeper = Keeper(vms, endpoints)
    deciding = keeper.decision_seconds(load)
    rate = keeper.rate * load
    asked, core = rate * mean.size, rate * (mean.keeper + deciding)
    size = asked + telling
    left = max(0.0, MAX_BYTES - telling)
    most = min(left / mean.size, MAX_CORE / (mean.keeper + deciding))
    return (
        f"| {vms} | {endpoints * BOUNDS.slots} | {load:g} | {rate:.0f} "
        f"| {telling / 1e3:.1f} | {size / 1e3:.1f} | {core:.1%} "
        f"| {deciding * MICROSECONDS:.0f} "
        f"| {asked / vms / 1e3:.2f} | {rate / vms * mean.asker:.2%} "
        f"| {verdict(size, core)} | {most:.0f} |"
    )


@click.command()
@click.option("--sizes", default=",".join(map(str, SIZES)), help="VMs, with commas.")
def main(sizes: str) -> None:
    """Print the tables."""
    click.echo(f"load of the machine: {os.getloadavg()}, {os.cpu_count()} processors")
    costs = message_costs()
    click.echo("| message or request | bytes | asking VM, us | keeper, us |")
    click.echo("| --- | --- | --- | --- |")
    courses = request_costs(costs)
    for name, cost in (costs | courses).items():
        click.echo(
            f"| {name} | {cost.size:.0f} | {cost.asker * MICROSECONDS:.0f} "
            f"| {cost.keeper * MICROSECONDS:.0f} |"
        )
    never, after = (seconds * MICROSECONDS for seconds in idle_costs())
    click.echo(
        f"a service that is not scarce: no message; {never:.2f} us a request, "
        f"{after:.2f} us once it has been"
    )
    loads = loads_of(courses)
    for load, mean in loads.items():
        click.echo(
            f"at {load:g} times what the slots bear {mean.size:.0f} bytes a request: "
            f"27 KB/s of them at {MAX_BYTES / mean.size:.0f} requests a second"
        )
    click.echo(HEADINGS)
    click.echo("|" + " --- |" * (HEADINGS.count("|") - 1))
    before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    rows = []
    for vms in map(int, sizes.split(",")):
        telling = telling_bytes(vms, costs["SlotsScarce"].size)
        most = MAX_SHARED_SLOTS // BOUNDS.slots
        for endpoints in (BOUNDS.endpoints, most):
            for load, mean in loads.items():
                rows.append(row_of(vms, endpoints, load, mean, telling))
                click.echo(rows[-1])
    over = sum("OVER" in row for row in rows)
    click.echo(f"the keeper exceeds what a VM may spend in {over} of {len(rows)} cases")
    grown = (resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before) / 1024
    click.echo(
        f"memory of the queues, over the process: {grown:.0f} MB of {MAX_MEGABYTES}"
    )


if __name__ == "__main__":
    main()
