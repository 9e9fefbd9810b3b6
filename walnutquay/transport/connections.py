# Licensed under the Apache License 2.0: see LICENSE for details.

"""Connections that are kept for several requests, by aiohttp.

What arrives on a connection while no request is under way there belongs to no
request: endpoints may answer twice, or send bytes behind an answer.
"""

from __future__ import annotations

import asyncio
import functools
import os
import socket
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.client_reqrep import ClientRequest
from aiohttp.connector import Connection

from walnutquay.transport.sockets import limited_socket, reset_on_close


class StrayKind(Enum):
    """How it is known that bytes are no answer to the request under way."""

    # No request was under way.
    IDLE = "idle"


@dataclass(frozen=True, slots=True)
class Stray:
    """Bytes on a connection that belong to no request.

    :param kind: how that is known.
    :param address: ``IP:port`` of who sent them.
    :param size: how many bytes came at once.
    """

    kind: StrayKind
    address: str
    size: int = 0


OnStray = Callable[[Stray], None]


def ignore_stray(stray: Stray) -> None:
    """:param stray: bytes that nobody is told of."""


class KeptProtocol(ResponseHandler):
    """An aiohttp connection that notices strays, and a reset which looks like an end.

    libuv reports the end of a stream where data and a reset come together.  An
    answer without a length would then seem whole.

    :param loop: the loop.
    :param on_stray: told of bytes that belong to no request.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, on_stray: OnStray) -> None:
        super().__init__(loop)
        self.on_stray = on_stray
        # Whether a request is under way, whose answer has not ended.
        self.under_way = False
        # Whether the peer has reset the connection.
        self.was_reset = False

    def begin(self) -> None:
        """Note that a request is sent now."""
        self.under_way = True

    def _end(self) -> None:
        self.under_way = False

    async def read(self) -> Any:
        """:returns: the next answer's head and body, for the library."""
        message, payload = await super().read()
        if message.code >= 200:
            payload.on_eof(self._end)
        return message, payload

    def data_received(self, data: bytes) -> None:
        """:param data: what has arrived."""
        if data and not self.under_way:
            self.on_stray(Stray(StrayKind.IDLE, self.address(), len(data)))
        super().data_received(data)

    def address(self) -> str:
        """:returns: ``IP:port`` of the other side; empty once it is closed."""
        transport = self.transport
        name = transport.get_extra_info("peername") if transport is not None else None
        return f"{name[0]}:{name[1]}" if name else ""

    def close(self) -> None:
        """Close the connection; reset it if its request is given up.

        What a plain close leaves in a full or cut link still arrives when the link
        works again: it would run for nobody, and at an endpoint that has said
        seconds before that it leaves.
        """
        transport = self.transport
        if transport is None or self._answer_is_whole():
            super().close()
            return
        reset_on_close(transport.get_extra_info("socket"))
        self.abort()

    def _answer_is_whole(self) -> bool:
        # aiohttp offers no public way to the answer that is being read.
        return self._payload is not None and self._payload.is_eof()

    def eof_received(self) -> None:
        """Ask the socket itself how the connection ended."""
        super().eof_received()
        transport = self.transport
        if transport is not None:
            self.was_reset = _is_reset(transport.get_extra_info("socket"))

    def connection_lost(self, exc: BaseException | None) -> None:
        """:param exc: how the connection broke; None where it was closed."""
        if isinstance(exc, OSError):
            self.was_reset = True
        super().connection_lost(exc)


def _is_reset(bound: socket.socket | None) -> bool:
    """Tell whether a socket whose stream has ended was reset."""
    if bound is None:
        return False
    # The loop's own object offers no reading.
    with socket.socket(fileno=os.dup(bound.fileno())) as copy:
        try:
            copy.setblocking(False)
            if copy.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                return True
            copy.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return False


class KeptConnector(aiohttp.TCPConnector):
    """Makes connections that notice strays, resets and silence.

    :param on_stray: told of bytes that belong to no request.
    :param options: the library's own.
    """

    def __init__(self, on_stray: OnStray = ignore_stray, **options: Any) -> None:
        super().__init__(socket_factory=limited_socket, **options)
        # aiohttp offers no public way to a protocol of one's own.
        self._factory = functools.partial(
            KeptProtocol, loop=self._loop, on_stray=on_stray
        )

    async def connect(
        self,
        req: ClientRequest,
        traces: list[aiohttp.tracing.Trace],
        timeout: aiohttp.ClientTimeout,
    ) -> Connection:
        """Give a request a connection.

        :param req: the request.
        :param traces: the library's.
        :param timeout: the request's time limits.
        """
        connection = await super().connect(req, traces, timeout)
        assert isinstance(connection.protocol, KeptProtocol)
        connection.protocol.begin()
        return connection
