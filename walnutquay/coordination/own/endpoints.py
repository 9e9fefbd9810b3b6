# Licensed under the Apache License 2.0: see LICENSE for details.

"""News of endpoints: their load reports, and who of them is leaving."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import aiohttp
import logbook

from walnutquay.coordination.own.configurations import Configurations
from walnutquay.coordination.own.members import ListedEndpoint, Members
from walnutquay.coordination.process.context import Context
from walnutquay.coordination.process.dispatcher import Dispatcher
from walnutquay.coordination.process.strays import stray_teller
from walnutquay.exceptions import EndpointError
from walnutquay.protocol.messages import Envelope
from walnutquay.protocol.ownmessages import EndpointLeaving
from walnutquay.state.own.configuration import Configuration
from walnutquay.state.process.events import EventKind
from walnutquay.state.process.ids import EndpointName, LeavingSource
from walnutquay.state.requests.endpoints import EndpointTable
from walnutquay.state.store.parts import Endpoint
from walnutquay.transport.client import get_json
from walnutquay.transport.connectors import KeptConnector
from walnutquay.transport.timers import monotonic

log = logbook.Logger(__name__)

REPORT_PERIOD = 1.0
REPORT_TIMEOUT = 0.8
# Endpoints that one VM asks each time; the work it sends itself it knows.
MAX_REPORTERS = 16


class EndpointNews:
    """Feeds the endpoint table from reports, the VM list and peers.

    :param context: what this process shares.
    :param table: the table.
    :param configurations: which endpoints there are.
    :param members: the other VMs.
    :param dispatcher: where peers' news come from.
    """

    def __init__(
        self,
        context: Context,
        table: EndpointTable,
        configurations: Configurations,
        members: Members,
        dispatcher: Dispatcher,
    ) -> None:
        self.context = context
        # Gives the endpoints that this VM uses; set once admission is made.
        self.used: Callable[[], list[Endpoint]] = list
        self.table = table
        self.configurations = configurations
        self.members = members
        self.session = aiohttp.ClientSession(
            connector=KeptConnector(stray_teller(context))
        )
        # The versions that each endpoint last reported as loaded.
        self.loaded: dict[str, frozenset[str]] = {}
        configurations.listeners.append(self.on_configuration)
        members.endpoint_listeners.append(self.on_list)
        dispatcher.on(EndpointLeaving, self.on_peer)

    def start(self) -> None:
        """Begin to ask for reports."""
        self.context.timers.every("load-reports", REPORT_PERIOD, self.ask_all)

    async def close(self) -> None:
        """Close the connections for reports."""
        await self.session.close()

    def on_configuration(self, configuration: Configuration) -> None:
        """:param configuration: what came into force."""
        self.table.forget_except(configuration.endpoints)
        for name in set(self.loaded) - set(configuration.endpoints):
            del self.loaded[name]

    async def ask_all(self) -> None:
        """Ask the endpoints that this VM uses for their load."""
        endpoints = self.used()
        if len(endpoints) > MAX_REPORTERS:
            endpoints = self.context.rng.sample(endpoints, MAX_REPORTERS)
        await asyncio.gather(*(self._ask(endpoint) for endpoint in endpoints))

    async def _ask(self, endpoint: Endpoint) -> None:
        url = f"{endpoint.address}/report"
        try:
            report = await get_json(self.session, url, REPORT_TIMEOUT)
        except EndpointError as error:
            log.debug("no report from {}: {}", endpoint.name, error)
            return
        assert isinstance(report, dict)
        name = EndpointName(endpoint.name)
        incarnation = str(report.get("incarnation", ""))
        load = int(report.get("running", 0)) + int(report.get("waiting", 0))
        self.table.report(name, load, incarnation, monotonic())
        if "versions" in report:
            self.loaded[name] = frozenset(report["versions"])
        if report.get("leaving"):
            self.learn_leaving(name, LeavingSource.ENDPOINT, incarnation)

    def on_list(self, listed: list[ListedEndpoint]) -> None:
        """:param listed: endpoints as the platform's list has them."""
        for entry in listed:
            if entry.leaving:
                self.learn_leaving(
                    EndpointName(entry.name), LeavingSource.VM_LIST, entry.incarnation
                )

    def on_peer(self, envelope: Envelope) -> None:
        """:param envelope: a peer's news."""
        body = envelope.body
        assert isinstance(body, EndpointLeaving)
        name = EndpointName(body.endpoint)
        self.learn_leaving(name, LeavingSource.PEER, body.incarnation)

    def learn_leaving(
        self, name: EndpointName, source: LeavingSource, incarnation: str = ""
    ) -> None:
        """Note that an endpoint is leaving, and tell the others if it is news.

        :param name: the endpoint.
        :param source: who says so.
        :param incarnation: which incarnation of it is leaving.
        """
        if not self.table.mark_leaving(name, source, incarnation):
            return
        self.context.timeline.emit(
            EventKind.ENDPOINT_LEAVING, endpoint=name, detail=source.value
        )
        known = incarnation or self.table.state_of(name).incarnation
        if source is not LeavingSource.PEER:
            self.members.broadcast(EndpointLeaving(name, known))
