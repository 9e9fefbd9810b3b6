# Licensed under the Apache License 2.0: see LICENSE for details.

"""A Sanic server inside the daemon's own loop.

Run the usual way, Sanic starts worker processes and shared memory, which the
users forbid; ``create_server`` does neither.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import logbook
from sanic import HTTPResponse, Request, Sanic
from sanic.exceptions import SanicException, ServerError
from sanic.http import Http, Stage
from sanic.server.protocols.http_protocol import HttpProtocol
from sanic.signals import Event

from walnutquay.transport.listeners import take_all
from walnutquay.transport.sockets import reset_on_close
from walnutquay.transport.traffic import CountedTransport, Traffic

log = logbook.Logger(__name__)

BACKLOG = 1024
KEEP_ALIVE_SECONDS = 75
# A connection whose answer has run for this long is taken for dead.
RESPONSE_SECONDS = 3600
# Chunks of a body that are joined before the event loop serves other connections.
MAX_JOINED_CHUNKS = 64
# How often the end of open connections is looked for at a stop.
POLL_SECONDS = 0.01


@dataclass(frozen=True)
class ServerLimits:
    """What callers may send.

    :param body: bytes of a body.
    :param header: bytes of all headers.
    :param request_seconds: seconds in which a whole request must have come.
    """

    body: int = 4 << 20
    header: int = 16 << 10
    request_seconds: float = 30.0


class _YieldingHttp(Http):
    """Joins small chunks of a body and yields to the event loop between them.

    Sanic parses all buffered chunks without yielding and keeps each as an object of its
    own: small chunks would block the loop and take many times their size in memory.
    """

    __slots__ = ()

    async def read(self) -> bytes | None:
        """:returns: the next part of the body; None at its end."""
        part = bytearray()
        for _ in range(MAX_JOINED_CHUNKS):
            data = await super().read()
            part += data or b""
            if not (self.request_body and self.recv_buffer):
                break
        await asyncio.sleep(0)
        return bytes(part) or None


class _GatedProtocol(HttpProtocol):
    """A connection, which the server may refuse before it is read, and counts."""

    HTTP_CLASS = _YieldingHttp

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Close a connection that is not taken.

        :param transport: its transport.
        """
        super().connection_made(transport)
        server = self.app.ctx.server
        self.transport = CountedTransport(transport, server.traffic)
        if not server.takes(transport):
            reset_on_close(transport.get_extra_info("socket"))
            transport.abort()

    def data_received(self, data: bytes) -> None:
        """:param data: what has come."""
        self.app.ctx.server.traffic.received(len(data))
        super().data_received(data)


ErrorWriter = Callable[[Request, SanicException], HTTPResponse]


