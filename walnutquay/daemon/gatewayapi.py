# Licensed under the Apache License 2.0: see LICENSE for details.

"""The face towards the platform's callers: requests on the operators' routes."""

from __future__ import annotations

import asyncio
from asyncio.trsock import TransportSocket
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import logbook
import orjson
from aiohttp import HttpVersion10, HttpVersion11
from aiohttp.web_protocol import RequestPayloadError
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
from walnutquay.exceptions import CallerGoneError, MessageError
from walnutquay.platform import names
from walnutquay.platform.calls import decode_call
from walnutquay.protocol.calls import AnswerHead, CallHead
from walnutquay.state.own.claims import WholeAnswer
from walnutquay.state.process.events import EventKind
from walnutquay.state.process.ids import RequestId
from walnutquay.state.process.keys import key_hash
from walnutquay.state.requests.refusals import Refusal, RefusalCode
from walnutquay.state.store.catalogue import PUBLIC, Catalogue, Route, RouteKind
from walnutquay.state.store.parts import Organisation
from walnutquay.transport.gateway import GatewayLimits, GatewayServer
from walnutquay.transport.sockets import close_plainly, reset_on_close
from walnutquay.transport.timers import monotonic

log = logbook.Logger(__name__)

JSON_TYPE = "application/json"
# A body that is sent must have come within this time of its head.
BODY_SECONDS = 10.0
# Right after its start a VM knows the configuration within some 20 ms; callers who
# were connected before are not sent away for that.
STARTING_SECONDS = 0.3
# The port for readiness gets short requests only.
READY_HEADER_BYTES = 8 << 10


class BadCallError(Exception):
    """A request that is answered before it reaches the path.

    :param refusal: why.
    """

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.reason)
        self.refusal = refusal


class StreamReply:
    """The way back to the caller of a stream.

    :param request: the caller's request.
    :param server: whose connections end with their next answer at a stop.
    """

    def __init__(self, request: BaseRequest, server: GatewayServer) -> None:
        self.request = request
        self.server = server
        self.response: StreamResponse | None = None
        # Before HTTP/1.1 a stream ends with its connection.
        self.framed = request.version >= HttpVersion11

    async def begin(self, head: AnswerHead) -> None:
        """Send the status and the headers.

        :param head: the first endpoint's.
        """
        headers = CIMultiDict(head.headers)
        if head.content_type:
            headers["Content-Type"] = head.content_type
        self.response = StreamResponse(status=head.status, headers=headers)
        if self.server.draining or not self.framed:
            self.response.force_close()
        # However it ends from now on, a plain close would make it seem whole.
        self._on_close(reset_on_close)
        with _writing():
            await self.response.prepare(self.request)

    async def write(self, data: bytes) -> None:
        """Send whole events.

        :param data: the events.
        """
        assert self.response is not None
        with _writing():
            await self.response.write(data)

    async def end(self, whole: bool) -> StreamResponse:
        """End the answer; one that is not whole ends with its connection.

        :param whole: whether all of it was passed on.
        """
        assert self.response is not None
        if whole:
            with _writing():
                await self.response.write_eof()
            self._on_close(close_plainly)
        elif self.request.transport is not None:
            self.request.transport.abort()
        return self.response

    def _on_close(self, decide: Callable[[TransportSocket | None], None]) -> None:
        """Decide how the connection ends where that is the end of the stream."""
        transport = self.request.transport
        if self.framed or transport is None or transport.is_closing():
            return
        decide(transport.get_extra_info("socket"))


@contextmanager
def _writing() -> Iterator[None]:
    """Tell a caller's closed connection from an endpoint's.

    Both break with the same kind of error, and this one would count against the
    endpoint, and have the request sent to another one for nobody.

    :raises CallerGoneError: if the caller's connection is closing.
    """
    try:
        yield
    except ConnectionError as error:
        raise CallerGoneError(str(error), step="answer") from error


