# Licensed under the Apache License 2.0: see LICENSE for details.

"""A caller's connection, by aiohttp, with limits on what it may send."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from http import HTTPStatus
from typing import Any

from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.streams import EMPTY_PAYLOAD, StreamReader
from aiohttp.web_protocol import RequestHandler, RequestPayloadError, _ErrInfo
from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response, StreamResponse

from walnutquay.transport.framing import FramingMeter
from walnutquay.transport.heads import last_bytes, split_after_heads
from walnutquay.transport.traffic import CountedTransport

# The request line and all headers together have at most so many times the bytes that
# one of them may have.
HEAD_FACTOR = 2
# The size of the pieces in which bodies are parsed; bytes.
BODY_PIECE = 64 << 10
# Characters of a refusal's reason.
REASON_LENGTH = 200
ENDLESS = "bytes without end that are no request"


class CallerConnection(RequestHandler):
    """A connection whose requests are answered up to the first that cannot be read.

    aiohttp drops the requests that come in one piece with bytes that it cannot read:
    the first of them would get the refusal of those bytes for its answer.  It also goes
    on parsing after an error, and queues one more error for each piece.
    """

    __slots__ = ("body", "framing", "in_body", "read_before", "refused")

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        # The last bytes that have come, which a head's end may begin with.
        self.read_before = b""
        # Bytes since the last head or body ended, and the body that is being received.
        self.framing = FramingMeter()
        self.body: StreamReader = EMPTY_PAYLOAD
        self.in_body = False
        # Whether nothing more is read.
        self.refused = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """:param transport: the connection's."""
        super().connection_made(transport)
        if self.transport is not None:
            self.transport = CountedTransport(self.transport, self._manager.traffic)

    def connection_lost(self, exc: BaseException | None) -> None:
        """:param exc: how the connection broke; None where it was closed."""
        super().connection_lost(exc)
        self._forget_body()

    def data_received(self, data: bytes) -> None:
        """Parse what has come, one head at a time.

        :param data: what has come; empty to go on with what was read before.
        """
        # A handler may read what is left of a body after the connection has ended.
        if self.refused or self._manager is None:
            return
        if not data:
            self._parse(data)
            return
        self._manager.traffic.received(len(data))
        if not self.has_unanswered_request():
            self._manager.head_data_received(self)
        for part in split_after_heads(self.read_before, data):
            for piece in self._pieces(part):
                self._parse(piece)
                if self.refused:
                    return
        self.read_before = last_bytes(self.read_before, data)

    def _pieces(self, part: bytes) -> Iterator[bytes]:
        """Split data into pieces, as the parser's errors quote a whole piece."""
        start = 0
        while start < len(part):
            end = start + (BODY_PIECE if self.in_body else self.max_field_size)
            yield part[start:end] if start or end < len(part) else part
            start = end

    def _parse(self, piece: bytes) -> None:
        requests = self._request_count
        super().data_received(piece)
        self.framing.add(len(piece))
        if self._request_count != requests:
            self._note_request()
            self._decline_upgrade()
        elif self.in_body and self.body.is_eof():
            self._forget_body()
            self.framing.restart()
        if not self.refused and self._is_endless():
            self._refuse()
        pending = 0 if self.in_body or self.refused else self.framing.received
        if not self._manager.heads.note(self, pending):
            self._refuse()

    def _note_request(self) -> None:
        """Note that a head is complete, or that the parser has failed."""
        message, payload = self._messages[-1]
        self.framing.restart()
        if isinstance(message, _ErrInfo):
            # The error and its traceback refer to all the data.
            small = _ErrInfo(message.status, None, message.message[:REASON_LENGTH])
            self._messages[-1] = (small, payload)
            self._stop_reading()
            return
        self._forget_body()
        if not payload.is_eof():
            self.body, self.in_body = payload, True

    def _forget_body(self) -> None:
        """Drop a body that refers to this connection."""
        self.body, self.in_body = EMPTY_PAYLOAD, False

    def _decline_upgrade(self) -> None:
        """Continue in the same protocol after a request to upgrade.

        aiohttp buffers what follows until the answer has been sent.
        """
        if self.refused or not self._upgraded:
            return
        self._upgraded = False
        self._parser.set_upgraded(False)
        behind, self._message_tail = self._message_tail, b""
        if behind:
            self._parse(behind)

    def _is_endless(self) -> bool:
        """Return whether a head, or the framing of a body, exceeds its limit.

        Data that the parser has not processed yet does not count.
        """
        if self._buffer_paused or self._reading_paused:
            return False
        if self.in_body:
            return self.framing.is_endless(self.body.total_bytes)
        return self.framing.received > HEAD_FACTOR * self.max_field_size

    def _refuse(self) -> None:
        """Fail the request that is being received, and stop reading."""
        if self.in_body:
            self.body.set_exception(RequestPayloadError(ENDLESS))
        else:
            status = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            self._messages.append((_ErrInfo(status, None, ENDLESS), EMPTY_PAYLOAD))
            if self._waiter is not None and not self._waiter.done():
                self._waiter.set_result(None)
        self._stop_reading()

    def _stop_reading(self) -> None:
        self.refused = True
        self._manager.unreadable += 1
        self._manager.heads.forget(self)
        self._pause_transport_reading()

    def _resume_transport_reading(self) -> None:
        if not self.refused:
            super()._resume_transport_reading()

    def handle_error(
        self,
        request: BaseRequest,
        status: int = HTTPStatus.INTERNAL_SERVER_ERROR,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> StreamResponse:
        """Answer a request that cannot be parsed, without logging a traceback.

        :param request: a placeholder for the request.
        :param status: the status of the answer.
        :param exc: the error, if it is not a parser's.
        :param message: the parser's message.
        """
        if exc is not None and not isinstance(exc, HttpProcessingError):
            return super().handle_error(request, status, exc, message)
        reason = (message or "")[:REASON_LENGTH]
        response = Response(status=status, text=f"{status}: {reason}\n")
        response.force_close()
        return response

    def log_exception(self, *args: Any, **options: Any) -> None:
        """Log an error, unless it is what a caller has sent.

        :param args: the library's.
        :param options: the library's.
        """
        if not isinstance(options.get("exc_info"), RequestPayloadError):
            super().log_exception(*args, **options)

    def pause_writing(self) -> None:
        """Note that much of an answer is unsent."""
        super().pause_writing()
        self._manager.paused.add(self)

    def resume_writing(self) -> None:
        """Note that little of an answer is unsent."""
        super().resume_writing()
        self._manager.paused.discard(self)

    def has_unanswered_request(self) -> bool:
        """:returns: whether a request has been parsed and not yet answered."""
        return bool(self._messages) or self._current_request is not None


class PendingHeads:
    """Limits the memory of incomplete heads over all connections.

    :param limit: bytes of all of them together.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.total = 0
        # Bytes by connection.
        self.held: dict[CallerConnection, int] = {}

    def note(self, connection: CallerConnection, size: int) -> bool:
        """Record the size of a connection's incomplete head.

        :param connection: the connection.
        :param size: bytes; 0 if no head is incomplete.
        :returns: whether it may go on; beyond the limit, connections that hold more
            than the average may not.
        """
        if not size:
            self.forget(connection)
            return True
        self.total += size - self.held.get(connection, 0)
        self.held[connection] = size
        return self.total <= self.limit or size * len(self.held) < self.total

    def forget(self, connection: CallerConnection) -> None:
        """Note that a head has ended, or its connection.

        :param connection: the connection.
        """
        if self.held:
            self.total -= self.held.pop(connection, 0)
