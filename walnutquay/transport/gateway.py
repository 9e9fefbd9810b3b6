# Licensed under the Apache License 2.0: see LICENSE for details.

"""An HTTP server that hands on requests as they came, by aiohttp.

Sanic routes by path and decodes it; requests on the operators' routes must reach
endpoints unaltered, and a broken answer must end with its connection.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import logbook
from aiohttp.web_protocol import RequestHandler
from aiohttp.web_request import BaseRequest
from aiohttp.web_response import StreamResponse
from aiohttp.web_server import Server

from walnutquay.transport.callerconnection import CallerConnection, PendingHeads
from walnutquay.transport.listeners import BACKLOG, listen, take_all
from walnutquay.transport.sockets import reset_on_close
from walnutquay.transport.timers import monotonic
from walnutquay.transport.traffic import Traffic
from walnutquay.transport.unread import UnreadConnections

log = logbook.Logger(__name__)

# How often the end of the requests under way is looked for at a stop.
POLL_SECONDS = 0.02
# A refused body is read on for so long, so that its sender gets the answer.
LINGER_SECONDS = 1.0
# A caller that reads nothing for so long is ended where memory is short; endpoints do
# so too.
UNREAD_SECONDS = 3.0
# What is still under way when the server is closed; aiohttp takes 0 for no limit.
SHUTDOWN_SECONDS = 0.05

# The most that the incomplete heads of all connections of a listener may hold; bytes.
HEADS_BYTES = 8 << 20

Handler = Callable[[BaseRequest], Awaitable[StreamResponse]]


@dataclass(frozen=True)
class GatewayLimits:
    """What callers may send.

    :param header: bytes of the request line, and of each header.
    :param idle_seconds: seconds for which an idle connection is kept.
    :param header_seconds: seconds within which a request's head must be complete.
    """

    header: int = 16 << 10
    idle_seconds: float = 15.0
    header_seconds: float = 3.0


class HeadDeadlines:
    """Deadlines by which connections must send a request's head.

    Prevents callers who send nothing, or never complete a head, from holding a
    connection indefinitely.
    """

    def __init__(self) -> None:
        # Deadlines, in monotonic seconds, for the first byte of a new connection and
        # for the end of a head that has been started.
        self.first_byte: dict[CallerConnection, float] = {}
        self.head_end: dict[CallerConnection, float] = {}

    def expect_first_byte(self, connection: CallerConnection, seconds: float) -> None:
        """Set the deadline for the first byte.

        :param connection: a connection that has just been opened.
        :param seconds: how long it may send nothing.
        """
        self.first_byte[connection] = monotonic() + seconds

    def expect_head_end(self, connection: CallerConnection, seconds: float) -> None:
        """Set the deadline for the end of the head, unless one is already set.

        :param connection: a connection that has sent part of a head.
        :param seconds: how long the head may take.
        """
        self.first_byte.pop(connection, None)
        self.head_end.setdefault(connection, monotonic() + seconds)

    def clear(self, connection: CallerConnection) -> None:
        """Remove the deadlines of a connection.

        :param connection: a connection whose head is complete, or that is closed.
        """
        self.first_byte.pop(connection, None)
        self.head_end.pop(connection, None)

    def postpone(self, seconds: float) -> None:
        """Extend all deadlines by a time in which no data could be read.

        :param seconds: how long the VM was suspended.
        """
        for deadlines in (self.first_byte, self.head_end):
            for connection in deadlines:
                deadlines[connection] += seconds

    def overdue(self) -> list[CallerConnection]:
        """:returns: the connections whose deadline has passed."""
        now = monotonic()
        deadlines = (*self.first_byte.items(), *self.head_end.items())
        return [connection for connection, deadline in deadlines if deadline <= now]


class CallerConnections(Server):
    """Creates callers' connections, and tracks their deadlines and unsent bytes.

    :param limits: sizes and idle time of new connections, head timeout of new heads;
        may be replaced at any time.
    """

    def __init__(self, limits: GatewayLimits, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self.limits = limits
        self.head_deadlines = HeadDeadlines()
        # aiohttp's connections let go of theirs when they are closed, with what is
        # not sent yet.
        self.transports: dict[RequestHandler, asyncio.Transport] = {}
        # Those of which much is unsent.
        self.paused: set[RequestHandler] = set()
        self.unread = UnreadConnections()
        self.heads = PendingHeads(HEADS_BYTES)
        # Connections that sent unreadable bytes, since the last take_unreadable.
        self.unreadable = 0
        # Counts what the connections carry.
        self.traffic = Traffic()
        # Whether new connections are closed at once.
        self.closed = False
        # Decides whether a new connection is taken; others are reset unread.
        self.takes: Callable[[asyncio.Transport], bool] = take_all

    def connection_made(
        self, handler: RequestHandler, transport: asyncio.Transport
    ) -> None:
        """:param handler: a connection that is open now.

        :param transport: its transport.
        """
        super().connection_made(handler, transport)
        self.transports[handler] = transport
        self.head_deadlines.expect_first_byte(handler, self.limits.idle_seconds)
        if self.closed:
            handler.force_close()
        elif not self.takes(transport):
            reset_on_close(transport.get_extra_info("socket"))
            transport.abort()

    def connection_lost(
        self, handler: RequestHandler, exc: BaseException | None = None
    ) -> None:
        """:param handler: a connection that has ended.

        :param exc: how it broke.
        """
        super().connection_lost(handler, exc)
        self.transports.pop(handler, None)
        self.paused.discard(handler)
        self.heads.forget(handler)
        self.head_deadlines.clear(handler)

    def head_data_received(self, handler: RequestHandler) -> None:
        """Start the timeout for a head, unless it is already running.

        :param handler: a connection that has received part of a head.
        """
        self.head_deadlines.expect_head_end(handler, self.limits.header_seconds)

    def unsent_bytes(self) -> int:
        """:returns: bytes that callers have not read, but for small remainders."""
        return sum(self.transports[p].get_write_buffer_size() for p in self.paused)

    def take_unreadable(self) -> int:
        """:returns: connections with unreadable bytes since it was asked last."""
        count, self.unreadable = self.unreadable, 0
        return count

    def owe_bytes(self) -> bool:
        """:returns: whether an answer has not been handed to the system yet."""
        return any(t.get_write_buffer_size() for t in self.transports.values())

    def __call__(self) -> CallerConnection:
        """:returns: one for a caller who has just connected."""
        return CallerConnection(
            self,
            loop=self._loop,
            keepalive_timeout=self.limits.idle_seconds,
            max_line_size=self.limits.header,
            max_field_size=self.limits.header,
            **self._kwargs,
        )


class GatewayServer:
    """One listening port with one handler for all requests.

    A handler is cancelled when its caller leaves.

    :param handler: answers each request.
    :param limits: what callers may send.
    """

    def __init__(self, handler: Handler, limits: GatewayLimits) -> None:
        self.handler = handler
        # Whether each connection ends with its next answer.
        self.draining = False
        # Requests that have been read and not answered.
        self.in_flight = 0
        # The connections that they came by.
        self.busy: set[RequestHandler] = set()
        self.server: asyncio.Server | None = None
        self.host = ""
        self.port = 0
        self.web = CallerConnections(
            limits,
            self._handle,
            handler_cancellation=True,
            access_log=None,
            auto_decompress=False,
            lingering_time=LINGER_SECONDS,
        )

    async def start(self, listener: socket.socket) -> None:
        """Serve.

        :param listener: a socket that listens; see
            :mod:`walnutquay.transport.listeners`.
        """
        self.host, self.port = listener.getsockname()
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(self.web, sock=listener, backlog=BACKLOG)

    def refuse(self) -> None:
        """Refuse new connections; those that are open go on."""
        if self.server is not None:
            self.server.close()
            self.server = None

    def is_refusing(self) -> bool:
        """:returns: whether new connections are refused, though it is not closed."""
        return self.server is None and not self.web.closed

    async def listen_again(self) -> None:
        """Accept new connections again, if the system allows it."""
        if not self.is_refusing():
            return
        try:
            listener = listen(self.host, self.port)
        except OSError as error:
            log.warning("cannot listen again yet: {}", error)
            return
        await self.start(listener)
        if self.web.closed:
            # The VM has begun to stop meanwhile.
            self.refuse()

    def close_listener(self) -> None:
        """Take no new connections; those that are open go on.

        One that has been accepted, and is not open yet, is closed unread.
        """
        self.web.closed = True
        self.refuse()

    def close_idle(self) -> None:
        """Close the connections on which no request is under way.

        A request that crosses the close was not read, and its caller can tell.
        """
        for connection in self.web.connections:
            if connection not in self.busy:
                connection.close()
                connection.force_close()

    def close_overdue(self) -> None:
        """Close the connections whose request head is overdue."""
        for connection in self.web.head_deadlines.overdue():
            self.web.head_deadlines.clear(connection)
            if not connection.has_unanswered_request():
                connection.close()
                connection.force_close()

    def close_unread(self, limit: int) -> int:
        """Reset connections whose callers read nothing of their answers.

        :param limit: bytes of unsent answers beyond which memory is short.
        :returns: how many were reset.
        """
        now = monotonic()
        web = self.web
        web.unread.look(web.transports.values(), now)
        ended = web.unread.since(now - web.limits.idle_seconds)
        unsent = web.unsent_bytes()
        for transport in web.unread.since(now - UNREAD_SECONDS)[len(ended) :]:
            if unsent <= limit:
                break
            unsent -= transport.get_write_buffer_size()
            ended.append(transport)
        for transport in ended:
            reset_on_close(transport.get_extra_info("socket"))
            transport.abort()
        return len(ended)

    async def stop(self) -> None:
        """Close everything."""
        self.close_listener()
        await self.web.shutdown(SHUTDOWN_SECONDS)

    async def idle(self, seconds: float) -> bool:
        """Wait until no request is under way, and all answers are sent.

        :param seconds: how long to wait at the most.
        :returns: whether that is so.
        """
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        while self._owes() and loop.time() < end:  # noqa: ASYNC110
            await asyncio.sleep(POLL_SECONDS)
        return not self._owes()

    def _owes(self) -> bool:
        return bool(self.in_flight) or self.web.owe_bytes()

    async def _handle(self, request: BaseRequest) -> StreamResponse:
        if request.transport is None or request.transport.is_closing():
            # Its connection was closed as an idle one after it had been read: its
            # caller takes it for one that was not, so no endpoint may get it.
            raise asyncio.CancelledError
        self.in_flight += 1
        self.busy.add(request.protocol)
        self.web.head_deadlines.clear(request.protocol)
        try:
            return await self.handler(request)
        finally:
            self.in_flight -= 1
            self.busy.discard(request.protocol)
