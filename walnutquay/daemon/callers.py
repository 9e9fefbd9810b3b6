# Licensed under the Apache License 2.0: see LICENSE for details.

"""The API for callers: chat completions, plain services, health."""

from __future__ import annotations

import math
from collections.abc import Mapping

from sanic import HTTPResponse, Request
from sanic.exceptions import PayloadTooLarge, SanicException
from sanic.response import BaseHTTPResponse

from walnutquay.coordination.own.chats import ChatPath
from walnutquay.coordination.own.configurations import Configurations
from walnutquay.coordination.own.services import ServicePath
from walnutquay.coordination.process.context import Context
from walnutquay.coordination.requests.outcomes import (
    ChatArrival,
    Outcome,
    Refused,
    ServiceArrival,
    Streamed,
    Unknown,
    Whole,
)
from walnutquay.daemon.authentication import caller_of
from walnutquay.protocol import chat
from walnutquay.protocol.services import call_headers
from walnutquay.sections import CallersSection
from walnutquay.state.requests.refusals import Refusal, RefusalCode
from walnutquay.state.store.parts import Organisation
from walnutquay.transport.server import HttpServer, ServerLimits
from walnutquay.transport.timers import monotonic

METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"]
MAX_KEY_LENGTH = 255
MAX_NAME_LENGTH = 128
INTERNAL_ERROR = "internal_error"
# Sanic sends chunks whatever version of HTTP a caller speaks.
CHUNKED_VERSIONS = ("1.1",)


class BadArrivalError(Exception):
    """A request that is answered before it reaches a path.

    :param refusal: why.
    """

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.reason)
        self.refusal = refusal


class StreamReply:
    """The way back to a caller of a streamed answer.

    :param request: the caller's request.
    :param token_seconds: seconds for which a session token is good.
    """

    def __init__(self, request: Request, token_seconds: float) -> None:
        self.request = request
        self.token_seconds = token_seconds
        self.response: BaseHTTPResponse | None = None

    async def begin(self, headers: Mapping[str, str]) -> None:
        """Send the status and the headers.

        :param headers: who serves it.
        """
        sent = dict(headers)
        sent["cache-control"] = "no-store"
        self.response = await self.request.respond(
            headers=sent, content_type=chat.STREAM_TYPE
        )
        if chat.HEADER_TOKEN not in self.request.headers:
            _set_cookie(self.response, headers, self.token_seconds)

    async def write(self, data: bytes) -> None:
        """Send a piece of the body.

        :param data: the piece.
        """
        assert self.response is not None
        await self.response.send(data)

    async def end(self, whole: bool) -> None:
        """End the body; one that is not whole ends by closing the connection.

        :param whole: whether its end mark was sent.
        """
        assert self.response is not None
        if whole:
            await self.response.eof()
        else:
            # The server would send the end of a whole body.
            self.request.transport.close()


