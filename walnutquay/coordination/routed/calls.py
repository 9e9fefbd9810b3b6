# Licensed under the Apache License 2.0: see LICENSE for details.

"""Calls of endpoints: what is sent to them, and the heads of their answers."""

from __future__ import annotations

import aiohttp

from walnutquay.coordination.requests.places import Grant
from walnutquay.coordination.routed.admission import RoutedAdmission
from walnutquay.coordination.routed.budgets import RetryBudgets
from walnutquay.coordination.routed.ports import Dialect
from walnutquay.coordination.routed.turn import RoutedTurn
from walnutquay.exceptions import NotStartedError
from walnutquay.protocol.calls import AnswerHead, SendOrder
from walnutquay.state.requests.endpoints import EndpointTable
from walnutquay.state.routed.work import reading_rank
from walnutquay.transport.client import Exchange, HttpClient, header_pairs
from walnutquay.transport.timers import monotonic

# An answer that has not begun after so many times the time that its prompt should
# take, and so many times its route's aim, is looked for elsewhere.
HEAD_FACTOR = 4.0
HEAD_AIMS = 2.0
# Retries that must be left for a wait to be given up.
MIN_BUDGET = 2.0


class EndpointCalls:
    """Sends routed requests to endpoints.

    :param client: the connections to endpoints.
    :param dialect: writes and reads heads.
    :param admission: forecasts when answers begin.
    :param budgets: this VM's retry budgets.
    :param table: the state of endpoints, which their answers tell.
    """

    def __init__(
        self,
        client: HttpClient,
        dialect: Dialect,
        admission: RoutedAdmission,
        budgets: RetryBudgets,
        table: EndpointTable,
    ) -> None:
        self.client = client
        self.dialect = dialect
        self.admission = admission
        self.budgets = budgets
        self.table = table

    def send(self, turn: RoutedTurn, grant: Grant) -> Exchange:
        """:param turn: a request.

        :param grant: the endpoint that it goes to.
        :returns: the exchange with it, not begun yet.
        """
        arrival = turn.arrival
        left = turn.seconds_left()
        order = SendOrder(
            instance=grant.name,
            organisation=arrival.organisation.name if arrival.found_by_key else None,
            seconds_left=left,
            model=turn.model_name,
            last_event=turn.progress.last_event,
            urgency=self._rank(turn, grant),
        )
        return self.client.request(
            arrival.method,
            grant.endpoint.address + arrival.target,
            peer=grant.name,
            data=arrival.body or None,
            headers=self.dialect.encode_call(arrival.head, order),
            timeout=max(0.01, left),
            idle=self._head_limit(turn, grant),
            repeatable=arrival.route.repeatable,
        )

    def _head_limit(self, turn: RoutedTurn, grant: Grant) -> float | None:
        """Bound the wait for an answer's head, where another endpoint may be asked.

        An endpoint can be silent for ever with its connection up.
        """
        if not turn.repeatable or self.budgets.of(turn.service).left < MIN_BUDGET:
            return None
        aim = turn.arrival.route.objective_seconds
        return max(HEAD_AIMS * aim, HEAD_FACTOR * self.admission.expected(grant))

    def _rank(self, turn: RoutedTurn, grant: Grant) -> int | None:
        """Rank a prompt at its engine; None leaves it to the engine."""
        reading = self.admission.reading_of(grant)
        if reading is None or not turn.streamed:
            return None
        return reading_rank(reading, turn.arrival.route.objective_seconds)

    def read_head(self, grant: Grant, answer: aiohttp.ClientResponse) -> AnswerHead:
        """Read an answer's head.

        :param grant: the endpoint.
        :param answer: its answer.
        :returns: the head.
        :raises NotStartedError: if the endpoint says that it did not begin.
        """
        raw = header_pairs(answer)
        head = self.dialect.decode_answer(answer.status, answer.headers, raw)
        if head.running is not None:
            load = head.running + head.waiting
            self.table.report(grant.name, load, "", monotonic())
        if head.not_run:
            raise NotStartedError(
                f"the endpoint did not begin ({head.status})",
                step="refused",
                peer=grant.name,
            )
        return head
