# Licensed under the Apache License 2.0: see LICENSE for details.

"""The face towards the platform's callers: requests on the operators' routes."""

from __future__ import annotations

import asyncio

import logbook
import orjson
from aiohttp import HttpVersion10
from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response, StreamResponse
from multidict import CIMultiDict

from walnutquay.coordination.process.context import Context
from walnutquay.coordination.requests.outcomes import (
    Outcome,
    Refused,
    Streamed,
    Unknown,
    Whole,
)
from walnutquay.coordination.routed.facts import whole_ms
from walnutquay.coordination.routed.path import RoutedPath
from walnutquay.coordination.routed.turn import RoutedArrival
from walnutquay.coordination.store.knowledge import Knowledge
from walnutquay.daemon.callerbodies import BodyHold, CallerBodies
from walnutquay.daemon.denials import BadCallError, bad_request
from walnutquay.daemon.streamreply import StreamReply
from walnutquay.exceptions import CallerGoneError, MessageError
from walnutquay.platform import names
from walnutquay.platform.calls import decode_call
from walnutquay.protocol.calls import CallHead
from walnutquay.state.own.claims import WholeAnswer
from walnutquay.state.process.events import EventKind
from walnutquay.state.process.ids import RequestId
from walnutquay.state.requests.refusals import Refusal, RefusalCode
from walnutquay.state.store.catalogue import ANONYMOUS, Catalogue, Route
from walnutquay.state.store.parts import Organisation
from walnutquay.transport.gateway import GatewayLimits, GatewayServer
from walnutquay.transport.timers import monotonic

log = logbook.Logger(__name__)

JSON_TYPE = "application/json"
# Right after its start a VM knows the configuration within some 20 ms; callers who
# were connected before are not sent away for that.
STARTING_SECONDS = 0.3
# How often the limits of connections are enforced.
LIMITS_CHECK_SECONDS = 0.5
# The port for readiness gets short requests only.
READY_HEADER_BYTES = 8 << 10


class GatewayApi:
    """Serves the platform's callers and its readiness checks.

    :param context: what this process shares.
    :param knowledge: what is known from the store.
    :param path: the path of routed requests.
    :param bodies: reads the bodies of requests.
    """

    def __init__(
        self,
        context: Context,
        knowledge: Knowledge,
        path: RoutedPath,
        bodies: CallerBodies,
    ) -> None:
        self.bodies = bodies
        self.context = context
        self.knowledge = knowledge
        self.path = path
        # Whether the platform should send callers here.
        self.open = True
        self.server = GatewayServer(self.handle, GatewayLimits())
        path.memory.unsent = self.server.web.unsent_bytes
        self.ready_server = GatewayServer(
            self.handle_ready, GatewayLimits(READY_HEADER_BYTES)
        )

    def start(self) -> None:
        """Start enforcing the configured connection limits periodically."""
        timers = self.context.timers
        timers.every("caller-limits", LIMITS_CHECK_SECONDS, self.enforce_limits)
        for server in (self.server, self.ready_server):
            timers.on_wake(server.web.head_deadlines.postpone)
            timers.on_wake(server.web.unread.postpone)

    def enforce_limits(self) -> None:
        """Apply the configured limits and close overdue connections."""
        # Deadlines are postponed first if the VM was suspended.
        self.context.timers.look()
        catalogue = self.knowledge.catalogue.current
        if catalogue is not None:
            limits = catalogue.limits
            self.server.web.limits = GatewayLimits(
                limits.header_bytes, limits.idle_seconds, limits.header_seconds
            )
        self.server.close_overdue()
        self.ready_server.close_overdue()
        unread = self.server.close_unread(self.path.memory.limit)
        self.context.metrics.count("callers_unread", unread)
        unreadable = self.server.web.take_unreadable()
        self.context.metrics.count("callers_unreadable", unreadable)

    # Readiness.

    async def handle_ready(self, request: BaseRequest) -> StreamResponse:
        """Say whether callers should be sent here.

        :param request: the platform's question.
        """
        if request.path != names.READY_PATH:
            return Response(status=404, text="not found\n")
        if self.open and self.knowledge.ready:
            return Response(text="ready\n")
        return Response(status=503, text="not ready\n")

    # Requests.

    async def handle(self, request: BaseRequest) -> StreamResponse:
        """Serve a caller's request.

        :param request: the request.
        """
        with self.bodies.hold() as hold:
            return await self._handle(request, hold)

    async def _handle(self, request: BaseRequest, hold: BodyHold) -> StreamResponse:
        try:
            arrival = await self._arrival(request, hold)
        except BadCallError as error:
            return self._deny(request, error.refusal)
        try:
            return self._finish(await self._serve(arrival))
        except (asyncio.CancelledError, CallerGoneError) as error:
            self.context.metrics.count("callers_gone")
            self.context.timeline.emit(
                EventKind.CALLER_GONE,
                request=arrival.request,
                detail=_why_gone(error),
                left_ms=whole_ms(arrival.deadline - monotonic()),
            )
            # The server takes both for a caller who has left.
            raise asyncio.CancelledError from error

    async def _serve(self, arrival: RoutedArrival) -> StreamResponse:
        outcome = await self.path.serve(arrival)
        if isinstance(outcome, Streamed):
            assert isinstance(arrival.reply, StreamReply)
            return await arrival.reply.end(outcome.whole)
        return self._response(outcome)

    async def _arrival(self, request: BaseRequest, hold: BodyHold) -> RoutedArrival:
        arrived_at = monotonic()
        head = _read_head(request)
        body = await hold.read(request, head.key)
        route, organisation, catalogue = await self._admit(request, head)
        left = route.timeout_seconds
        if head.seconds_left is not None:
            left = min(left, head.seconds_left)
        return RoutedArrival(
            head.request or self.context.new_request_id(),
            organisation,
            body,
            arrived_at + left,
            request_class=route.name,
            head=head,
            method=request.method,
            target=request.raw_path,
            route=route,
            catalogue_version=catalogue.version,
            arrived_at=arrived_at,
            reply=StreamReply(request, self.server),
        )

    async def _admit(
        self, request: BaseRequest, head: CallHead
    ) -> tuple[Route, Organisation, Catalogue]:
        """Find the route and the caller; before denying them, ask the store again."""
        await self.knowledge.wait_ready(STARTING_SECONDS)
        await self.knowledge.wait_confirmed()
        refusal = self.path.unready()
        if refusal is not None:
            raise BadCallError(refusal)
        found = self._look_up(request, head)
        if isinstance(found, Refusal):
            await self.knowledge.confirm()
            found = self._look_up(request, head)
        if isinstance(found, Refusal):
            raise BadCallError(found)
        return found

    def _look_up(
        self, request: BaseRequest, head: CallHead
    ) -> tuple[Route, Organisation, Catalogue] | Refusal:
        catalogue = self.knowledge.catalogue.current
        assert catalogue is not None
        route = catalogue.route_for(head.host, request.raw_path)
        if route is None:
            return Refusal(RefusalCode.UNKNOWN_SERVICE, "no route has this path")
        organisation = catalogue.organisation_with(head.key)
        if organisation is None:
            if catalogue.needs_keys and not route.public:
                return Refusal(RefusalCode.NO_KEY, "no organisation has this key")
            organisation = ANONYMOUS
        return route, organisation, catalogue

    # Answering.

    def _deny(self, request: BaseRequest, refusal: Refusal) -> StreamResponse:
        self.context.metrics.count(f"denied_{refusal.code.value}")
        catalogue = self.knowledge.catalogue.current
        self.context.timeline.emit(
            EventKind.REFUSED,
            request=request.headers.get(names.REQUEST_ID, ""),
            version=str(catalogue.version) if catalogue else "",
            detail=refusal.code.value,
            reason=refusal.reason,
            retry_after=refusal.retry_after,
            **self.path.facts_state_age(),
        )
        response = _refusal_response(refusal, request.headers.get(names.REQUEST_ID))
        if not request.content.at_eof():
            # What is left of the body must not be taken for a request.
            response.force_close()
        return self._finish(response)

    def _response(self, outcome: Outcome) -> Response:
        if isinstance(outcome, Refused):
            proof = outcome.proof
            return _refusal_response(proof.refusal, proof.progress.request)
        if isinstance(outcome, Unknown):
            return _unknown_response(outcome)
        assert isinstance(outcome, Whole)
        response = _answer_response(outcome.answer)
        _label(response, None, outcome.retry_after)
        return response

    def _finish(self, response: StreamResponse) -> StreamResponse:
        if self.server.draining:
            response.force_close()
        return response


