# Licensed under the Apache License 2.0: see LICENSE for details.

"""How one VM serves when it is handed most new connections of a fleet.

``python -m lab.skew.costs`` runs VMs as processes before stand-ins for endpoints.
Callers open a connection for each request: at first evenly, then nearly all at one VM,
more often than before, and after that at the next one.
"""

from __future__ import annotations

import asyncio
import itertools
import random
import statistics
import time
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from multiprocessing import get_context

import click

from soak.behaviours import EVENTS
from soak.connections import encode_request
from soak.fleet import APP, HOST, KEYS, SoakFleet
from standins.worker import Behaviour, Seen

# The share of new connections that one VM gets.
SKEW_SHARE = 0.95
# Seconds of each phase, of a caller's patience, and of a connection to come up.
PHASE_SECONDS = 6.0
PATIENCE_SECONDS = 4.0
CONNECT_SECONDS = 1.0
# What is left out at the beginning of a phase: VMs are given so long to adapt.
CONTACT_SECONDS = 3.0
TRIES = 3
PLAIN, ENGINES = 3, 4


@dataclass(frozen=True)
class Door:
    """A VM as callers see it: its name, and the port that it listens at."""

    name: str
    port: int


@dataclass
class Try:
    """A request, with what became of its first try that a VM read.

    :param at: when it was sent; monotonic seconds.
    :param served: whether that try was answered whole.
    :param unread: tries before it whose connection was refused, or closed unread.
    :param took: seconds until the answer was whole, from the first try on.
    :param vm: the VM that the first try went to.
    """

    at: float
    vm: str
    served: bool = False
    unread: int = 0
    took: float = float("inf")


class SkewedCallers:
    """Callers who open a connection for each request.

    :param vms: the VMs.
    :param seed: of all chance.
    """

    def __init__(self, vms: list[Door], seed: int) -> None:
        self.vms = vms
        self.rng = random.Random(seed)
        self.numbers = itertools.count()
        self.tries: list[Try] = []

    async def run(self, seconds: float, rate: float, favourite: Door | None) -> None:
        """Send requests for some time.

        :param seconds: for how long.
        :param rate: requests a second.
        :param favourite: the VM that gets most connections; None for no such VM.
        """
        end = time.monotonic() + seconds
        tasks = []
        while time.monotonic() < end:
            vm = self.rng.choice(self.vms)
            if favourite is not None and self.rng.random() < SKEW_SHARE:
                vm = favourite
            tasks.append(asyncio.ensure_future(self._ask(vm)))
            await asyncio.sleep(self.rng.expovariate(rate))
        await asyncio.gather(*tasks)

    async def _ask(self, vm: Door) -> None:
        one = Try(time.monotonic(), vm.name)
        self.tries.append(one)
        for _ in range(TRIES):
            answer = await self._try(vm)
            if answer is not None:
                one.served = answer
                one.took = time.monotonic() - one.at
                return
            one.unread += 1
            vm = self.rng.choice(self.vms)

    async def _try(self, vm: Door) -> bool | None:
        """Send a request on a new connection.

        :returns: whether it was answered whole; None if it was not read.
        """
        request = f"s{next(self.numbers)}"
        path = self.rng.choice(("/stream/x", "/safe/x", "/safe/x"))
        headers = {
            "Host": APP,
            "Request-Id": request,
            "Deadline": str(int(PATIENCE_SECONDS * 1000)),
            "Authorization": f"Bearer {KEYS['org-a'][0]}",
            "Model": "*",
            "Token-Count": "100,10",
            "Connection": "close",
        }
        data = encode_request("POST", path, headers, request.encode())
        try:
            async with asyncio.timeout(CONNECT_SECONDS):
                opened = asyncio.open_connection(HOST, vm.port)
                reader, writer = await opened
        except (OSError, TimeoutError):
            return None
        answer = b""
        try:
            async with asyncio.timeout(PATIENCE_SECONDS):
                writer.write(data)
                answer = await reader.read()
        except TimeoutError:
            return False
        except OSError:
            return None if not answer else False
        finally:
            writer.close()
        if not answer:
            return None
        return answer.startswith(b"HTTP/1.1 200") and _is_whole(answer)


def _is_whole(answer: bytes) -> bool:
    if b"chunked" in answer.partition(b"\r\n\r\n")[0]:
        return answer.endswith(b"0\r\n\r\n")
    return True


def _behave(seen: Seen, events: int) -> Behaviour:
    if seen.target.startswith("/stream/"):
        return Behaviour(events=events, pause=0.02)
    return Behaviour(pause=0.02)


def row(name: str, tries: list[Try], start: float) -> str:
    """:returns: what callers saw from a time on, on one line."""
    seen = [one for one in tries if one.at >= start]
    read = [one for one in seen if one.took < float("inf")]
    served = [one for one in read if one.served]
    times = sorted(one.took for one in served) or [float("nan")]
    late = times[min(len(times) - 1, int(0.95 * len(times)))]
    unread = sum(one.unread for one in seen)
    return (
        f"| {name} | {len(seen)} | {len(served) / max(1, len(read)):.3f} "
        f"| {len(seen) - len(read)} | {unread} | {statistics.median(times):.2f}, "
        f"{late:.2f} |"
    )


def called(vms: list[Door], rate: float, factor: float, seed: int) -> list[str]:
    """Play the callers, in a process of their own.

    :returns: a row for each phase.
    """
    return asyncio.run(_phases(vms, rate, factor, seed))


async def _phases(vms: list[Door], rate: float, factor: float, seed: int) -> list[str]:
    callers = SkewedCallers(vms, seed)
    rows = []
    for name, number, more in (
        ("even", None, 1.0),
        ("one", 0, factor),
        ("next", 1, factor),
    ):
        favourite = None if number is None else vms[number]
        callers.tries = []
        start = time.monotonic() + CONTACT_SECONDS
        await callers.run(PHASE_SECONDS, rate * more, favourite)
        label = f"{len(vms)} VMs, {rate * more:g} a second, {name}"
        rows.append(row(label, callers.tries, start))
    return rows


async def measured(
    vms: int, rate: float, factor: float, seed: int, events: int
) -> list[str]:
    """:returns: the rows of one fleet."""
    fleet = SoakFleet(vms, PLAIN, ENGINES)
    await fleet.start()
    try:
        for worker in fleet.workers():
            worker.choose = lambda seen: _behave(seen, events)
        doors = [Door(vm.name, vm.ports["callers"]) for vm in fleet.vms]
        loop = asyncio.get_running_loop()
        with ProcessPoolExecutor(1, get_context("spawn")) as pool:
            return await loop.run_in_executor(pool, called, doors, rate, factor, seed)
    finally:
        await fleet.stop()


@click.command()
@click.option("--vms", default=6, help="Entry VMs.")
@click.option("--rate", default=60.0, help="Requests a second of the whole fleet.")
@click.option("--factor", default=2.0, help="How much more often later on.")
@click.option("--seed", default=0, help="The seed.")
@click.option("--events", default=EVENTS, help="Events of a stream.")
def main(vms: int, rate: float, factor: float, seed: int, events: int) -> None:
    """Print the table."""
    click.echo(
        "| phase | requests | served at the first try that was read | never read "
        "| tries unread | seconds: median, 95 in 100 |"
    )
    click.echo("|" + " --- |" * 6)
    for line in asyncio.run(measured(vms, rate, factor, seed, events)):
        click.echo(line)


if __name__ == "__main__":
    main()
