# Licensed under the Apache License 2.0: see LICENSE for details.

"""Gives requests connections on which their answers can be told from others."""

from __future__ import annotations

import functools
import socket
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from contextvars import ContextVar
from dataclasses import dataclass
from typing import Any, Protocol

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.client_reqrep import ClientRequest
from aiohttp.connector import Connection

from walnutquay.transport.connections import KeptProtocol, MatchingProtocol
from walnutquay.transport.sockets import limited_socket
from walnutquay.transport.strays import OnStray, ignore_stray
from walnutquay.transport.timers import monotonic
from walnutquay.transport.traffic import Traffic

# A VM whose timers are later than this, or whose bytes wait longer for its link, cannot
# tell that an endpoint has not answered in time.
LATE_SECONDS = 0.05
LATE_TRIES = 2


def _may() -> bool:
    """Return that nothing keeps a request from being sent."""
    return True


# Asked when a request has its connection, right before it is sent: whether it may still
# be sent.
may_send: ContextVar[Callable[[], bool]] = ContextVar("may_send", default=_may)


class GivenConnection:
    """The connection that a request has been given.

    Timers of the library keep the context that they were set in for up to a minute, so
    this refers neither to the request nor to its body.
    """

    def __init__(self) -> None:
        # None until the request has one.
        self.protocol: KeptProtocol | None = None


# Notes the connection that a request is given, right before it is sent.
given_connection: ContextVar[GivenConnection | None] = ContextVar(
    "given_connection", default=None
)


@dataclass(frozen=True, slots=True)
class Forwarded:
    """A connection to an endpoint that another VM forwards.

    :param bound: its socket.
    :param framed: whether what comes from the endpoint is in frames.
    """

    bound: socket.socket
    framed: bool


class Dialer(Protocol):
    """Makes connections to one endpoint where this VM cannot."""

    def is_direct(self) -> bool:
        """Return whether the connection is to be made by this VM itself."""

    async def forward(self, silent: bool) -> Forwarded | None:
        """Make a connection through another VM.

        :param silent: whether the endpoint has not responded to this VM at all.
        :returns: the connection; None if no other VM makes one.
        """


# Makes the connections of the request that is sent now; None if nothing does.
dialer: ContextVar[Dialer | None] = ContextVar("dialer", default=None)
# What holds where no request says otherwise.
DEFAULTS: tuple[tuple[ContextVar[Any], Any], ...] = (
    (may_send, _may),
    (given_connection, None),
    (dialer, None),
)


@contextmanager
def no_request() -> Iterator[None]:
    """Make a connection that knows nothing of the request it is made for.

    A connection keeps the context that it was made in, and would keep the request, its
    body too, for as long as it lasts; by way of the request it would also keep itself.
    """
    tokens = [(one, one.set(default)) for one, default in DEFAULTS]
    try:
        yield
    finally:
        for one, token in tokens:
            one.reset(token)


class WithheldError(Exception):
    """A request was not sent, as it may not be sent any more."""


class KeptConnector(aiohttp.TCPConnector):
    """Makes connections that close when bytes come unasked, and notice silence.

    :param on_stray: told of bytes that belong to no request.
    :param id_header: the header by which answers are matched to requests; None
        where answers repeat none.
    :param traffic: counts what the connections carry.
    :param options: the library's own.
    """

    def __init__(
        self,
        on_stray: OnStray = ignore_stray,
        id_header: str | None = None,
        traffic: Traffic | None = None,
        **options: Any,
    ) -> None:
        super().__init__(socket_factory=limited_socket, **options)
        self.id_header = id_header
        self.traffic = counted = traffic or Traffic()
        factory = functools.partial(KeptProtocol, self._loop, on_stray, counted)
        if id_header is not None:
            factory = functools.partial(
                MatchingProtocol, self._loop, on_stray, counted, id_header
            )
        # aiohttp offers no public way to a protocol of one's own.
        self._factory = factory

    async def connect(
        self,
        req: ClientRequest,
        traces: list[aiohttp.tracing.Trace],
        timeout: aiohttp.ClientTimeout,
    ) -> Connection:
        """Give a request a connection on which its answer can be told from others.

        :param req: the request.
        :param traces: the library's.
        :param timeout: the request's time limits.
        :raises WithheldError: if the request may not be sent any more.
        """
        request = req.headers.get(self.id_header, "") if self.id_header else ""
        while True:
            connection = await super().connect(req, traces, timeout)
            protocol = connection.protocol
            assert isinstance(protocol, KeptProtocol)
            if not may_send.get()():
                connection.release()
                raise WithheldError
            if self._may_use(protocol) and protocol.may_carry(request):
                protocol.begin(request)
                given = given_connection.get()
                if given is not None:
                    given.protocol = protocol
                if req.method == "HEAD" or protocol.forwarded:
                    # To HEAD, a second answer would be read as one with a body.  A
                    # VM that forwards the connection waits for its end as it stops.
                    protocol.force_close()
                return connection
            connection.close()

    def _may_use(self, protocol: KeptProtocol) -> bool:
        """Tell whether a connection reaches the endpoint, as far as is known.

        One that was kept from before the link was lost may be silent for good.
        """
        through = dialer.get()
        return not protocol.used or through is None or through.is_direct()

    async def _create_connection(
        self,
        req: ClientRequest,
        traces: list[aiohttp.tracing.Trace],
        timeout: aiohttp.ClientTimeout,
    ) -> ResponseHandler:
        """Make a connection, through another VM where this one cannot."""
        through = dialer.get()
        if through is not None and not through.is_direct():
            forwarded = await self._forward(through, silent=True)
            if forwarded is not None:
                return forwarded
        try:
            return await self._connect(req, traces, timeout)
        except (aiohttp.ClientConnectorError, TimeoutError) as error:
            silent = isinstance(error, TimeoutError)
            forwarded = await self._forward(through, silent)
            if forwarded is None:
                raise
            return forwarded

    async def _connect(
        self,
        req: ClientRequest,
        traces: list[aiohttp.tracing.Trace],
        timeout: aiohttp.ClientTimeout,
    ) -> ResponseHandler:
        """Make a connection directly, and try again if this VM itself was late.

        The endpoint may have accepted it before this VM came to look.
        """
        with no_request():
            for _ in range(LATE_TRIES):
                began = monotonic()
                try:
                    return await super()._create_connection(req, traces, timeout)
                except TimeoutError:
                    limit = timeout.sock_connect or 0.0
                    late = monotonic() - began - limit > LATE_SECONDS
                    if not late and self.traffic.wait() <= LATE_SECONDS:
                        raise
            return await super()._create_connection(req, traces, timeout)

    async def _forward(
        self, through: Dialer | None, silent: bool
    ) -> ResponseHandler | None:
        made = await through.forward(silent) if through is not None else None
        if made is None:
            return None
        protocol = self._factory()
        protocol.forward(made.framed)
        with no_request():
            await self._loop.create_connection(lambda: protocol, sock=made.bound)
        return protocol
