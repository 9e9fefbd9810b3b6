# Licensed under the Apache License 2.0: see LICENSE for details.

"""Sends the same chat request again and again, and prints how it went."""

from __future__ import annotations

import asyncio
import json
import os
import sys
import time

os.environ["UV_USE_IO_URING"] = "0"

import aiohttp
import uvloop
from hdrh.histogram import HdrHistogram

BODY = json.dumps(
    {"model": "small-1", "messages": [{"role": "user", "content": "x" * 400}]}
).encode()


async def load(url: str, key: str, connections: int, seconds: float) -> None:
    """Keep a number of requests under way for some time.

    :param url: where to.
    :param key: the caller's key.
    :param connections: requests under way.
    :param seconds: how long.
    """
    histogram = HdrHistogram(1, 60_000_000, 3)
    headers = {"authorization": f"Bearer {key}", "content-type": "application/json"}
    end = time.monotonic() + seconds
    failed = 0

    async def one(session: aiohttp.ClientSession) -> None:
        nonlocal failed
        while time.monotonic() < end:
            start = time.perf_counter()
            async with session.post(url, data=BODY, headers=headers) as answer:
                await answer.read()
                failed += answer.status != 200
            histogram.record_value(int((time.perf_counter() - start) * 1e6))

    async with aiohttp.ClientSession() as session:
        await asyncio.gather(*(one(session) for _ in range(connections)))
    count = histogram.get_total_count()
    print(
        json.dumps(
            {
                "rate": count / seconds,
                "failed": failed,
                "p50_ms": histogram.get_value_at_percentile(50) / 1000,
                "p99_ms": histogram.get_value_at_percentile(99) / 1000,
            }
        )
    )


if __name__ == "__main__":
    uvloop.run(load(sys.argv[1], sys.argv[2], int(sys.argv[3]), float(sys.argv[4])))
