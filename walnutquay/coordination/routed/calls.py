# Licensed under the Apache License 2.0: see LICENSE for details.

"""Sends requests to endpoints and reads the heads of their answers."""

from __future__ import annotations

import aiohttp

from walnutquay.coordination.requests.slots import Grant
from walnutquay.coordination.routed.admission import RoutedAdmission
from walnutquay.coordination.routed.bodies import WatchedExchange
from walnutquay.coordination.routed.budgets import RetryBudgets
from walnutquay.coordination.routed.ports import Dialect
from walnutquay.coordination.routed.stalls import Stalls, TimedExchange
from walnutquay.coordination.routed.streaming import probe_interval
from walnutquay.coordination.routed.tunnels import Tunnels
from walnutquay.coordination.routed.turn import RoutedTurn
from walnutquay.exceptions import NotStartedError
from walnutquay.protocol.calls import AnswerHead, SendOrder
from walnutquay.state.routed.work import reading_rank
from walnutquay.transport.client import Exchange, HttpClient, header_pairs

# A request is retried elsewhere when its answer's head takes longer than both these
# multiples: of the estimated time, and of the route's objective.
HEAD_ESTIMATE_FACTOR = 4.0
HEAD_OBJECTIVE_FACTOR = 2.0
# The same multiple of what is usual at endpoints that tell how long work takes.
HEAD_USUAL_FACTOR = 2.0
# A wait is abandoned only while at least this many retries are left in the budget.
MIN_RETRIES_LEFT = 2.0


class EndpointCalls:
    """Sends routed requests to endpoints.

    :param client: the HTTP client for endpoints.
    :param dialect: encodes request heads and decodes response heads.
    :param admission: estimates when answers begin, and learns from their heads.
    :param budgets: the retry budgets of this VM.
    :param tunnels: makes connections through other VMs.
    :param stalls: detects requests that wait in vain.
    """

    def __init__(
        self,
        client: HttpClient,
        dialect: Dialect,
        admission: RoutedAdmission,
        budgets: RetryBudgets,
        tunnels: Tunnels,
        stalls: Stalls,
    ) -> None:
        self.client = client
        self.dialect = dialect
        self.admission = admission
        self.budgets = budgets
        self.tunnels = tunnels
        self.stalls = stalls

    def open(
        self, turn: RoutedTurn, grant: Grant
    ) -> Exchange | WatchedExchange | TimedExchange:
        """Prepare an exchange that fails if its endpoint makes its request wait.

        A silent endpoint is probed if the request may be sent to another one.

        :param turn: the request.
        :param grant: the slot that it was granted.
        :returns: the exchange.
        """
        exchange = self.send(turn, grant)
        if not (turn.streamed and turn.repeatable):
            return self.stalls.watch(turn, grant, exchange)
        probed = WatchedExchange(
            exchange,
            probe_interval(turn),
            lambda: self.admission.check_reachable(grant),
        )
        return self.stalls.watch(turn, grant, probed)

    def send(self, turn: RoutedTurn, grant: Grant) -> Exchange:
        """Prepare the exchange of a request with an endpoint, without starting it.

        :param turn: the request.
        :param grant: the slot that it was granted.
        :returns: the exchange.
        """
        arrival = turn.arrival
        remaining = turn.seconds_left()
        order = SendOrder(
            instance=grant.name,
            organisation=arrival.organisation.name or None,
            seconds_left=remaining,
            model=turn.model_name,
            last_event=turn.progress.last_event,
            urgency=self._urgency(turn, grant),
        )
        return self.client.request(
            arrival.method,
            grant.endpoint.address + arrival.target,
            peer=grant.name,
            data=arrival.body or None,
            headers=self.dialect.encode_call(arrival.head, order),
            timeout=max(0.01, remaining),
            idle=self._head_timeout(turn, grant),
            repeatable=arrival.route.repeatable,
            still_allowed=lambda: self.admission.limits.still_allowed(grant),
            through=self.tunnels.dialer(grant, arrival.request),
        )

    def _head_timeout(self, turn: RoutedTurn, grant: Grant) -> float | None:
        """Return the timeout for an answer's head, or None if no retry is allowed.

        An endpoint may stay silent indefinitely with its connection open.
        """
        if not turn.repeatable or self.budgets.of(turn.service).left < MIN_RETRIES_LEFT:
            return None
        objective = turn.arrival.route.objective_seconds
        limit = max(
            HEAD_OBJECTIVE_FACTOR * objective,
            HEAD_ESTIMATE_FACTOR * self.admission.expected_answer_seconds(grant),
        )
        usual = self.stalls.usual_heads(turn, grant)
        # Where all endpoints are slow, a second attempt only adds to their work.
        return limit if usual is None else max(limit, HEAD_USUAL_FACTOR * usual.high)

    def _urgency(self, turn: RoutedTurn, grant: Grant) -> int | None:
        """Return a prompt's rank at its engine, or None to leave it to the engine."""
        reading = self.admission.reading_seconds_of(grant)
        if reading is None or not turn.streamed:
            return None
        return reading_rank(reading, turn.arrival.route.objective_seconds)

    def read_head(
        self, turn: RoutedTurn, grant: Grant, answer: aiohttp.ClientResponse
    ) -> AnswerHead:
        """Read an answer's head.

        :param turn: the request.
        :param grant: the slot at the endpoint.
        :param answer: the endpoint's answer.
        :returns: the head.
        :raises NotStartedError: if the endpoint reports that it did not start it.
        """
        raw = header_pairs(answer)
        head = self.dialect.decode_answer(answer.status, answer.headers, raw)
        self.admission.on_answer(grant, head)
        self.stalls.on_head(turn, grant, head)
        if head.not_run:
            raise NotStartedError(
                f"the endpoint did not start the request (status {head.status})",
                step="refused",
                peer=grant.name,
            )
        return head