def _read_head(request: BaseRequest) -> CallHead:
    if request.version < HttpVersion10:
        raise bad_request("a request names a version of HTTP from 1.0")
    hosts = request.headers.getall("Host", [])
    if len(hosts) != 1:
        raise bad_request("a request names one host")
    path = request.raw_path
    if not path.startswith("/"):
        raise bad_request("a request names a path")
    if path.endswith("?") or "#" in path:
        # The HTTP client would leave a part of it out.
        raise bad_request("a path has neither an empty query nor a fragment")
    try:
        raw = [(n.decode("ascii"), v.decode("utf-8")) for n, v in request.raw_headers]
        return decode_call(request.headers, raw)
    except UnicodeDecodeError as error:
        raise bad_request("a header is not text") from error
    except MessageError as error:
        raise bad_request(error.reason) from error


def _why_gone(error: BaseException) -> str:
    """Return whether a caller left, or did not read its answer."""
    return error.step if isinstance(error, CallerGoneError) else ""


def _error_body(code: str, reason: str, ran: str) -> bytes:
    return orjson.dumps({"error": {"code": code, "message": reason, "ran": ran}})


def _refusal_response(refusal: Refusal, request: str | None) -> Response:
    response = Response(
        body=_error_body(refusal.code.value, refusal.reason, "not_run"),
        status=refusal.status,
        content_type=JSON_TYPE,
    )
    _label(response, request, refusal.retry_after)
    return response


def _unknown_response(outcome: Unknown) -> Response:
    response = Response(
        body=_error_body(outcome.code, outcome.reason, "unknown"),
        status=outcome.status,
        content_type=JSON_TYPE,
    )
    _label(response, outcome.stage.progress.request, outcome.retry_after)
    return response


def _label(
    response: Response, request: RequestId | str | None, retry_after: float | None
) -> None:
    if request:
        response.headers[names.REQUEST_ID] = request
    if retry_after is not None:
        response.headers[names.RETRY_AFTER] = f"{retry_after:.2f}"


def _answer_response(answer: WholeAnswer) -> Response:
    headers = CIMultiDict(answer.headers)
    if answer.content_type:
        headers["Content-Type"] = answer.content_type
    return Response(body=answer.body, status=answer.status, headers=headers)
