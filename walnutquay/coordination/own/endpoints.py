# Licensed under the Apache License 2.0: see LICENSE for details.

"""Monitoring of endpoints: their load reports, and which of them are leaving."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import aiohttp
import logbook

from walnutquay.coordination.own.configurations import Configurations
from walnutquay.coordination.own.members import ListedEndpoint, Members
from walnutquay.coordination.process.context import Context
from walnutquay.coordination.process.dispatcher import Dispatcher
from walnutquay.coordination.process.strays import stray_reporter
from walnutquay.exceptions import EndpointError
from walnutquay.protocol.messages import Envelope
from walnutquay.protocol.ownmessages import EndpointLeaving
from walnutquay.state.own.configuration import Configuration
from walnutquay.state.process.events import EventKind
from walnutquay.state.process.ids import EndpointName, LeavingSource
from walnutquay.state.requests.endpoints import EndpointTable
from walnutquay.state.store.parts import Endpoint
from walnutquay.transport.connectors import KeptConnector
from walnutquay.transport.jsoncalls import get_json
from walnutquay.transport.timers import monotonic

log = logbook.Logger(__name__)

REPORT_PERIOD = 1.0
REPORT_TIMEOUT = 0.8
# The maximum number of endpoints that one VM queries in each round.  It knows the load
# that it sends itself without reports.
MAX_REPORTERS = 16


class EndpointMonitor:
    """Updates the endpoint table from load reports, the VM list and peers.

    :param context: the state shared by this process.
    :param table: the table.
    :param configurations: the configuration, with the list of endpoints.
    :param members: the other VMs.
    :param dispatcher: the dispatcher of messages from peers.
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
        # Returns the endpoints that this VM uses; set once the admission exists.
        self.endpoints_in_use: Callable[[], list[Endpoint]] = list
        self.table = table
        self.configurations = configurations
        self.members = members
        self.session = aiohttp.ClientSession(
            connector=KeptConnector(stray_reporter(context))
        )
        # The versions that each endpoint last reported as loaded.
        self.loaded: dict[str, frozenset[str]] = {}
        configurations.listeners.append(self.on_configuration)
        members.endpoint_listeners.append(self.on_vm_list)
        dispatcher.on(EndpointLeaving, self.on_peer)

    def start(self) -> None:
        """Start the periodic requests for load reports."""
        self.context.timers.every("load-reports", REPORT_PERIOD, self.request_reports)

    async def close(self) -> None:
        """Close the connections used for load reports."""
        await self.session.close()

    def on_configuration(self, configuration: Configuration) -> None:
        """Remove endpoints that are no longer configured.

        :param configuration: the configuration that came into force.
        """
        self.table.forget_except(configuration.endpoints)
        for name in set(self.loaded) - set(configuration.endpoints):
            del self.loaded[name]

    async def request_reports(self) -> None:
        """Request load reports from the endpoints that this VM uses.

        If there are more than ``MAX_REPORTERS``, a random sample is queried.
        """
        endpoints = self.endpoints_in_use()
        if len(endpoints) > MAX_REPORTERS:
            endpoints = self.context.rng.sample(endpoints, MAX_REPORTERS)
        await asyncio.gather(
            *(self._request_report(endpoint) for endpoint in endpoints)
        )

    async def _request_report(self, endpoint: Endpoint) -> None:
        url = f"{endpoint.address}/report"
        try:
            report = await get_json(self.session, url, REPORT_TIMEOUT)
        except EndpointError as error:
            log.debug("load report from {} failed: {}", endpoint.name, error)
            return
        assert isinstance(report, dict)
        name = EndpointName(endpoint.name)
        incarnation = str(report.get("incarnation", ""))
        load = int(report.get("running", 0)) + int(report.get("waiting", 0))
        self.table.report(name, load, incarnation, monotonic())
        if "versions" in report:
            self.loaded[name] = frozenset(report["versions"])
        if report.get("leaving"):
            self.record_leaving(name, LeavingSource.ENDPOINT, incarnation)

    def on_vm_list(self, listed: list[ListedEndpoint]) -> None:
        """Record the endpoints that are leaving according to the platform's VM list.

        :param listed: the endpoints in the list.
        """
        for entry in listed:
            if entry.leaving:
                self.record_leaving(
                    EndpointName(entry.name), LeavingSource.VM_LIST, entry.incarnation
                )

    def on_peer(self, envelope: Envelope) -> None:
        """Record that an endpoint is leaving, as sent by a peer.

        :param envelope: the peer's message.
        """
        body = envelope.body
        assert isinstance(body, EndpointLeaving)
        name = EndpointName(body.endpoint)
        self.record_leaving(name, LeavingSource.PEER, body.incarnation)

    def record_leaving(
        self, name: EndpointName, source: LeavingSource, incarnation: str = ""
    ) -> None:
        """Record that an endpoint is leaving, and broadcast it if it was not yet known.

        What a peer has sent is not broadcast again.

        :param name: the endpoint.
        :param source: the source of the information.
        :param incarnation: the incarnation that is leaving; empty if not stated.
        """
        if not self.table.mark_leaving(name, source, incarnation):
            return
        self.context.timeline.emit(
            EventKind.ENDPOINT_LEAVING, endpoint=name, detail=source.value
        )
        known = incarnation or self.table.state_of(name).incarnation
        if source is not LeavingSource.PEER:
            self.members.broadcast(EndpointLeaving(name, known))
