# Licensed under the Apache License 2.0: see LICENSE for details.

"""The roll-out duty: orders to engines and official brakes, under a lease."""

from __future__ import annotations

import aiohttp
import logbook

from walnutquay.coordination.own.acceptance import Acceptance
from walnutquay.coordination.own.configurations import Configurations
from walnutquay.coordination.own.endpoints import EndpointNews
from walnutquay.coordination.own.health import VersionHealth
from walnutquay.coordination.own.leases import Lease
from walnutquay.coordination.process.context import Context
from walnutquay.coordination.process.strays import stray_teller
from walnutquay.exceptions import ConfigurationError, WalnutquayError
from walnutquay.state.own.configuration import Content
from walnutquay.state.own.rollouts import Order, OrderAction, change_rollout, orders_for
from walnutquay.state.own.rollouts import RolloutAction as Action
from walnutquay.state.own.sequential import Verdict
from walnutquay.state.process.events import EventKind
from walnutquay.state.process.ids import RolloutState
from walnutquay.state.store.parts import Endpoint, Rollout
from walnutquay.transport.connectors import KeptConnector

log = logbook.Logger(__name__)

DUTY = "rollouts"
TICK_SECONDS = 1.0
# An order that has not been answered by then is given up, and sent again.
ORDER_SECONDS = 0.5


class RolloutDuty:
    """Carries roll-outs out while this VM holds their lease.

    :param context: what this process shares.
    :param configurations: which roll-outs there are.
    :param acceptance: has changes accepted.
    :param news: what endpoints report.
    :param health: brakes on versions.
    :param lease: the duty's lease.
    """

    def __init__(
        self,
        context: Context,
        configurations: Configurations,
        acceptance: Acceptance,
        news: EndpointNews,
        health: VersionHealth,
        lease: Lease,
    ) -> None:
        self.context = context
        self.configurations = configurations
        self.acceptance = acceptance
        self.news = news
        self.health = health
        self.lease = lease
        self.session = aiohttp.ClientSession(
            connector=KeptConnector(stray_teller(context))
        )

    def start(self) -> None:
        """Begin the duty, and to keep its lease."""
        self.lease.start()
        self.context.timers.every("rollouts", TICK_SECONDS, self.tick)

    async def close(self) -> None:
        """Close the connections for orders."""
        await self.session.close()

    async def tick(self) -> None:
        """Do what the roll-outs need now, if this VM is the one to do it."""
        for rollout in self.configurations.current.content.rollouts:
            if self.lease.fence() is None:
                return
            await self._follow_tests(rollout)
            await self._send_orders(rollout)

    async def _follow_tests(self, rollout: Rollout) -> None:
        """Withdraw a version that VMs hold back, or go on with one that is good."""
        under_way = rollout.state in (RolloutState.RUNNING, RolloutState.PAUSED)
        table = self.health.table
        if under_way and rollout.new in table.rejected:
            await self._act(rollout, Action.WITHDRAW)
        elif (
            rollout.automatic
            and rollout.state is RolloutState.RUNNING
            and table.verdict(rollout.new) is Verdict.GOOD
        ):
            await self._act(rollout, Action.ADVANCE)

    async def _act(self, rollout: Rollout, action: Action) -> None:
        """Have what the tests say accepted as a change of the configuration."""

        def change(content: Content) -> Content:
            if rollout not in content.rollouts:
                # An operator was faster, and the tests were of another stage.
                raise ConfigurationError(f"roll-out {rollout.name} has changed")
            return change_rollout(content, rollout.name, action, {})

        # The same id from whoever makes it: a repeat after a lost answer, or
        # by the next holder, is the same change.
        operation = f"{action.value}/{rollout.name}/{rollout.new}/{rollout.stage}"
        try:
            await self.acceptance.apply(change, operation)
        except WalnutquayError as error:
            log.warn(
                "roll-out {}: {} is not possible now: {}",
                rollout.name,
                action.value,
                error,
            )

    async def _send_orders(self, rollout: Rollout) -> None:
        endpoints = self.configurations.current.endpoints
        for order in orders_for(rollout, endpoints.values(), self.news.loaded):
            endpoint = endpoints[order.endpoint]
            if order.action is OrderAction.UNLOAD and not endpoint.checks_fences:
                # Late or repeated it could undo a successor's order; a version
                # that is loaded and gets no work does no harm.
                continue
            # The lease is asked right before each order, by a clock that
            # counts pauses.
            fence = self.lease.fence()
            if fence is None:
                return
            await self._send(order, endpoint, fence)

    async def _send(self, order: Order, endpoint: Endpoint, fence: int) -> None:
        body = {
            "fence": fence,
            "action": order.action.value,
            "version": order.version,
            "from": self.context.vm,
        }
        timeout = aiohttp.ClientTimeout(total=ORDER_SECONDS)
        try:
            async with self.session.post(
                f"{endpoint.address}/orders", json=body, timeout=timeout
            ) as answer:
                status = answer.status
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            log.debug("an order to {} was not answered: {}", endpoint.name, error)
            return
        self.context.timeline.emit(
            EventKind.ORDERED,
            version=order.version,
            endpoint=endpoint.name,
            detail=f"{order.action.value}, fence {fence}, answered {status}",
        )
