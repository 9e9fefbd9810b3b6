# Licensed under the Apache License 2.0: see LICENSE for details.

"""The roll-out duty: orders to engines and withdrawals of versions, under a lease."""

from __future__ import annotations

import aiohttp
import logbook

from walnutquay.coordination.own.acceptance import Acceptance
from walnutquay.coordination.own.configurations import Configurations
from walnutquay.coordination.own.endpoints import EndpointMonitor
from walnutquay.coordination.own.health import VersionHealth
from walnutquay.coordination.own.leases import Lease
from walnutquay.coordination.process.context import Context
from walnutquay.coordination.process.strays import stray_reporter
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
# An order without a response within this time is abandoned, and sent again.
ORDER_SECONDS = 0.5


class RolloutDuty:
    """Carries out roll-outs while this VM holds their lease.

    :param context: the state shared by this process.
    :param configurations: the configuration in force, with the roll-outs.
    :param acceptance: submits changes of the configuration.
    :param endpoint_monitor: the reports of endpoints.
    :param health: the test results and rejections of versions.
    :param lease: the lease on the duty.
    """

    def __init__(
        self,
        context: Context,
        configurations: Configurations,
        acceptance: Acceptance,
        endpoint_monitor: EndpointMonitor,
        health: VersionHealth,
        lease: Lease,
    ) -> None:
        self.context = context
        self.configurations = configurations
        self.acceptance = acceptance
        self.endpoint_monitor = endpoint_monitor
        self.health = health
        self.lease = lease
        self.session = aiohttp.ClientSession(
            connector=KeptConnector(stray_reporter(context))
        )

    def start(self) -> None:
        """Start the duty and the renewal of its lease."""
        self.lease.start()
        self.context.timers.every("rollouts", TICK_SECONDS, self.tick)

    async def close(self) -> None:
        """Close the connections used for orders."""
        await self.session.close()

    async def tick(self) -> None:
        """Advance the roll-outs, if this VM holds the lease."""
        for rollout in self.configurations.current.content.rollouts:
            if self.lease.fence() is None:
                return
            await self._apply_test_results(rollout)
            await self._send_orders(rollout)

    async def _apply_test_results(self, rollout: Rollout) -> None:
        """Withdraw a rejected version, or advance the roll-out of a good one."""
        under_way = rollout.state in (RolloutState.RUNNING, RolloutState.PAUSED)
        table = self.health.table
        if under_way and rollout.new in table.rejected:
            await self._submit(rollout, Action.WITHDRAW)
        elif (
            rollout.automatic
            and rollout.state is RolloutState.RUNNING
            and table.verdict(rollout.new) is Verdict.GOOD
        ):
            await self._submit(rollout, Action.ADVANCE)

    async def _submit(self, rollout: Rollout, action: Action) -> None:
        """Submit the action that the tests call for as a configuration change."""

        def change(content: Content) -> Content:
            if rollout not in content.rollouts:
                # An operator has changed it, so the tests apply to another stage.
                raise ConfigurationError(f"roll-out {rollout.name} has changed")
            return change_rollout(content, rollout.name, action, {})

        # Every lease holder uses the same id, so a repeat after a lost response or
        # by the next holder counts as the same change.
        operation = f"{action.value}/{rollout.name}/{rollout.new}/{rollout.stage}"
        try:
            await self.acceptance.apply(change, operation)
        except WalnutquayError as error:
            log.warn(
                "roll-out {}: {} failed and will be tried again: {}",
                rollout.name,
                action.value,
                error,
            )

    async def _send_orders(self, rollout: Rollout) -> None:
        endpoints = self.configurations.current.endpoints
        for order in orders_for(
            rollout, endpoints.values(), self.endpoint_monitor.loaded
        ):
            endpoint = endpoints[order.endpoint]
            if order.action is OrderAction.UNLOAD and not endpoint.checks_fences:
                # A delayed or repeated order could undo an order of the next lease
                # holder, whereas a loaded version without requests does no harm.
                continue
            # The lease is checked right before each order, by a clock that includes
            # the time during which the VM was suspended.
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
            log.debug(
                "no response to an order to {}; it will be sent again: {}",
                endpoint.name,
                error,
            )
            return
        self.context.timeline.emit(
            EventKind.ORDERED,
            version=order.version,
            endpoint=endpoint.name,
            detail=f"{order.action.value}, fence {fence}, answered {status}",
        )
