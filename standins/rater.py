# Licensed under the Apache License 2.0: see LICENSE for details.

"""A stand-in for the service that rates answers.

It reads the grade that the engine stand-in has put into an answer's first
word, and blurs it a little, always in the same way for the same answer.
"""

from __future__ import annotations

import hashlib

from aiohttp import web

from standins.faults import CONTROL, FaultSwitch

GOOD = 0.9
POOR = 0.4
BLUR = 0.1


class RaterStandIn:
    """The rater: ``POST /rate`` with ``class``, ``version`` and ``answer``."""

    def __init__(self) -> None:
        self.rated = 0
        self.app = web.Application(client_max_size=16 << 20)
        self.switch = FaultSwitch(self.app)
        self.app.router.add_post("/rate", self.rate)
        self.app.router.add_get(f"{CONTROL}/count", self.count)

    async def rate(self, request: web.Request) -> web.Response:
        """:param request: ``POST /rate``."""
        body = await request.json()
        self.rated += 1
        content = body["answer"]["choices"][0]["message"]["content"]
        base = GOOD if content.startswith("good") else POOR
        draw = hashlib.sha256(content.encode()).digest()[0] / 255
        return web.json_response({"rating": base + BLUR * (draw - 0.5)})

    async def count(self, request: web.Request) -> web.Response:
        """:param request: asks how many answers were rated."""
        return web.json_response({"rated": self.rated})
