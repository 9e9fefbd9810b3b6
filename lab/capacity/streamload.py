# Licensed under the Apache License 2.0: see LICENSE for details.

"""Sends chat requests at a set rate, whole or streamed.

``python -m lab.capacity.streamload URL KEY RATE KIND SECONDS``
"""

from __future__ import annotations

import asyncio
import json
import sys
import time

import aiohttp
import uvloop


async def load(url: str, key: str, rate: float, stream: bool, seconds: float) -> None:
    """Send chat requests, open loop, and print how many ended whole.

    :param url: where to.
    :param key: the caller's key.
    :param rate: requests a second.
    :param stream: whether answers are streamed.
    :param seconds: how long.
    """
    body = json.dumps(
        {
            "model": "small-1",
            "stream": stream,
            "messages": [{"role": "user", "content": "x" * 400}],
        }
    ).encode()
    headers = {"authorization": f"Bearer {key}"}
    counts = {"answers": 0, "events": 0, "failed": 0}

    async def one(session: aiohttp.ClientSession) -> None:
        async with session.post(url, data=body, headers=headers) as answer:
            data = await answer.read()
            whole = data.endswith(b"[DONE]\n\n") if stream else answer.status == 200
            counts["answers" if whole else "failed"] += 1
            counts["events"] += data.count(b"\n\n")

    start = time.monotonic()
    tasks = []
    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0)
    ) as session:
        for number in range(int(rate * seconds)):
            wait = start + number / rate - time.monotonic()
            if wait > 0:
                await asyncio.sleep(wait)
            tasks.append(asyncio.ensure_future(one(session)))
        await asyncio.gather(*tasks)
    print(json.dumps(counts))


if __name__ == "__main__":
    uvloop.run(
        load(
            sys.argv[1],
            sys.argv[2],
            float(sys.argv[3]),
            sys.argv[4] == "stream",
            float(sys.argv[5]),
        )
    )
