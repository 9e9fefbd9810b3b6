# Licensed under the Apache License 2.0: see LICENSE for details.

"""A stand-in for a plain service; it counts what it has run."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass

from aiohttp import web

from standins.faults import CONTROL, FaultSwitch


@dataclass
class ServiceOptions:
    """How a service behaves.

    :param name: the endpoint's name.
    :param slots: calls that run at once; more are refused as not started.
    :param seconds: seconds that a call takes.
    """

    name: str
    slots: int = 16
    seconds: float = 0.002


class ServiceStandIn:
    """The service: any path and method; an effect a call.

    :param options: how it behaves.
    """

    def __init__(self, options: ServiceOptions) -> None:
        self.options = options
        self.incarnation = f"{time.time_ns():020d}"
        self.running = 0
        self.leaving = False
        # Calls that were refused as not started.
        self.refused = 0
        # What was run: method, path, idempotency key, body.
        self.effects: list[tuple[str, str, str, str]] = []
        self.app = web.Application(client_max_size=16 << 20)
        self.switch = FaultSwitch(self.app)
        # Seconds between an effect and its answer, to be caught in between.
        self.hold = 0.0
        router = self.app.router
        router.add_get("/report", self.report)
        router.add_get(f"{CONTROL}/effects", self.give_effects)
        router.add_post(f"{CONTROL}/hold", self.set_hold)
        router.add_post(f"{CONTROL}/leave", self.leave)
        router.add_route("*", "/{path:.*}", self.call)

    async def call(self, request: web.Request) -> web.Response:
        """:param request: a call of the service."""
        request_id = request.headers.get("x-request-id", "")
        headers = {"x-request-id": request_id}
        if self.leaving or self.running >= self.options.slots:
            self.refused += 1
            return web.Response(status=503, headers={**headers, "x-not-started": "1"})
        self.running += 1
        try:
            body = await request.text()
            key = request.headers.get("idempotency-key", "")
            self.effects.append((request.method, request.path_qs, key, body))
            number = len(self.effects)
            await asyncio.sleep(self.options.seconds + self.hold)
        finally:
            self.running -= 1
        answer = {
            "service": self.options.name,
            "number": number,
            "method": request.method,
            "path": request.path_qs,
            "organisation": request.headers.get("x-walnutquay-organisation", ""),
            "echo": body,
        }
        return web.json_response(answer, headers=headers)

    async def report(self, request: web.Request) -> web.Response:
        """:param request: ``GET /report``."""
        return web.json_response(
            {
                "name": self.options.name,
                "incarnation": self.incarnation,
                "running": self.running,
                "waiting": 0,
                "leaving": self.leaving,
            }
        )

    async def give_effects(self, request: web.Request) -> web.Response:
        """:param request: asks what was run here."""
        return web.json_response(
            {
                "effects": self.effects,
                "running": self.running,
                "refused": self.refused,
            }
        )

    async def set_hold(self, request: web.Request) -> web.Response:
        """:param request: ``seconds`` between effect and answer."""
        self.hold = float((await request.json())["seconds"])
        return web.json_response({})

    async def leave(self, request: web.Request) -> web.Response:
        """:param request: tells the service that it is leaving."""
        self.leaving = True
        return web.json_response({})
