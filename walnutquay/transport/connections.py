# Licensed under the Apache License 2.0: see LICENSE for details.

"""Connections that are kept for several requests, by aiohttp.

Endpoints may answer a request twice, the second time late, or send bytes behind an
answer.  What arrives while no request is under way ends the connection.  What arrives
in the place of the next answer is told from it by the request's id, so a connection is
kept only where answers repeat the id, and carries each id once.
"""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.http_exceptions import (
    BadHttpMessage,
    BadStatusLine,
    HttpProcessingError,
)
from aiohttp.http_parser import RawResponseMessage

from walnutquay.exceptions import MessageError
from walnutquay.transport.framing import FramingMeter
from walnutquay.transport.heads import HEAD_END, last_bytes, split_after_heads
from walnutquay.transport.sockets import reset_on_close, was_reset
from walnutquay.transport.strays import (
    OnStray,
    Stray,
    StrayAnswerError,
    StrayKind,
)
from walnutquay.transport.traffic import CountedTransport, Traffic
from walnutquay.transport.tunnelframes import FrameReader

ENDLESS = "bytes without end that are no answer"
LAST_STATUS = 599
# Requests that one connection carries; it remembers their ids.
MAX_CARRIED = 256

Message = tuple[RawResponseMessage, aiohttp.StreamReader]


class GarbledBodyError(aiohttp.ClientPayloadError):
    """A body that holds bytes which cannot belong to it."""


def is_interim(message: RawResponseMessage) -> bool:
    """:returns: whether another head follows."""
    code = message.code
    return (
        HTTPStatus.CONTINUE <= code < HTTPStatus.OK
        and code != HTTPStatus.SWITCHING_PROTOCOLS
    )


def check_status(message: RawResponseMessage) -> None:
    """Check that a status is one of a final answer.

    No request asks to switch protocols.

    :param message: the head of an answer.
    :raises BadStatusLine: if it is not.
    """
    if not HTTPStatus.OK <= message.code <= LAST_STATUS:
        raise BadStatusLine(f"{message.code:03} is no status of an answer")


