# Licensed under the Apache License 2.0: see LICENSE for details.

"""How well endpoints are chosen: latency and cache hits, against simpler ways.

``python -m lab.decisions.choice [SEED [WAY ...]]`` sends a trace to eight stand-in
engines, one of them slow and one failing a fifth of its requests, through the real
decision and through simpler ones, as three VMs would that each know their own work and
lagging reports. One way is a trial: it follows the engines' cache events.
"""

from __future__ import annotations

import asyncio
import hashlib
import itertools
import json
import random
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from statistics import quantiles

import aiohttp

from standins.fleet import Fleet
from standins.prefixcache import PREFIX_BLOCK
from walnutquay.protocol import chat
from walnutquay.replay.traces import RequestKind, TraceRequest, prompt_of
from walnutquay.replay.workloads import Workload, WorkloadGenerator
from walnutquay.state.requests.durations import SLOW_FACTOR
from walnutquay.state.requests.endpoints import (
    LOAD_BOUND,
    MIN_SHARE_BUSY,
    EndpointTable,
)
from walnutquay.state.store.parts import Endpoint

ENGINES = 8
VMS = 3
SLOTS = 8
SECONDS = 20.0
RATE = 110.0
VERSION = "small-1"
REPORT_SECONDS = 1.0
RETRIES = 3
RETRY_PAUSE = 0.05
# How the engines behave: seconds a thousand uncached tokens, seconds a token, blocks
# that a cache holds; how many times as slow the slow one is; what the bad one fails.
PREFILL, STEP, CACHE_BLOCKS = 0.12, 0.004, 400
SLOWNESS = 3.0
FAILING = 0.2


@dataclass
class SimulatedVm:
    """What one VM knows: the real table, and a turn of its own."""

    table: EndpointTable
    turn: itertools.cycle = field(default_factory=lambda: itertools.cycle([0]))


@dataclass
class CacheNews:
    """What the engines' cache events say, for a trial that follows them.

    They come late and some are lost; what they cost is counted.
    """

    held: dict[str, set[str]] = field(default_factory=dict)
    newest: dict[str, int] = field(default_factory=dict)
    bytes: int = 0

    def take(self, endpoint: str, data: bytes) -> None:
        """Take an engine's answer in."""
        self.bytes += len(data)
        held = self.held.setdefault(endpoint, set())
        for event in json.loads(data):
            self.newest[endpoint] = event["number"]
            change = held.add if event["kind"] == "stored" else held.discard
            change(event["block"])

    def known(self, endpoint: str, blocks: list[str]) -> int:
        """:returns: how many of a prompt's first blocks an engine is known to hold."""
        held = self.held.get(endpoint, set())
        return sum(1 for _ in itertools.takewhile(held.__contains__, blocks))


@dataclass
class Prompt:
    """What a choice knows of a request.

    :param hint: the endpoint that served its session last.
    :param prefix: its beginning.
    :param blocks: the ids of its cache blocks, as the engines number them.
    :param news: what cache events say.
    """

    hint: str
    prefix: str
    blocks: list[str]
    news: CacheNews


Choice = Callable[[SimulatedVm, list[Endpoint], Prompt, frozenset[str]], Endpoint]


def blocks_of(messages: list[dict]) -> list[str]:
    """:returns: the ids of a prompt's blocks, each a hash of all before it."""
    text = json.dumps(messages, sort_keys=True)
    chain = hashlib.sha256()
    ids = []
    for start in range(0, len(text) - PREFIX_BLOCK + 1, PREFIX_BLOCK):
        chain.update(text[start : start + PREFIX_BLOCK].encode())
        ids.append(chain.hexdigest()[:16])
    return ids


def at_random(vm, endpoints, prompt, tried):
    """Any endpoint."""
    return vm.table.rng.choice(endpoints)


def round_robin(vm, endpoints, prompt, tried):
    """One after the other."""
    return next(vm.turn)


