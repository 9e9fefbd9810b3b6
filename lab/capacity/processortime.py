# Licensed under the Apache License 2.0: see LICENSE for details.

"""Processor time of what one VM of a large fleet does.

Processor time of one process, the least of some rounds, for others run beside it.
Before and after a change it is run by turns, on both trees.
"""

from __future__ import annotations

import asyncio
import itertools
import logging
import math
import os
import resource
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import replace
from pathlib import Path

import click
import logbook

from lab.capacity.costvm import MODELS, NEW, ROUTE, SERVICE, CostVm, hall_of, vm_name
from walnutquay.coordination.process.eventlog import EventLog
from walnutquay.coordination.requests.slots import SlotRequest
from walnutquay.coordination.routed.cascading import Cascading
from walnutquay.coordination.routed.turn import RoutedTurn
from walnutquay.logs import LineHandler
from walnutquay.protocol import messages as m
from walnutquay.state.process.events import EventKind
from walnutquay.state.process.ids import EndpointName, ModelName, VmProcess
from walnutquay.state.process.metrics import Metrics
from walnutquay.state.routed.gains import GainCounts, GainRow, ModelPair
from walnutquay.state.trials.baseline import BaselineTime
from walnutquay.state.trials.counts import Measure, TrialCounts
from walnutquay.state.trials.reports import TrialReport, Verdict
from walnutquay.transport.lines import LineWriter
from walnutquay.transport.timers import monotonic

MICROSECONDS = 1e6
ROUNDS = 30
# How long one round takes at the least; seconds of processor time.
ROUND_SECONDS = 0.01
STARTS = 5
# Sessions that one VM keeps on the old version during a trial.
KEPT = 20

Step = Callable[[], Awaitable[object]]


async def cost(step: Step) -> float:
    """:param step: what is measured.

    :returns: microseconds of processor time that it takes.
    """
    found = []
    for _ in range(ROUNDS):
        count = 0
        began = time.process_time()
        while (used := time.process_time() - began) < ROUND_SECONDS:
            await step()
            count += 1
        found.append(used / count)
    return min(found) * MICROSECONDS


def start_cost() -> float:
    """:returns: microseconds to start a VM, up to where its settings are read."""
    with tempfile.TemporaryDirectory(prefix="walnutquay-lab-") as folder:
        settings = Path(folder) / "empty.toml"
        settings.touch()
        command = [sys.executable, "-m", "walnutquay", "gateway"]
        command += ["--settings", str(settings)]
        environment = {
            name: value
            for name, value in os.environ.items()
            if name != "PYTHONDONTWRITEBYTECODE"
        } | {"PYTHONPYCACHEPREFIX": folder}
        found = []
        # The first start compiles.
        for _ in range(1 + STARTS):
            before = _children_seconds()
            subprocess.run(
                command, env=environment, stderr=subprocess.DEVNULL, check=False
            )
            found.append(_children_seconds() - before)
    return min(found[1:]) * MICROSECONDS


def _children_seconds() -> float:
    used = resource.getrusage(resource.RUSAGE_CHILDREN)
    return used.ru_utime + used.ru_stime


def _need(vm: CostVm, turn: RoutedTurn) -> SlotRequest:
    arrival = turn.arrival
    choice = vm.versions.version_for(turn)
    return SlotRequest(
        arrival.request,
        arrival.organisation.name,
        1.0,
        SERVICE,
        arrival.deadline,
        turn.waiting_since,
        version=choice.version if choice is not None else "",
        work=turn.work,
        aim=ROUTE.objective_seconds,
    )


def request_steps(vm: CostVm) -> Iterator[tuple[str, Step]]:
    """:param vm: the VM.

    :returns: the decisions on a request, by name.
    """

    async def place() -> None:
        placed = await vm.places.acquire(_need(vm, vm.turn()))
        vm.places.answer_began(placed.ok, 0.05)
        vm.places.release(placed.ok)

    async def larger() -> None:
        turn = vm.turn()
        case = vm.cascading.case_of(turn)
        vm.cascading.choice.next(case, 0, 40.0)

    async def version() -> None:
        vm.versions.version_for(vm.turn())

    async def none() -> None:
        vm.turn()

    yield "a request's head alone", none
    yield "its version", version
    yield "its version and place", place
    yield "whether a larger model answers", larger


def _report(number: int, kept: int) -> TrialReport:
    counts = tuple(
        ((measure, ROUTE.name), TrialCounts(20 + number, number % 2))
        for measure in Measure
    )
    usual = tuple(BaselineTime(kind, 0.1, 50) for kind in range(6))
    return TrialReport(
        "o",
        NEW,
        counts,
        tuple(number * 10_000_000_000 + i for i in range(kept)),
        Verdict.UNSURE,
        3.0,
        0.0,
        usual,
        200,
        tuple(
            ((measure, ROUTE.name), TrialCounts(100 + number, 3)) for measure in Measure
        ),
    )


