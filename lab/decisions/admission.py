# Licensed under the Apache License 2.0: see LICENSE for details.

"""What a fleet does with more work than it can do, and after an outage.

``python -m lab.decisions.admission [SEED]`` sends patient work at 0.8 to 3 times what
two engines can do, six parts in ten of it from one organisation of ten, beside a steady
stream of quick calls, through two entry VMs. Callers come back once, after the time
that a refusal names. Then the engines fail all requests for some seconds.
"""

from __future__ import annotations

import asyncio
import random
import sys
import time
from collections import Counter
from dataclasses import dataclass, field
from statistics import quantiles

import aiohttp

from standins.fleet import Fleet
from walnutquay.state.process.keys import key_hash

VMS = {"vm-a1": "hall-a", "vm-a2": "hall-a"}
ENGINES = 2
SLOTS, STEP, TOKENS = 8, 0.01, 20
CAPACITY = ENGINES * SLOTS / (STEP * TOKENS)
QUICK_RATE = 30.0
LOADS = (0.8, 1.0, 1.5, 3.0)
SECONDS = 10.0
# What comes in the first seconds is not counted: queues fill.
WARM_SECONDS = 3.0
DEADLINE = 4.0
# A refusal that takes longer than this was not given at once.
LATE_SECONDS = 0.5
ORGANISATIONS = 10
LARGE_SHARE = 0.6
OUTAGE_SECONDS = 4.0
VERSION = "small-1"


def key_of(number: int) -> str:
    """:returns: the key of an organisation; the first one is large."""
    return f"key of organisation {number}"


def configuration(engines: list[str], service: str) -> dict:
    """:param engines: addresses of engines.

    :param service: address of the service.
    """
    endpoints = [
        {
            "name": f"engine-{number}",
            "pool": "models",
            "hall": "hall-a",
            "address": url,
            "versions": [VERSION],
            "slots": SLOTS,
        }
        for number, url in enumerate(engines)
    ]
    endpoints.append(
        {
            "name": "app-1",
            "pool": "apps",
            "hall": "hall-a",
            "address": service,
            "service": "app",
            "slots": 16,
        }
    )
    return {
        "organisations": [
            {
                "name": f"org-{number}",
                "keys": [key_hash(key_of(number))],
                "versions": [VERSION],
                "services": ["app"],
            }
            for number in range(ORGANISATIONS)
        ],
        "versions": [{"name": VERSION, "model": "small"}],
        "pools": [
            {"name": "models", "work": "patient"},
            {"name": "apps", "work": "quick"},
        ],
        "services": [{"name": "app", "pool": "apps"}],
        "endpoints": endpoints,
    }


@dataclass
class Found:
    """What became of the requests that were counted."""

    sent: Counter[int] = field(default_factory=Counter)
    answered: Counter[int] = field(default_factory=Counter)
    # How long refusals took, and how many had been held before they were refused.
    refused_seconds: list[float] = field(default_factory=list)
    quick_seconds: list[float] = field(default_factory=list)
    other: Counter[str] = field(default_factory=Counter)


class Load:
    """Sends work to a fleet, open loop.

    :param fleet: the fleet.
    :param rng: the source of chance.
    """

    def __init__(self, fleet: Fleet, rng: random.Random) -> None:
        self.fleet = fleet
        self.rng = rng
        # Callers never wait for each other, as they would for a connection.
        self.session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        self.found = Found()
        self.tasks: list[asyncio.Task] = []

    def url(self, path: str) -> str:
        """:returns: a path at any VM."""
        vm = self.fleet.vms[self.rng.choice(list(VMS))]
        return vm.url("callers") + path

    async def patient(self, organisation: int, counted: bool) -> None:
        """Send model work; come back once where a refusal says when."""
        started = time.monotonic()
        found = self.found
        found.sent[organisation] += counted
        for last in (False, True):
            left = DEADLINE - (time.monotonic() - started)
            begun = time.monotonic()
            status, wait = await self._chat(organisation, left)
            if status == 200 and time.monotonic() - started <= DEADLINE:
                found.answered[organisation] += counted
                return
            if status == 429 or status == 503:
                if counted:
                    found.refused_seconds.append(time.monotonic() - begun)
            else:
                found.other[str(status)] += counted
            if last or wait is None or time.monotonic() - started + wait > DEADLINE:
                return
            await asyncio.sleep(wait)

    async def _chat(self, organisation: int, left: float) -> tuple[int, float | None]:
        body = {
            "model": VERSION,
            "messages": [{"role": "user", "content": f"{self.rng.random()}"}],
        }
        headers = {
            "authorization": f"Bearer {key_of(organisation)}",
            "x-walnutquay-deadline": f"{max(0.1, left):.2f}",
        }
        url = self.url("/v1/chat/completions")
        try:
            async with self.session.post(url, json=body, headers=headers) as answer:
                await answer.read()
                wait = answer.headers.get("retry-after")
                return answer.status, float(wait) if wait else None
        except (aiohttp.ClientError, OSError):
            return 0, None

    async def quick(self, counted: bool) -> None:
        """Make a quick call."""
        started = time.monotonic()
        organisation = self.rng.randrange(ORGANISATIONS)
        headers = {"authorization": f"Bearer {key_of(organisation)}"}
        async with self.session.get(
            self.url("/services/app/x"), headers=headers
        ) as answer:
            await answer.read()
            if answer.status != 200:
                self.found.other[f"quick {answer.status}"] += counted
            elif counted:
                self.found.quick_seconds.append(time.monotonic() - started)

    async def arrivals(self, rate: float, seconds: float, work) -> None:
        """Begin work at random times.

        :param rate: how often a second.
        :param seconds: for how long.
        :param work: what to begin; told whether it is counted.
        """
        started = time.monotonic()
        at = self.rng.expovariate(rate)
        while at < seconds:
            await asyncio.sleep(max(0.0, started + at - time.monotonic()))
            self.tasks.append(asyncio.ensure_future(work(at > WARM_SECONDS)))
            at += self.rng.expovariate(rate)

    async def any_patient(self, counted: bool) -> None:
        """Send model work of a random organisation."""
        large = self.rng.random() < LARGE_SHARE
        organisation = 0 if large else self.rng.randrange(1, ORGANISATIONS)
        await self.patient(organisation, counted)

    async def run(self, rate: float, seconds: float) -> Found:
        """Send both kinds of work.

        :param rate: model requests a second.
        :param seconds: for how long.
        """
        self.found = Found()
        await asyncio.gather(
            self.arrivals(rate, seconds, self.any_patient),
            self.arrivals(QUICK_RATE, seconds, self.quick),
        )
        await asyncio.gather(*self.tasks)
        self.tasks.clear()
        return self.found