def least_reported(vm, endpoints, prompt, tried):
    """The one whose last report shows the least load."""
    return min(endpoints, key=lambda e: vm.table.state_of(e.name).reported)


def without_prefix(vm, endpoints, prompt, tried):
    """The product's choice, for a prompt of which nothing is known."""
    return vm.table.choose(endpoints, time.monotonic(), prompt.hint, tried)


def product(vm, endpoints, prompt, tried):
    """The product's choice."""
    return vm.table.choose(
        endpoints, time.monotonic(), prompt.hint, tried, prompt.prefix
    )


def by_events(vm, endpoints, prompt, tried):
    """The endpoint known to hold most of the prompt, unless it is busy or slow."""
    now = time.monotonic()
    facts = {e.name: vm.table.state_of(e.name) for e in endpoints}
    loads = {n: f.load(now) * f.slow_by(now) / SLOTS for n, f in facts.items()}
    bound = max(MIN_SHARE_BUSY, LOAD_BOUND * sum(loads.values()) / len(loads))
    fit = [
        e
        for e in endpoints
        if loads[e.name] < bound
        and facts[e.name].has_free_slot(SLOTS, now)
        and facts[e.name].slow_by(now) < SLOW_FACTOR
        and e.name not in tried
    ]
    known = {e.name: prompt.news.known(e.name, prompt.blocks) for e in fit}
    if known and max(known.values()):
        return max(fit, key=lambda e: known[e.name])
    return vm.table.choose(endpoints, now, "", tried)


WAYS: dict[str, Choice] = {
    "random": at_random,
    "round robin": round_robin,
    "least loaded by report": least_reported,
    "better of two, session hint": without_prefix,
    "the product's": product,
    "cache events (a trial)": by_events,
}


class Run:
    """One trace sent in one way.

    :param fleet: where the engines run.
    :param urls: the engines' addresses by name.
    :param choice: the way.
    """

    def __init__(self, fleet: Fleet, urls: dict[str, str], choice: Choice) -> None:
        self.session = fleet.session
        self.choice = choice
        self.endpoints = [
            Endpoint(name=n, pool="p", hall="hall-a", address=url, slots=SLOTS)
            for n, url in urls.items()
        ]
        self.vms = [
            SimulatedVm(
                EndpointTable("hall-a", random.Random(number)),
                itertools.cycle(self.endpoints),
            )
            for number in range(VMS)
        ]
        self.hints: dict[str, str] = {}
        self.seconds: list[float] = []
        self.lost = 0
        self.news = CacheNews()

    async def report(self) -> None:
        """Ask all engines for their load, now and then, for each VM."""
        while True:
            for endpoint in self.endpoints:
                async with self.session.get(f"{endpoint.address}/report") as answer:
                    value = await answer.json()
                after = self.news.newest.get(endpoint.name, -1)
                url = f"{endpoint.address}/cache-events?after={after}"
                if self.choice is by_events:
                    async with self.session.get(url) as answer:
                        self.news.take(endpoint.name, await answer.read())
                load = value["running"] + value["waiting"]
                for vm in self.vms:
                    vm.table.report(
                        endpoint.name, load, value["incarnation"], time.monotonic()
                    )
            await asyncio.sleep(REPORT_SECONDS)

    async def one(self, request: TraceRequest, vm: SimulatedVm) -> None:
        """Send a request, and again elsewhere where an engine fails or is full."""
        started = time.monotonic()
        messages = [{"role": "user", "content": prompt_of(request)}]
        body = {
            "model": VERSION,
            "messages": messages,
            "max_tokens": request.max_tokens,
        }
        prefix = chat.beginning(body)
        blocks = blocks_of(messages) if self.choice is by_events else []
        tried: frozenset[str] = frozenset()
        for _ in range(1 + RETRIES):
            hint = self.hints.get(request.session, "")
            prompt = Prompt(hint, prefix, blocks, self.news)
            endpoint = self.choice(vm, self.endpoints, prompt, tried)
            if endpoint is None:
                await asyncio.sleep(RETRY_PAUSE)
                continue
            if await self._send(vm, endpoint, body, request.request_class):
                self.seconds.append(time.monotonic() - started)
                if request.session:
                    self.hints[request.session] = endpoint.name
                return
            tried |= {endpoint.name}
        self.lost += 1

    async def _send(
        self, vm: SimulatedVm, endpoint: Endpoint, body: dict, kind: str
    ) -> bool:
        facts = vm.table.state_of(endpoint.name)
        facts.in_flight += 1
        started = time.monotonic()
        url = f"{endpoint.address}/v1/chat/completions"
        try:
            async with self.session.post(url, json=body) as answer:
                await answer.read()
                status, full = answer.status, "x-not-started" in answer.headers
        except (aiohttp.ClientError, OSError):
            status, full = 500, False
        finally:
            facts.in_flight -= 1
        if status == 200:
            now = time.monotonic()
            vm.table.succeeded(endpoint.name, kind, now - started, now)
        elif full:
            vm.table.full(endpoint.name, time.monotonic())
        else:
            vm.table.failed(endpoint.name, time.monotonic())
        return status == 200

    async def replay(self, trace: list[TraceRequest]) -> None:
        """Send the trace, open loop."""
        reports = asyncio.ensure_future(self.report())
        started = time.monotonic()
        tasks = []
        for number, request in enumerate(trace):
            await asyncio.sleep(max(0.0, started + request.at - time.monotonic()))
            vm = self.vms[number % VMS]
            tasks.append(asyncio.ensure_future(self.one(request, vm)))
        await asyncio.gather(*tasks)
        reports.cancel()