def messages() -> Iterator[tuple[str, m.Message]]:
    """:returns: the news that VMs tell each other, by name."""
    yield "work", m.WorkNews(EndpointName("srv-3"), 0.2, "beginning", MODELS[1], 1e-5)
    rows = tuple(
        GainRow(ModelPair(ModelName(a), ModelName(b)), GainCounts(9.0, 100.0, 2000.0))
        for a, b in itertools.pairwise(MODELS)
    )
    yield "opinions", m.OpinionNews(rows)
    yield "crashes' digest", m.CrashDigest(1 << 60)
    yield "trial", m.TrialNews(_report(5, KEPT))
    decided = replace(_report(5, KEPT), counts=(), usual=())
    yield "trial's kept sessions", m.TrialNews(decided)


def peer_steps(vm: CostVm) -> Iterator[tuple[str, Step]]:
    """:param vm: the VM.

    :returns: what it takes to send news, and to take them in, by name.
    """
    hall = hall_of(0)
    for name, body in messages():
        sealed = vm.sealed(4, body)

        async def send(body: m.Message = body) -> None:
            vm.peers.send_to_hall(hall, body)

        async def read(sealed: bytes = sealed) -> None:
            vm.codec.decode(sealed)

        async def hear(sealed: bytes = sealed) -> None:
            vm.node.datagram(sealed)
            await asyncio.sleep(0)

        yield f"{name}: told in the hall ({len(sealed)} bytes)", send
        yield f"{name}: read", read
        if type(body) in vm.dispatcher.receivers:
            yield f"{name}: taken in", hear


def timer_steps(vm: CostVm, cascading: Cascading) -> Iterator[tuple[str, Step]]:
    """:param vm: the VM.

    :param cascading: its choice of models.
    :returns: what its timers call, by name.
    """

    async def watchers() -> None:
        vm.peers.is_relay()

    async def keeper() -> None:
        vm.peers.is_responsible_for("trials/o")

    async def opinions() -> None:
        cascading.send_gains()

    yield "whether it is a relay", watchers
    yield "whether it is a keeper", keeper
    yield "opinions: nothing new", opinions
    yield "a look at a trial", vm.versions.decide


def log_steps() -> Iterator[tuple[str, Step]]:
    """:returns: what a request's lines take."""
    event_log = EventLog(Metrics())
    event_log.tokens = 1e12
    vm = CostVm(3, 3, event_log)

    async def line() -> None:
        # Without bound: each line is written.
        event_log.tokens = 1000.0
        vm.context.timeline.emit(
            EventKind.DISPATCHED,
            request="req-1",
            session="ses-1",
            version="v1",
            endpoint="srv-1",
            hall="hall-1",
            runs="v1",
            model="small",
            sends=1,
            load=3,
            load_age_ms=20,
            slots=16,
            cold=False,
            reading_ms=30,
            list_age_ms=100,
            left_ms=900,
        )

    yield "a line of the log", line


async def measure(vms: int, engines: int) -> None:
    """Print what each step takes.

    :param vms: VMs of the fleet.
    :param engines: engines of the one service that streams.
    """
    vm = CostVm(vms, engines)
    rows = next(body.rows for name, body in messages() if name == "opinions")
    for number in range(1, vms):
        vm.cascading.choice.gains.apply_peer_rows(vm_name(number), rows)
    for step in request_steps(vm):
        await show(*step)
    vm.begin_trial()
    task = vm.versions.tasks[SERVICE]
    task.trial.open = True
    for number in range(vms):
        if hall_of(number) == hall_of(0):
            process = VmProcess(f"{vm_name(number)}/1")
            task.trial.receive(process, _report(number, KEPT), monotonic())
    task.write_at = math.inf
    for name, step in request_steps(vm):
        await show(f"{name}, on trial", step)
    for step in peer_steps(vm):
        await show(*step)
    for step in timer_steps(vm, vm.cascading):
        await show(*step)
    for step in log_steps():
        await show(*step)


async def show(name: str, step: Step) -> None:
    """:param name: what is measured.

    :param step: it.
    """
    click.echo(f"{await cost(step):9.1f} us  {name}")


@click.command()
@click.option("--vms", default=91, help="VMs of the fleet.")
@click.option("--engines", default=112, help="Engines of the service that streams.")
def main(vms: int, engines: int) -> None:
    """Print the processor time of each step at one VM of a large fleet."""
    logging.disable()
    logbook.set_datetime_format("utc")
    click.echo(f"{start_cost():9.0f} us  a start")
    with open(os.devnull, "wb") as sink:
        handler = LineHandler(LineWriter(sink.fileno()), "vm-1", "INFO")
        with handler.applicationbound():
            asyncio.run(measure(vms, engines))


if __name__ == "__main__":
    main()