def p99(values: list[float]) -> float:
    """:returns: milliseconds at the 99th of a hundred; 0 for too few values."""
    return quantiles(values, n=100)[98] * 1e3 if len(values) > 1 else 0.0


def late(values: list[float]) -> str:
    """:returns: how many of the refusals came late, of how many."""
    return f"{sum(v > LATE_SECONDS for v in values)} of {len(values)}"


def row(load: float, found: Found) -> str:
    """:returns: a row of the table."""
    seconds = SECONDS - WARM_SECONDS
    goodput = found.answered.total() / seconds / CAPACITY
    shares = [
        found.answered[n] / found.sent[n] if found.sent[n] else 1.0
        for n in range(ORGANISATIONS)
    ]
    return (
        f"| {load} | {goodput:.2f} | {p99(found.quick_seconds):.0f} | "
        f"{shares[0]:.0%} | {min(shares[1:]):.0%} | {late(found.refused_seconds)} | "
        f"{dict(found.other) or ''} |"
    )


async def outage(fleet: Fleet, load: Load, engines: list[str]) -> None:
    """Let the engines fail for some seconds, and see what follows."""
    running = asyncio.ensure_future(load.run(0.8 * CAPACITY, SECONDS))
    await asyncio.sleep(WARM_SECONDS)
    before = [await retries(fleet, vm) for vm in VMS]
    for url in engines:
        await fleet.control(url, "answers", {"fail": {VERSION: 1.0}})
    await asyncio.sleep(OUTAGE_SECONDS)
    for url in engines:
        await fleet.control(url, "answers", {})
    ended = time.time()
    found = await running
    after = [await retries(fleet, vm) for vm in VMS]
    effects = [(await fleet.control(url, "effects"))["effects"] for url in engines]
    begun = Counter(
        int(at - ended) for some in effects for _, _, at in some if at > ended
    )
    print(
        f"outage of {OUTAGE_SECONDS} s at 0.8: {sum(after) - sum(before)} retries of "
        f"{found.sent.total()} requests; dispatched in each second after its end, of "
        f"{CAPACITY:.0f} that the engines can do: {[begun[s] for s in range(5)]}"
    )


async def retries(fleet: Fleet, vm: str) -> int:
    """:returns: the retries that a VM has made."""
    _, status = await fleet.administer(fleet.vms[vm], "GET", "/v1/status")
    return status["metrics"]["counters"].get("retries", 0)


async def main(seed: int) -> None:
    """Print the table."""
    async with Fleet() as fleet:
        await fleet.start_platform()
        options = {"versions": {VERSION: 0.9}, "slots": SLOTS, "step": STEP}
        engines = [
            await fleet.stand_in(
                "engine", f"engine-{n}", name=f"engine-{n}", tokens=TOKENS, **options
            )
            for n in range(ENGINES)
        ]
        service = await fleet.stand_in("service", "app-1", name="app-1", seconds=0.02)
        await asyncio.gather(*(fleet.start_vm(n, h) for n, h in VMS.items()))
        await fleet.wait_for_members()
        await fleet.apply(configuration(engines, service))
        load = Load(fleet, random.Random(seed))
        print(
            "| load | goodput of capacity | quick p99 ms | large answered | "
            "least of small answered | refused late | else |"
        )
        print("| --- | --- | --- | --- | --- | --- | --- |")
        for times in LOADS:
            found = await load.run(times * CAPACITY, SECONDS)
            print(row(times, found), flush=True)
        await outage(fleet, load, engines)
        await load.session.close()


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1]) if sys.argv[1:] else 1))
