# Licensed under the Apache License 2.0: see LICENSE for details.

"""Connections of callers over their whole state: each answer is its request's own."""

from __future__ import annotations

import asyncio
import functools
import logging
import os
from collections.abc import Coroutine
from typing import Any, TypeVar

import hypothesis

from tests.daemon.callerplans import (
    PLANS,
    SECOND_ANSWER_PLANS,
    STOPPED_PLANS,
    Endpoints,
    Plan,
)
from tests.daemon.playedplans import PlayedPlan
from tests.gatewaycase import GatewayCase
from tests.rawcaller import RawCaller
from walnutquay.daemon.gateway import GatewayDaemon
from walnutquay.transport.loops import new_loop

# By hand: more examples, from a seed of one's own.
EXAMPLES = int(os.environ.get("WALNUTQUAY_EXAMPLES", "50"))
SEED = os.environ.get("WALNUTQUAY_SEED")
# Plans that need a gateway of their own take longer: one in so many.
STOPPED_PART = 4

T = TypeVar("T")

settings = hypothesis.settings(
    derandomize=SEED is None,
    deadline=None,
    database=None,
    # A plan that hangs would hang again for each shorter one.
    phases=[hypothesis.Phase.generate],
    suppress_health_check=list(hypothesis.HealthCheck),
)


class PlansCase(GatewayCase):
    """Plays plans against a gateway that runs beside them."""

    workers = {"p1": "plain", "p2": "plain", "e1": "engine", "e2": "engine"}
    # asyncio's own loop forgets a connection that it accepts as its listener closes.
    opened_first = True

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        # aiohttp tells of each request that it cannot read.
        logger = logging.getLogger("aiohttp.server")
        logger.disabled = True
        self.addCleanup(setattr, logger, "disabled", False)
        self.loop = asyncio.get_running_loop()
        self.answering = Endpoints()
        for name, worker in self.endpoints.items():
            worker.choose = functools.partial(self.answering.choose, name)

    def on_loop(self, main: Coroutine[Any, Any, T]) -> T:
        """Run a coroutine on the gateway's loop, from a plan's thread."""
        return asyncio.run_coroutine_threadsafe(main, self.loop).result()

    def play(self, plan: Plan) -> None:
        """Play a plan; in a thread of its own."""
        stopped = plan.stop_after is not None
        gateway = self.on_loop(self.add_gateway("vm-2")) if stopped else self.gateway
        server = gateway.api.server
        with RawCaller(server.port) as caller:
            if self.opened_first:
                self.on_loop(self.until(lambda: bool(server.web.connections)))
            played = PlayedPlan(
                self.answering, caller, plan, lambda: self.begin_stop(gateway)
            )
            played.play()
        self.on_loop(self.until(lambda: not server.in_flight))
        if stopped:
            self.on_loop(self.close_gateway(gateway))
        played.check_runs()

    def begin_stop(self, gateway: GatewayDaemon) -> None:
        """Have a gateway stop as planned."""
        asyncio.run_coroutine_threadsafe(gateway.drain(), self.loop)

    async def search(
        self,
        plans: hypothesis.strategies.SearchStrategy[Plan],
        examples: int = EXAMPLES,
    ) -> None:
        """Look for a plan in which something does not hold."""

        @hypothesis.settings(settings, max_examples=examples)
        @hypothesis.given(plans)
        def holds(plan: Plan) -> None:
            self.play(plan)

        if SEED is not None:
            holds = hypothesis.seed(int(SEED))(holds)
        await asyncio.to_thread(holds)


class AsyncioTest(PlansCase):
    """On asyncio's own loop."""

    async def test_each_answer_is_its_requests_own(self):
        await self.search(PLANS)

    async def test_each_answer_is_its_requests_own_across_a_stop(self):
        await self.search(STOPPED_PLANS, EXAMPLES // STOPPED_PART)


class DaemonLoopCase(PlansCase):
    """On the loop that the daemons use."""

    opened_first = False

    def _setupAsyncioRunner(self) -> None:  # noqa: N802
        # unittest takes a loop of one's own only from Python 3.13 on.
        self._asyncioRunner = asyncio.Runner(loop_factory=new_loop)


class DaemonLoopTest(DaemonLoopCase):
    """On the loop that the daemons use."""

    async def test_each_answer_is_its_requests_own(self):
        await self.search(PLANS)

    async def test_each_answer_is_its_requests_own_across_a_stop(self):
        await self.search(STOPPED_PLANS, EXAMPLES // STOPPED_PART)


class SecondAnswersTest(DaemonLoopCase):
    """Second answers, late ones too, that no id tells from the next requests' own."""

    async def test_each_answer_is_its_requests_own(self):
        await self.search(SECOND_ANSWER_PLANS, EXAMPLES // STOPPED_PART)
