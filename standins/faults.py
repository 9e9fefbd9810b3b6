# Licensed under the Apache License 2.0: see LICENSE for details.

"""Faults that a stand-in is told to show, over a control path of its own."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from aiohttp import web

CONTROL = "/_control"


@dataclass
class Faults:
    """What is wrong with a stand-in at present.

    :param delay: seconds before each answer.
    :param refuse: status to answer with instead; 0 for none.
    :param lose_answers: how many of the next answers to lose after the effect.
    :param cut: callers that get no answer at all, by the name they give.
    :param frozen: whether nothing is answered until this ends.
    :param cut_list: callers that get no list of VMs.
    """

    delay: float = 0.0
    refuse: int = 0
    lose_answers: int = 0
    cut: list[str] = field(default_factory=list)
    frozen: bool = False
    cut_list: list[str] = field(default_factory=list)


class FaultSwitch:
    """Holds the faults of a stand-in and shows them.

    :param app: the stand-in's app; the control path is added to it.
    :param spared: paths of another system that is served here too.
    """

    def __init__(self, app: web.Application, spared: tuple[str, ...] = ()) -> None:
        self.faults = Faults()
        self.spared = (CONTROL, *spared)
        self.thawed = asyncio.Event()
        self.thawed.set()
        app.router.add_post(f"{CONTROL}/faults", self.set)
        app.middlewares.append(self.middleware)

    async def set(self, request: web.Request) -> web.Response:
        """Replace the faults by those of the body.

        :param request: JSON with the fields of :class:`Faults`.
        """
        self.faults = Faults(**await request.json())
        if self.faults.frozen:
            self.thawed.clear()
        else:
            self.thawed.set()
        return web.json_response({})

    @web.middleware
    async def middleware(self, request: web.Request, handler) -> web.StreamResponse:
        """Show the faults around each call but those of the control path.

        :param request: the call.
        :param handler: what answers it.
        """
        if request.path.startswith(self.spared):
            return await handler(request)
        await self.thawed.wait()
        if request.headers.get("user-agent", "") in self.faults.cut:
            return _break(request)
        if self.faults.delay:
            await asyncio.sleep(self.faults.delay)
        if self.faults.refuse:
            return web.Response(status=self.faults.refuse)
        answer = await handler(request)
        if self.faults.lose_answers > 0 and request.method != "GET":
            self.faults.lose_answers -= 1
            return _break(request)
        return answer


def _break(request: web.Request) -> web.Response:
    """Close the connection without an answer."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=500)