async def measure(name: str, trace: list[TraceRequest]) -> str:
    """:returns: a row of the table, from engines that are started anew."""
    async with Fleet() as fleet:
        names = [f"engine-{number}" for number in range(ENGINES)]
        addresses = await asyncio.gather(
            *(
                fleet.stand_in(
                    "engine",
                    n,
                    name=n,
                    versions={VERSION: 0.9},
                    slots=SLOTS,
                    prefill=PREFILL,
                    step=STEP,
                    cache_blocks=CACHE_BLOCKS,
                )
                for n in names
            )
        )
        urls = dict(zip(names, addresses, strict=True))
        await fleet.control(urls["engine-0"], "answers", {"slowness": SLOWNESS})
        await fleet.control(urls["engine-1"], "answers", {"fail": {VERSION: FAILING}})
        run = Run(fleet, urls, WAYS[name])
        await run.replay(trace)
        hits = [(await fleet.control(u, "effects"))["cache"] for u in urls.values()]
    hit, seen = (sum(column) for column in zip(*hits, strict=True))
    percent = quantiles(run.seconds, n=100)
    return (
        f"| {name} | {percent[49] * 1e3:.0f} | {percent[98] * 1e3:.0f} | "
        f"{hit / seen:.0%} | {run.lost} of {len(trace)} | "
        f"{run.news.bytes / SECONDS / 1000:.1f} |"
    )


async def main(seed: int) -> None:
    """Print the table."""
    generator = WorkloadGenerator(Workload.PANELWERK, seed, RATE)
    requests = generator.requests(SECONDS)
    trace = [r for r in requests if r.kind is RequestKind.CHAT]
    alone = [
        len(prompt_of(r)) / 4000 * PREFILL + (r.max_tokens or 0) * STEP for r in trace
    ]
    percent = quantiles(alone, n=100)
    print(
        f"each request alone on a sound engine, nothing cached: p50 "
        f"{percent[49] * 1e3:.0f} ms, p99 {percent[98] * 1e3:.0f} ms"
    )
    print(
        "| way | p50 ms | p99 ms | cached prompt blocks | not answered | "
        "KB/s of events a VM |"
    )
    print("| --- | --- | --- | --- | --- | --- |")
    for name in sys.argv[2:] or WAYS:
        print(await measure(name, trace), flush=True)


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1]) if sys.argv[1:] else 1))
