# Licensed under the Apache License 2.0: see LICENSE for details.

"""The way back to a caller whose answer is passed on as it comes."""

from __future__ import annotations

from asyncio.trsock import TransportSocket
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from aiohttp import HttpVersion11
from aiohttp.web_request import BaseRequest
from aiohttp.web_response import StreamResponse
from multidict import CIMultiDict

from walnutquay.exceptions import CallerGoneError
from walnutquay.protocol.calls import AnswerHead
from walnutquay.transport.gateway import GatewayServer
from walnutquay.transport.sockets import close_plainly, reset_on_close


class StreamReply:
    """The way back to a caller whose answer is passed on as it comes.

    :param request: the caller's request.
    :param server: whose connections end with their next answer at a stop.
    """

    def __init__(self, request: BaseRequest, server: GatewayServer) -> None:
        self.request = request
        self.server = server
        self.response: StreamResponse | None = None
        # Before HTTP/1.1 a stream ends with its connection.
        self.framed = request.version >= HttpVersion11

    async def begin(self, head: AnswerHead, length: int | None = None) -> None:
        """Send the status and the headers.

        :param head: the first endpoint's.
        :param length: bytes of the body; None if they are not known.
        """
        headers = CIMultiDict(head.headers)
        if head.content_type:
            headers["Content-Type"] = head.content_type
        self.response = StreamResponse(status=head.status, headers=headers)
        if length is not None:
            self.response.content_length = length
            self.framed = True
        if self.server.draining or not self.framed:
            self.response.force_close()
        # However it ends from now on, a plain close would make it seem whole.
        self._on_close(reset_on_close)
        with _writing():
            await self.response.prepare(self.request)

    async def write(self, data: bytes) -> None:
        """Send a part of the answer; returns once little of it is unsent.

        :param data: whole events of a stream, or any part of a plain answer.
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
