# Licensed under the Apache License 2.0: see LICENSE for details.

"""A stand-in for the rate-limited store of weights.

Published shape: ``GET /weights/<version>`` gives the size after the time that
the transfer takes; transfers share one rate.
"""

from __future__ import annotations

import asyncio

from aiohttp import web

from standins.faults import CONTROL, FaultSwitch

DEFAULT_SIZE = 100.0


class WeightsStandIn:
    """The store.

    :param rate: units a second for all transfers together.
    """

    def __init__(self, rate: float = 1000.0) -> None:
        self.rate = rate
        self.sizes: dict[str, float] = {}
        self.active = 0
        self.transfers = 0
        self.app = web.Application()
        self.switch = FaultSwitch(self.app)
        self.app.router.add_get("/weights/{version}", self.fetch)
        self.app.router.add_post(f"{CONTROL}/sizes", self.set_sizes)
        self.app.router.add_get(f"{CONTROL}/count", self.count)

    async def fetch(self, request: web.Request) -> web.Response:
        """:param request: ``GET /weights/<version>``."""
        version = request.match_info["version"]
        left = self.sizes.get(version, DEFAULT_SIZE)
        size = left
        self.active += 1
        self.transfers += 1
        try:
            while left > 0:
                piece = min(left, self.rate / 100)
                await asyncio.sleep(piece * self.active / self.rate)
                left -= piece
        finally:
            self.active -= 1
        return web.json_response({"version": version, "size": size})

    async def set_sizes(self, request: web.Request) -> web.Response:
        """:param request: the size of each version."""
        self.sizes = await request.json()
        return web.json_response({})

    async def count(self, request: web.Request) -> web.Response:
        """:param request: asks how many transfers were begun."""
        return web.json_response({"transfers": self.transfers})
