# Licensed under the Apache License 2.0: see LICENSE for details.

"""Processor time of choosing an endpoint, where it tells its pace and where not.

``python -m lab.overload.choicecost`` times the choice that ``RoutedAdmission`` asks
for: an engine for a prompt, and an endpoint by its load.
"""

from __future__ import annotations

import os
import random
import statistics
import time

import click

from walnutquay.coordination.requests.slots import SlotRequest
from walnutquay.coordination.routed.endpointchoice import EndpointChoice
from walnutquay.coordination.routed.promptengines import EngineState, PromptEngines
from walnutquay.state.process.ids import (
    EndpointName,
    HallName,
    OrganisationName,
    RequestId,
    ServiceName,
    VersionName,
)
from walnutquay.state.requests.endpoints import EndpointTable
from walnutquay.state.routed.work import PromptWork, WorkTable
from walnutquay.state.store.instances import Instance
from walnutquay.transport.timers import monotonic

SERVICE, HALLS, SLOTS = ServiceName("s"), 3, 48
KEPT_SECONDS = 8.0
ROUNDS, REPEATS = 1_000, 5
MICROSECONDS = 1_000_000
PROMPT = PromptWork("medium", 12_000, "0123456789abcdef", 0)


def engine(number: int) -> Instance:
    """:returns: an engine; the data halls take turns."""
    return Instance(
        EndpointName(f"e{number}"),
        SERVICE,
        f"http://10.0.0.{number}:80",
        HallName(f"hall-{number % HALLS}"),
        VersionName("v1"),
        SLOTS,
    )


def choice_seconds(engines: int, paced: bool, work: PromptWork | None) -> float:
    """:returns: the processor time of one choice, the median of some; seconds."""
    hall = HallName("hall-0")
    table = EndpointTable(hall, random.Random(1))
    state = EngineState(hall, table, WorkTable())
    state.work.apply_peer_rate("medium", 1.3e-5)
    places = [engine(number) for number in range(engines)]
    choice = EndpointChoice(
        table, lambda found, _, now: PromptEngines(state, found, KEPT_SECONDS, now)
    )
    need = SlotRequest(
        request=RequestId("r"),
        organisation=OrganisationName("o"),
        weight=1.0,
        target=SERVICE,
        deadline=monotonic() + 1e6,
        since=monotonic(),
        aim=3.0,
        pause=1.2,
        work=work,
    )
    found = []
    for _ in range(REPEATS):
        for number, place in enumerate(places):
            # Half of them are twice as fast as the others.
            pace = 0.6 + 0.6 * (number % 2) if paced else None
            table.report(place.name, number % 7, "", monotonic(), pace)
        began = time.process_time()
        for _ in range(ROUNDS):
            choice.choose(places, need)
        found.append((time.process_time() - began) / ROUNDS)
    return statistics.median(found)


@click.command()
def main() -> None:
    """Print the table."""
    click.echo(f"load of the machine: {os.getloadavg()}, {os.cpu_count()} processors")
    click.echo("| endpoints | choice | without a pace, us | with a pace, us |")
    click.echo("| --- | --- | --- | --- |")
    for engines in (30, 60):
        for name, work in (("engine for a prompt", PROMPT), ("by load", None)):
            times = [choice_seconds(engines, paced, work) for paced in (False, True)]
            cells = " | ".join(f"{one * MICROSECONDS:.0f}" for one in times)
            click.echo(f"| {engines} | {name} | {cells} |")


if __name__ == "__main__":
    main()
