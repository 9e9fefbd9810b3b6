# Licensed under the Apache License 2.0: see LICENSE for details.

"""The path of calls to plain services."""

from __future__ import annotations

from walnutquay.coordination.own.keyed import KeyedParts, KeyedPath
from walnutquay.coordination.own.turns import ServiceTurn
from walnutquay.coordination.requests.outcomes import Outcome, ServiceArrival, Whole
from walnutquay.coordination.requests.slots import Grant
from walnutquay.protocol import chat
from walnutquay.protocol.services import (
    HEADER_ORGANISATION,
    HEADER_REQUEST_ID,
    answer_headers,
)
from walnutquay.state.own.claims import WholeAnswer
from walnutquay.state.requests.refusals import Refusal, RefusalCode
from walnutquay.state.requests.stages import CostLine, Dispatched, Received
from walnutquay.transport.client import HttpClient, read_whole
from walnutquay.transport.timers import monotonic


class ServicePath(KeyedPath):
    """Serves calls to plain services.

    :param parts: the shared components.
    :param client: the HTTP client for endpoints.
    """

    def __init__(self, parts: KeyedParts, client: HttpClient) -> None:
        super().__init__(parts)
        self.client = client

    async def run(self, arrival: ServiceArrival, stage: Received) -> Outcome:
        """Serve a call that has been accepted.

        :param arrival: the call.
        :param stage: its stage.
        """
        self.parts.retries.first_try()
        return await self.attempts(ServiceTurn(arrival), stage)

    def no_longer_allowed(self, turn: ServiceTurn) -> Refusal | None:
        """Check whether the organisation may still call the service.

        :param turn: the call.
        :returns: why the organisation may not call it now, or None.
        """
        name = turn.arrival.organisation.name
        organisation = self.parts.configurations.current.organisations.get(name)
        if organisation is not None and turn.target in organisation.services:
            return None
        return Refusal(
            RefusalCode.NOT_ALLOWED, f"{name} may not call service {turn.target}"
        )

    async def exchange(
        self, turn: ServiceTurn, running: Dispatched, grant: Grant
    ) -> Outcome:
        """Exchange a call and its answer with an endpoint of the service.

        :param turn: the call.
        :param running: its stage.
        :param grant: the slot at the endpoint.
        """
        started = monotonic()
        answer = await self._call(turn, running, grant)
        now = monotonic()
        kind = f"{turn.target}/{turn.arrival.method}"
        self.parts.table.succeeded(grant.name, kind, now - started, now)
        self.on_whole_answer(turn, grant)
        running.answered()
        service = turn.arrival.service
        line = CostLine(service.name, grant.name, cost=service.price_call)
        await self.parts.billing.add(
            turn.arrival.request, turn.arrival.organisation.name, [line]
        )
        return Whole(answer)

    async def _call(
        self, turn: ServiceTurn, running: Dispatched, grant: Grant
    ) -> WholeAnswer:
        arrival = turn.arrival
        dispatch = f"{arrival.request}.{running.progress.dispatches}"
        headers = {
            **arrival.headers,
            HEADER_REQUEST_ID: dispatch,
            HEADER_ORGANISATION: arrival.organisation.name,
        }
        left = min(arrival.service.timeout_seconds, arrival.deadline - monotonic())
        async with self.client.request(
            arrival.method,
            grant.endpoint.address + arrival.path,
            peer=grant.name,
            data=arrival.body or None,
            headers=headers,
            timeout=max(0.05, left),
            repeatable=turn.repeatable,
        ) as answer:
            body = await read_whole(answer, grant.name)
            served = (
                *answer_headers(answer.headers.items()),
                (chat.HEADER_REQUEST, arrival.request),
                (chat.HEADER_ENDPOINT, grant.name),
                (
                    chat.HEADER_REVISION,
                    str(self.parts.configurations.current.revision),
                ),
            )
            content_type = answer.headers.get("content-type", "")
            return WholeAnswer(answer.status, content_type, body, served)