class KeptProtocol(ResponseHandler):
    """An aiohttp connection that closes when bytes come unasked, and notices resets.

    A request begins with :meth:`begin`; the connection is idle again once the last
    byte of its answer has come.

    libuv reports the end of a stream where data and a reset come together.  An
    answer without a length would then seem whole.

    :param loop: the loop.
    :param on_stray: told of bytes that belong to no request.
    :param traffic: counts what the connection carries.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, on_stray: OnStray, traffic: Traffic
    ) -> None:
        super().__init__(loop)
        self.on_stray = on_stray
        self.traffic = traffic
        # Whether a request was sent, and one is under way, whose answer has not ended.
        self.used = False
        self.under_way = False
        # Whether the head of an answer is due, and how many bytes have come behind it.
        self.head_due = False
        self.behind_head = 0
        self.framing = FramingMeter()
        # Whether the connection was ended as what came was no answer, and did not end.
        self.endless = False
        # Notes what is written to the connection.
        self.noted: CountedTransport | None = None
        # The last bytes that have come.
        self.before = b""
        # How the library has answers read.
        self.params: dict[str, Any] = {}
        # Whether the peer has reset the connection.
        self.was_reset = False
        # Whether another VM forwards the connection, and what takes its frames off.
        self.forwarded = False
        self.frames: FrameReader | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """:param transport: the connection's."""
        super().connection_made(transport)
        assert self.transport is not None
        self.transport = self.noted = CountedTransport(self.transport, self.traffic)

    def forward(self, framed: bool) -> None:
        """Note that another VM forwards the connection.

        :param framed: whether what comes from the endpoint is in frames.
        """
        self.forwarded = True
        self.frames = FrameReader() if framed else None

    @property
    def forwarder_was_lost(self) -> bool:
        """Whether it is not known that the endpoint itself has ended the connection."""
        return self.forwarded and (self.frames is None or not self.frames.ended)

    @property
    def was_written(self) -> bool:
        """Whether anything of the request under way has been written."""
        return self.noted is not None and self.noted.was_written

    def may_carry(self, request: str) -> bool:
        """:param request: the id of a request; empty if it has none.

        :returns: whether its answer could be told from what else may come here.
        """
        return not self.should_close

    def begin(self, request: str) -> None:
        """:param request: the id of the request that is sent now."""
        self.used = True
        self.under_way = True
        self.head_due = True
        self.framing.restart()
        self.before = b""
        if self.noted is not None:
            self.noted.was_written = False

    def _end(self) -> None:
        """Note that the answer has come to its end."""
        self.under_way = False

    async def read(self) -> Message:
        """:returns: the next answer's head and body, for the library."""
        while True:
            try:
                message, payload = await super().read()
            except aiohttp.EofStream as error:
                # Interim answers were left to read as the connection ended.
                if self.endless:
                    raise GarbledBodyError(ENDLESS) from error
                raise aiohttp.ServerDisconnectedError from error
            if self.endless:
                raise GarbledBodyError(ENDLESS)
            if is_interim(message):
                return message, payload
            check_status(message)
            if await self._is_awaited(message, payload):
                payload.on_eof(self._end)
                return message, payload

    async def _is_awaited(
        self, message: RawResponseMessage, payload: aiohttp.StreamReader
    ) -> bool:
        """:returns: whether an answer is to the request under way."""
        return True

    def data_received(self, data: bytes) -> None:
        """:param data: what has arrived."""
        if not data:
            # The library goes on with what it has read already.
            super().data_received(data)
            return
        self.traffic.received(len(data))
        if self.frames is None:
            self._received(data)
            return
        try:
            pieces = self.frames.feed(data)
        except MessageError as error:
            self.set_exception(error)
            self.abort()
            return
        for piece in pieces:
            self._received(piece)

    def _received(self, data: bytes) -> None:
        """:param data: what has come from the endpoint."""
        for part in split_after_heads(self.before, data):
            # Some endpoints refuse a connection before they have read a request.
            if self.used and not self.under_way:
                self.on_stray(Stray(StrayKind.IDLE, self.address(), len(part)))
                self.close()
                return
            within_head = self.head_due
            self._renew_parser()
            self.framing.add(len(part))
            super().data_received(part)
            self.behind_head = 0 if within_head else self.behind_head + len(part)
        self.before = last_bytes(self.before, data)
        if self.framing.is_endless(self._body_bytes()):
            self._end_endless()
        elif self._is_overlong():
            self.on_stray(Stray(StrayKind.IDLE, self.address(), len(data)))
            self.force_close()

    def set_response_params(self, **params: Any) -> None:
        """:param params: how answers are read, for the library."""
        self.params = params
        super().set_response_params(**params)

    def _renew_parser(self) -> None:
        """Read what follows a whole answer by a new parser.

        The library's keeps a trailer for the head of the next answer.
        """
        answer = self._payload
        if not self.head_due and answer is not None and answer.is_eof():
            super().set_response_params(**self.params)
            self.head_due = True
            self.force_close()

    def set_exception(
        self, exc: BaseException, exc_cause: BaseException | None = None
    ) -> None:
        """End a body that cannot be read any further; the library ends heads only.

        :param exc: what is wrong with the connection, or what came on it.
        :param exc_cause: what brought it about.
        """
        super().set_exception(exc, exc_cause or exc)
        body = self._payload
        garbled = isinstance(exc, HttpProcessingError) and not self.head_due
        if garbled and body is not None and not body.is_eof():
            body.set_exception(GarbledBodyError(str(exc)), exc)

    def _body_bytes(self) -> int:
        """Return how much of the body of the answer under way has come."""
        if self.head_due or self._payload is None:
            return 0
        return self._payload.total_bytes

    def _end_endless(self) -> None:
        """End a connection on which no answer comes, only bytes without end."""
        self.endless = True
        self.set_exception(BadHttpMessage(ENDLESS))
        self.abort()

    def _is_overlong(self) -> bool:
        """:returns: whether more bytes have come than the answer that has ended.

        The parser keeps the beginning of another head to itself.
        """
        if self.head_due or self._payload is None or not self._payload.is_eof():
            return False
        size = self._payload.total_bytes
        if self.behind_head <= size:
            return False
        # Chunks are longer than what they hold, and end as a head does.
        return not (size and self.before == HEAD_END)

    def feed_data(self, data: Message, size: int = 0) -> None:
        """:param data: the head and body of an answer.

        :param size: the library's.
        """
        self.head_due = is_interim(data[0])
        if self.head_due:
            self.framing.add_interim()
        else:
            self.framing.restart()
        super().feed_data(data, size)

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
        if transport is None or not self.under_way:
            super().close()
            return
        reset_on_close(transport.get_extra_info("socket"))
        self.abort()

    def eof_received(self) -> None:
        """Ask the socket itself how the connection ended."""
        super().eof_received()
        transport = self.transport
        if transport is not None:
            self.was_reset = was_reset(transport.get_extra_info("socket"))

    def connection_lost(self, exc: BaseException | None) -> None:
        """:param exc: how the connection broke; None where it was closed."""
        if isinstance(exc, OSError):
            self.was_reset = True
        super().connection_lost(exc)


