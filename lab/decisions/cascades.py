# Licensed under the Apache License 2.0: see LICENSE for details.

"""What an answer of the wanted quality costs, by four ways to use a cascade.

``python -m lab.decisions.cascades [SEED]`` sends the same trace of each user's chats
through a fleet three times, once to a cascade that learns, once to one that always
begins with the cheap model, once to the strong model alone, and works out from the same
answers what an oracle would have paid that knows every rating beforehand. Cost is what
the bills say.
"""

from __future__ import annotations

import asyncio
import json
import sys
from collections import defaultdict

from standins.fleet import Fleet
from standins.generation import is_good
from walnutquay.replay.traces import RequestKind, TraceRequest, words
from walnutquay.replay.workloads import Workload, WorkloadGenerator
from walnutquay.state.own.bills import decode_records
from walnutquay.state.process.keys import key_hash

CALLERS = 24
SECONDS = 60.0
RATE = 40.0
QUALITY = 0.6
SMALL, LARGE = "small-1", "large-1"
# Price of a thousand tokens, read and written.
PRICES = {SMALL: (0.05, 0.5), LARGE: (0.5, 5.0)}
# Share of answers that reach the quality, by class and version.
QUALITIES = {
    "tag": {SMALL: 0.96, LARGE: 0.98},
    "balloon": {SMALL: 0.75, LARGE: 0.95},
    "recap": {SMALL: 0.05, LARGE: 0.92},
    "quote": {SMALL: 0.9, LARGE: 0.97},
    "lane": {SMALL: 0.2, LARGE: 0.95},
    "tender": {SMALL: 0.03, LARGE: 0.92},
}
WAYS = {"learning": "learning", "cheap first": "cheap-first", "strong": LARGE}
VMS = {"vm-a1": "hall-a", "vm-b1": "hall-b"}


def configuration(engine: str) -> dict:
    """:param engine: the engine's address."""
    organisations = [
        {
            "name": f"{workload.value}-by-{way.replace(' ', '-')}",
            "keys": [key_hash(key_of(workload, way))],
            "versions": [SMALL, LARGE],
            "cascades": ["learning", "cheap-first"],
        }
        for workload in Workload
        for way in WAYS
    ]
    cascade = {"steps": ["small", "large"], "quality": QUALITY}
    return {
        "organisations": organisations,
        "versions": [
            {
                "name": version,
                "model": version.partition("-")[0],
                "price_input": read,
                "price_output": written,
            }
            for version, (read, written) in PRICES.items()
        ],
        "cascades": [
            {"name": "learning", **cascade},
            {"name": "cheap-first", "learn": False, **cascade},
        ],
        "pools": [{"name": "models", "work": "patient", "queue_length": 200}],
        "endpoints": [
            {
                "name": "engine",
                "pool": "models",
                "hall": "hall-a",
                "address": engine,
                "versions": [SMALL, LARGE],
                "slots": 64,
            }
        ],
    }


def key_of(workload: Workload, way: str) -> str:
    """:returns: the key of the organisation that sends a workload by a way."""
    return f"key of {workload.value} by {way}"


def messages_of(request: TraceRequest) -> list[dict[str, str]]:
    """Write a prompt that names its class, for the stand-in engine's quality."""
    text = f"{request.request_class}: {words(request.name, 200)}"
    return [{"role": "user", "content": text}]


async def send(fleet: Fleet, vm: str, key: str, model: str, r: TraceRequest) -> bool:
    """Send a chat.

    :returns: whether the answer is a good one.
    """
    body = {
        "model": model,
        "messages": messages_of(r),
        "max_tokens": r.max_tokens,
    }
    headers = {"authorization": f"Bearer {key}", "x-walnutquay-class": r.request_class}
    url = fleet.vms[vm].url("callers") + "/v1/chat/completions"
    async with fleet.session.post(url, json=body, headers=headers) as answer:
        value = await answer.json()
        if answer.status != 200:
            raise RuntimeError(f"{answer.status}: {value}")
        return value["choices"][0]["message"]["content"].startswith("good")


async def replay(fleet: Fleet, trace: list[TraceRequest], key: str, model: str) -> int:
    """Send a trace by some callers at once.

    :returns: how many answers were good.
    """
    waiting = list(reversed(trace))
    good = 0

    async def caller(number: int) -> None:
        nonlocal good
        vm = list(VMS)[number % len(VMS)]
        while waiting:
            is_one = await send(fleet, vm, key, model, waiting.pop())
            good += is_one

    await asyncio.gather(*(caller(number) for number in range(CALLERS)))
    return good


def oracle(trace: list[TraceRequest]) -> tuple[float, int]:
    """Work out what the cheapest good answer of each request would have cost.

    :returns: the cost of all, and how many are good.
    """
    cost, good = 0.0, 0
    for request in trace:
        prompt = json.dumps(messages_of(request), sort_keys=True)
        chosen = SMALL
        for version in PRICES:
            quality = QUALITIES[request.request_class][version]
            if is_good(version, prompt, quality):
                good += 1
                chosen = version
                break
        read, written = PRICES[chosen]
        tokens = len(prompt) // 4
        cost += (tokens * read + (request.max_tokens or 0) * written) / 1000
    return cost, good


async def costs(fleet: Fleet) -> dict[str, float]:
    """:returns: what each organisation was billed, once all bills are stored."""
    await asyncio.sleep(3.0)
    objects = await fleet.control(fleet.platform, "snapshot?prefix=bills/")
    found: dict[str, float] = defaultdict(float)
    for _, value in objects.values():
        for record in decode_records(value.encode("latin-1")):
            found[record.organisation] += sum(line.cost for line in record.lines)
    return found


async def main(seed: int) -> None:
    """Print the table."""
    async with Fleet() as fleet:
        await fleet.start_platform()
        engine = await fleet.stand_in(
            "engine",
            "engine",
            name="engine",
            versions={SMALL: 0.5, LARGE: 0.9},
            hard={f"{name}:": shares for name, shares in QUALITIES.items()},
            slots=64,
            step=0.0001,
            prefill=0.0,
        )
        await asyncio.gather(*(fleet.start_vm(n, h) for n, h in VMS.items()))
        await fleet.wait_for_members()
        await fleet.apply(configuration(engine))
        print("| workload | way | good answers | cost a good answer | to the oracle |")
        print("| --- | --- | --- | --- | --- |")
        for workload in Workload:
            generator = WorkloadGenerator(workload, seed, RATE)
            trace = [
                request
                for request in generator.requests(SECONDS)
                if request.kind is RequestKind.CHAT
            ]
            good = {
                way: await replay(fleet, trace, key_of(workload, way), model)
                for way, model in WAYS.items()
            }
            billed = await costs(fleet)
            ideal, ideal_good = oracle(trace)
            least = ideal / ideal_good
            for way, count in good.items():
                name = f"{workload.value}-by-{way.replace(' ', '-')}"
                each = billed[name] / count
                share = count / len(trace)
                print(
                    f"| {workload.value} | {way} | {share:.1%} | {each:.4f} | "
                    f"{each / least:.2f} |"
                )
            share = ideal_good / len(trace)
            print(f"| {workload.value} | oracle | {share:.1%} | {least:.4f} | 1 |")


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1]) if sys.argv[1:] else 1))