class HttpServer:
    """One listening port with its routes.

    :param name: the Sanic app's name; one process may have several.
    :param limits: what callers may send.
    :param on_error: writes the answer for what Sanic itself refuses.
    """

    def __init__(self, name: str, limits: ServerLimits, on_error: ErrorWriter) -> None:
        self.app = Sanic(name, configure_logging=False)
        config = self.app.config
        # Two apps in one process fail at start with the touch-up on.
        config.TOUCHUP = False
        config.REQUEST_MAX_SIZE = limits.body
        config.REQUEST_MAX_HEADER_SIZE = limits.header
        config.REQUEST_TIMEOUT = limits.request_seconds
        config.RESPONSE_TIMEOUT = RESPONSE_SECONDS
        config.GRACEFUL_TCP_CLOSE_TIMEOUT = RESPONSE_SECONDS
        config.KEEP_ALIVE_TIMEOUT = KEEP_ALIVE_SECONDS
        config.ACCESS_LOG = False
        config.MOTD = False
        self.on_error = on_error
        # Whether each connection ends with its next answer.
        self.draining = False
        self.app.middleware("response")(self._end_connection)
        self.app.exception(Exception)(self._error)
        self.app.signal(Event.HTTP_LIFECYCLE_EXCEPTION)(self._cut_answer)
        # Decides whether a new connection is taken; others are reset unread.
        self.takes: Callable[[asyncio.Transport], bool] = take_all
        # Counts what callers' connections carry.
        self.traffic = Traffic()
        # Told of the listening socket.
        self.on_listening: Callable[[socket.socket], None] = _ignore
        self.app.ctx.server = self
        self.server = None
        self.port = 0

    async def _end_connection(self, request: Request, response: object) -> None:
        """Tell callers who keep a connection to come by another, before a stop.

        A connection that is closed between two requests may be closed just as the
        second one is sent; its caller could not tell whether that was run.
        """
        if self.draining and request.stream is not None:
            request.stream.keep_alive = False

    async def _cut_answer(self, request: Request, exception: BaseException) -> None:
        """Close the connection of an answer that an error ends.

        Sanic ends its body like a whole one, and keeps the connection.
        """
        stream = request.stream
        if stream is not None and stream.stage is Stage.RESPONSE:
            request.transport.close()

    async def _error(self, request: Request, error: Exception) -> HTTPResponse:
        if not isinstance(error, SanicException):
            log.error("{} {} failed", request.method, request.path, exc_info=error)
            error = ServerError("the entry VM failed; its log says why")
        return self.on_error(request, error)

    def route(
        self,
        path: str,
        methods: list[str],
        handler: Callable[..., Awaitable[HTTPResponse | None]],
        name: str,
        stream: bool = False,
    ) -> None:
        """Add a route.

        :param path: the path, in Sanic's form.
        :param methods: HTTP methods.
        :param handler: takes the request.
        :param name: the route's name.
        :param stream: whether the handler reads the body itself.
        """
        self.app.add_route(handler, path, methods=methods, name=name, stream=stream)

    async def start(self, host: str, port: int) -> None:
        """Listen.

        :param host: the IP number to listen at.
        :param port: the port; 0 takes a free one.
        """
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, port))
        self.port = listener.getsockname()[1]
        self.on_listening(listener)
        self.server = await self.app.create_server(
            sock=listener,
            backlog=BACKLOG,
            protocol=_GatedProtocol,
            return_asyncio_server=True,
            access_log=False,
        )
        await self.server.startup()
        await self.server.start_serving()

    def close_listener(self) -> None:
        """Take no new connections; those that are open go on."""
        if self.server is not None:
            self.server.close()

    def owes_bytes(self) -> bool:
        """:returns: whether an answer has not been handed to the system yet."""
        if self.server is None:
            return False
        return any(
            connection.transport is not None
            and connection.transport.get_write_buffer_size()
            for connection in self.server.connections
        )

    async def all_sent(self, seconds: float) -> bool:
        """Wait until all answers have been handed to the system.

        :param seconds: how long to wait at the most.
        :returns: whether they have.
        """
        end = asyncio.get_running_loop().time() + seconds
        # Sanic offers no event for it.
        while self.owes_bytes() and asyncio.get_running_loop().time() < end:  # noqa: ASYNC110
            await asyncio.sleep(POLL_SECONDS)
        return not self.owes_bytes()

    async def stop(self, grace: float = 1.0) -> None:
        """Close everything; connections that are idle first.

        :param grace: seconds to give answers that are still being written.
        """
        if self.server is None:
            return
        self.close_listener()
        end = asyncio.get_running_loop().time() + grace
        for connection in list(self.server.connections):
            connection.close_if_idle()
        # Sanic offers no event for the end of a connection.
        while self.server.connections and asyncio.get_running_loop().time() < end:  # noqa: ASYNC110
            await asyncio.sleep(POLL_SECONDS)
        for connection in list(self.server.connections):
            connection.abort()
        self.server = None
        Sanic.unregister_app(self.app)


def _ignore(listener: socket.socket) -> None:
    """Do nothing."""