class MatchingProtocol(KeptProtocol):
    """A connection whose answers repeat the ids of their requests.

    :param loop: the loop.
    :param on_stray: told of answers that belong to no request under way.
    :param traffic: counts what the connection carries.
    :param id_header: the header that holds the id.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        on_stray: OnStray,
        traffic: Traffic,
        id_header: str,
    ) -> None:
        super().__init__(loop, on_stray, traffic)
        self.id_header = id_header
        self.request = ""
        # The ids that were sent here: each might be answered once more.
        self.carried: set[str] = set()

    def may_carry(self, request: str) -> bool:
        """:param request: the id of a request; empty if it has none.

        :returns: whether its answer could be told from what else may come here.
        """
        if not self.carried:
            return True
        fits = bool(request) and request not in self.carried
        return fits and len(self.carried) < MAX_CARRIED and super().may_carry(request)

    def begin(self, request: str) -> None:
        """:param request: the id of the request that is sent now."""
        super().begin(request)
        self.request = request
        self.carried.add(request)

    async def _is_awaited(
        self, message: RawResponseMessage, payload: aiohttp.StreamReader
    ) -> bool:
        """Read a second answer to an earlier request to its end.

        :returns: whether an answer is to the request under way.
        :raises StrayAnswerError: if it cannot be told whose answer it is.
        """
        # An answer with two ids names neither of its requests.
        named = ",".join(message.headers.getall(self.id_header, ()))
        kind = self._stray_kind(named)
        if kind is None:
            if not named:
                # A second answer without an id could not be told from the next.
                self.force_close()
            return True
        address = self.address()
        self.on_stray(Stray(kind, address, request=self.request, named=named))
        self.force_close()
        if kind is not StrayKind.EARLIER:
            raise StrayAnswerError(f"not the request's own answer ({kind.value})")
        await self._skip(payload)
        return False

    async def _skip(self, payload: aiohttp.StreamReader) -> None:
        async with asyncio.timeout(self.read_timeout):
            while not payload.at_eof():
                await payload.readany()
        self.head_due = True
        # The end of a body stops the time limit between two reads.
        self.start_timeout()

    def _stray_kind(self, named: str) -> StrayKind | None:
        """:returns: why an answer is a stray; None where it is the awaited one."""
        first = len(self.carried) == 1
        if named == self.request or (first and not (named and self.request)):
            return None
        if not named:
            return StrayKind.UNNAMED
        return StrayKind.EARLIER if named in self.carried else StrayKind.FOREIGN