class GatewayApi:
    """Serves the platform's callers and its readiness checks.

    :param context: what this process shares.
    :param knowledge: what is known from the store.
    :param path: the path of routed requests.
    """

    def __init__(
        self, context: Context, knowledge: Knowledge, path: RoutedPath
    ) -> None:
        self.context = context
        self.knowledge = knowledge
        self.path = path
        # Whether the platform should send callers here.
        self.open = True
        self.server = GatewayServer(self.handle, GatewayLimits())
        self.ready_server = GatewayServer(
            self.handle_ready, GatewayLimits(READY_HEADER_BYTES)
        )

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
        try:
            arrival = await self._arrival(request)
        except BadCallError as error:
            return self._deny(request, error.refusal)
        try:
            return self._finish(await self._serve(arrival))
        except (asyncio.CancelledError, CallerGoneError) as error:
            self.context.metrics.count("callers_gone")
            self.context.timeline.emit(
                EventKind.CALLER_GONE,
                request=arrival.request,
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

    async def _arrival(self, request: BaseRequest) -> RoutedArrival:
        came = monotonic()
        head = _read_head(request)
        body = await self._read_body(request)
        route, organisation, catalogue = await self._admit(request, head)
        left = route.timeout_seconds
        if head.seconds_left is not None:
            left = min(left, head.seconds_left)
        return RoutedArrival(
            head.request or self.context.new_request(),
            organisation,
            body,
            came + left,
            request_class=route.name,
            head=head,
            method=request.method,
            target=request.raw_path,
            route=route,
            catalogue_version=catalogue.version,
            came=came,
            keyed=bool(catalogue.organisations),
            reply=self._reply(request, route),
        )

    def _reply(self, request: BaseRequest, route: Route) -> StreamReply | None:
        if route.kind is not RouteKind.STREAM:
            return None
        return StreamReply(request, self.server)

    async def _read_body(self, request: BaseRequest) -> bytes:
        catalogue = self.knowledge.catalogue.current
        most = (catalogue or Catalogue()).limits.body_bytes
        if (request.content_length or 0) > most:
            raise BadCallError(_too_large(most))
        parts = []
        size = 0
        try:
            async with asyncio.timeout(BODY_SECONDS):
                async for data in request.content.iter_any():
                    size += len(data)
                    if size > most:
                        raise BadCallError(_too_large(most))
                    parts.append(data)
        except TimeoutError as error:
            raise BadCallError(
                Refusal(RefusalCode.SLOW_BODY, "the body did not come in time", 1.0)
            ) from error
        except (RequestPayloadError, ValueError) as error:
            raise BadCallError(_bad(f"the body cannot be read: {error}")) from error
        return b"".join(parts)

    async def _admit(
        self, request: BaseRequest, head: CallHead
    ) -> tuple[Route, Organisation, Catalogue]:
        """Find the route and the caller; before denying them, ask the store again."""
        await self.knowledge.wait_ready(STARTING_SECONDS)
        await self.knowledge.settled()
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
        if route.public or not catalogue.organisations:
            return route, PUBLIC, catalogue
        organisation = catalogue.by_key_hash.get(key_hash(head.key))
        if not head.key or organisation is None:
            return Refusal(RefusalCode.NO_KEY, "no organisation has this key")
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
            **self.path.facts_known(),
        )
        response = _refusal_response(refusal, request.headers.get(names.REQUEST_ID))
        if not request.content.at_eof():
            # What is left of the body must not be taken for a request.
            response.force_close()
        return self._finish(response)

    def _response(self, outcome: Outcome) -> Response:
        if isinstance(outcome, Refused):
            proof = outcome.proof
            return _refusal_response(proof.refusal, proof.journey.request)
        if isinstance(outcome, Unknown):
            return _unknown_response(outcome)
        assert isinstance(outcome, Whole)
        return _answer_response(outcome.answer)

    def _finish(self, response: StreamResponse) -> StreamResponse:
        if self.server.draining:
            response.force_close()
        return response


def _read_head(request: BaseRequest) -> CallHead:
    if request.version < HttpVersion10:
        raise BadCallError(_bad("a request names a version of HTTP from 1.0"))
    hosts = request.headers.getall("Host", [])
    if len(hosts) != 1:
        raise BadCallError(_bad("a request names one host"))
    if not request.raw_path.startswith("/"):
        raise BadCallError(_bad("a request names a path"))
    try:
        raw = [(n.decode("ascii"), v.decode("utf-8")) for n, v in request.raw_headers]
        return decode_call(request.headers, raw)
    except UnicodeDecodeError as error:
        raise BadCallError(_bad("a header is not text")) from error
    except MessageError as error:
        raise BadCallError(_bad(error.reason)) from error


def _bad(reason: str) -> Refusal:
    return Refusal(RefusalCode.BAD_REQUEST, reason)


def _too_large(most: int) -> Refusal:
    return Refusal(RefusalCode.BODY_TOO_LARGE, f"a body may have {most} bytes")


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
    _label(response, outcome.stage.journey.request, outcome.retry_after)
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