class CallersApi:
    """Serves callers.

    :param context: what this process shares.
    :param section: the settings.
    :param configurations: what is in force.
    :param chats: the path of chat requests.
    :param services: the path of service calls.
    :param token_seconds: seconds for which a session token is good.
    """

    def __init__(
        self,
        context: Context,
        section: CallersSection,
        configurations: Configurations,
        chats: ChatPath,
        services: ServicePath,
        token_seconds: float,
    ) -> None:
        self.context = context
        self.section = section
        self.configurations = configurations
        self.chats = chats
        self.services = services
        self.token_seconds = token_seconds
        # Whether the balancer should send callers here.
        self.open = True
        limits = ServerLimits(
            section.body_limit, section.header_limit, section.request_seconds
        )
        self.server = HttpServer(f"callers-{context.vm}", limits, self.on_error)
        route = self.server.route
        route("/v1/chat/completions", ["POST"], self.chat, "chat")
        route("/services/<service:str>/<path:path>", METHODS, self.service, "service")
        route("/services/<service:str>", METHODS, self.service, "service-root")
        route("/healthz", ["GET"], self.health, "health")
        route("/readyz", ["GET"], self.ready, "ready")

    async def start(self) -> None:
        """Listen."""
        await self.server.start(self.section.host, self.section.port)

    # Handlers.

    async def chat(self, request: Request) -> BaseHTTPResponse | None:
        """Serve ``POST /v1/chat/completions``.

        :param request: the caller's request.
        """
        try:
            arrival = self._chat_arrival(request)
        except BadArrivalError as error:
            return self._refusal(error.refusal)
        outcome = await self.chats.serve(arrival)
        if isinstance(outcome, Streamed):
            assert isinstance(arrival.reply, StreamReply)
            await arrival.reply.end(outcome.whole)
            return arrival.reply.response
        sent_token = chat.HEADER_TOKEN in request.headers
        return self._response(outcome, arrival.request, sent_token)

    async def service(
        self, request: Request, service: str, path: str = ""
    ) -> BaseHTTPResponse:
        """Serve ``/services/<service>/...``.

        :param request: the caller's request.
        :param service: the service's name.
        :param path: the path behind it.
        """
        try:
            arrival = self._service_arrival(request, service)
        except BadArrivalError as error:
            return self._refusal(error.refusal)
        outcome = await self.services.serve(arrival)
        return self._response(outcome, arrival.request)

    async def health(self, request: Request) -> HTTPResponse:
        """Say that the process lives.

        :param request: anybody's request.
        """
        return HTTPResponse("ok\n", content_type="text/plain")

    async def ready(self, request: Request) -> HTTPResponse:
        """Say whether callers should be sent here.

        :param request: the balancer's request.
        """
        if self.open and self.configurations.ready:
            return HTTPResponse("ready\n", content_type="text/plain")
        return HTTPResponse("not ready\n", status=503, content_type="text/plain")

    # Reading.

    def _caller(self, request: Request) -> Organisation:
        if not self.configurations.ready:
            raise BadArrivalError(
                Refusal(
                    RefusalCode.NOT_READY,
                    "this entry VM has no configuration yet",
                    1.0,
                )
            )
        organisation = caller_of(
            self.configurations.current, request.headers.get("authorization")
        )
        if organisation is None:
            raise BadArrivalError(
                Refusal(RefusalCode.NO_KEY, "no organisation has this key")
            )
        return organisation

    def _deadline(self, request: Request) -> float:
        seconds = self.section.answer_seconds
        text = request.headers.get(chat.HEADER_DEADLINE)
        if text is not None:
            try:
                wanted = float(text)
            except ValueError:
                wanted = math.nan
            if not 0 < wanted < math.inf:
                raise _bad(f"{chat.HEADER_DEADLINE} must be a number of seconds")
            seconds = min(seconds, wanted)
        return monotonic() + seconds

    def _key(self, request: Request) -> str:
        key = request.headers.get(chat.HEADER_KEY, "")
        if len(key) > MAX_KEY_LENGTH:
            raise _bad(f"{chat.HEADER_KEY} may have {MAX_KEY_LENGTH} characters")
        return key

    def _name(self, request: Request, header: str) -> str:
        value = request.headers.get(header, "")
        if len(value) > MAX_NAME_LENGTH or not value.isprintable():
            raise _bad(f"{header} may have {MAX_NAME_LENGTH} printable characters")
        return value

    def _chat_arrival(self, request: Request) -> ChatArrival:
        organisation = self._caller(request)
        try:
            call = chat.parse_chat(request.body)
        except chat.BadBodyError as error:
            raise _bad(error.reason) from error
        if call.stream and request.version not in CHUNKED_VERSIONS:
            raise _bad("a stream comes in chunks, which need HTTP/1.1")
        token = request.headers.get(chat.HEADER_TOKEN, "")
        if not token and "cookie" in request.headers:
            token = request.cookies.get(chat.COOKIE_TOKEN, "") or ""
        return ChatArrival(
            self.context.new_request_id(),
            organisation,
            request.body,
            self._deadline(request),
            self._key(request),
            self._name(request, chat.HEADER_CLASS) or "default",
            call=call,
            session=self._name(request, chat.HEADER_SESSION),
            token=token,
            reply=StreamReply(request, self.token_seconds) if call.stream else None,
        )

    def _service_arrival(self, request: Request, name: str) -> ServiceArrival:
        organisation = self._caller(request)
        service = self.configurations.current.services.get(name)
        if service is None:
            raise BadArrivalError(
                Refusal(RefusalCode.UNKNOWN_SERVICE, f"no service is called {name!r}")
            )
        if name not in organisation.services:
            raise BadArrivalError(
                Refusal(
                    RefusalCode.NOT_ALLOWED,
                    f"{organisation.name} may not call service {name}",
                )
            )
        # The raw target keeps the caller's escapes as they are.
        prefix = f"/services/{name}"
        target = request.raw_url.decode("ascii", "replace")
        path = target[target.index(prefix) + len(prefix) :]
        if not path.startswith("/"):
            path = "/" + path
        return ServiceArrival(
            self.context.new_request_id(),
            organisation,
            request.body,
            self._deadline(request),
            self._key(request),
            service=service,
            method=request.method,
            path=path,
            headers=dict(call_headers(request.headers.items())),
        )

    # Answering.

    def _refusal(self, refusal: Refusal, request_id: str = "") -> HTTPResponse:
        headers = _retry_after(refusal.retry_after)
        if request_id:
            headers[chat.HEADER_REQUEST] = request_id
        return HTTPResponse(
            chat.refusal_body(refusal),
            status=refusal.status,
            headers=headers,
            content_type=chat.JSON_TYPE,
        )

    def _response(
        self, outcome: Outcome, request_id: str, sent_token: bool = False
    ) -> HTTPResponse:
        if isinstance(outcome, Refused):
            return self._refusal(outcome.proof.refusal, request_id)
        if isinstance(outcome, Unknown):
            return self._unknown(outcome, request_id)
        assert isinstance(outcome, Whole)
        answer = outcome.answer
        headers = dict(answer.headers)
        if outcome.replayed:
            headers[chat.HEADER_REPLAYED] = "true"
        response = HTTPResponse(
            answer.body,
            status=answer.status,
            headers=headers,
            content_type=answer.content_type or None,
        )
        if not sent_token:
            _set_cookie(response, headers, self.token_seconds)
        return response

    def _unknown(self, outcome: Unknown, request_id: str) -> HTTPResponse:
        headers = _retry_after(outcome.retry_after)
        headers[chat.HEADER_REQUEST] = request_id
        body = chat.error_body(
            outcome.reason, outcome.code, chat.RAN_UNKNOWN, "unavailable_error"
        )
        return HTTPResponse(
            body, status=outcome.status, headers=headers, content_type=chat.JSON_TYPE
        )

    def on_error(self, request: Request, error: SanicException) -> HTTPResponse:
        """Answer what Sanic itself refuses, in the shape of all other errors.

        :param request: the caller's request.
        :param error: what was wrong with it.
        """
        status = error.status_code or 500
        if status >= 500:
            # Nobody foresaw this one, so nobody can say how far it had come.
            body = chat.error_body(
                str(error), INTERNAL_ERROR, chat.RAN_UNKNOWN, "internal_error"
            )
            return HTTPResponse(body, status=status, content_type=chat.JSON_TYPE)
        code = RefusalCode.BAD_REQUEST
        if isinstance(error, PayloadTooLarge):
            code = RefusalCode.BODY_TOO_LARGE
        body = chat.error_body(str(error), code.value, chat.RAN_NOT)
        return HTTPResponse(body, status=status, content_type=chat.JSON_TYPE)


def _bad(reason: str) -> BadArrivalError:
    return BadArrivalError(Refusal(RefusalCode.BAD_REQUEST, reason))


def _retry_after(seconds: float | None) -> dict[str, str]:
    """Write when to come back; the header takes whole seconds."""
    if seconds is None:
        return {}
    return {"retry-after": str(max(1, math.ceil(seconds)))}


def _set_cookie(
    response: BaseHTTPResponse, headers: Mapping[str, str], seconds: float
) -> None:
    """Give the token as a cookie too, for callers that return no header."""
    token = headers.get(chat.HEADER_TOKEN)
    if token is None:
        return
    age = int(seconds)
    response.headers.add(
        "set-cookie",
        f"{chat.COOKIE_TOKEN}={token}; Path=/v1; Max-Age={age}; HttpOnly; "
        "SameSite=Strict",
    )
