# Licensed under the Apache License 2.0: see LICENSE for details.

"""HTTP towards endpoints and the platform, by aiohttp.

An error that proves that nothing was sent becomes
:class:`~walnutquay.exceptions.NotStartedError`; any other may have been after
the endpoint began.
"""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Callable, Iterable, Mapping
from contextlib import AbstractAsyncContextManager
from types import TracebackType

import aiohttp
from multidict import CIMultiDict
from yarl import URL

from walnutquay.exceptions import EndpointError, NotStartedError
from walnutquay.state.routed.links import Reach
from walnutquay.transport.connections import GarbledBodyError, KeptProtocol
from walnutquay.transport.connectors import (
    Dialer,
    GivenConnection,
    KeptConnector,
    WithheldError,
    dialer,
    given_connection,
    may_send,
)
from walnutquay.transport.payloads import payload_of
from walnutquay.transport.strays import OnStray, StrayAnswerError, ignore_stray
from walnutquay.transport.targets import STEP_CONNECT, read_target
from walnutquay.transport.timers import monotonic
from walnutquay.transport.traffic import Traffic

# A connection within a region is up after some milliseconds; a lost packet of its
# opening is sent again only a second later, when a new attempt would be up already.
CONNECT_SECONDS = 0.3
CONNECTIONS = 2048
# A request has this long at least; seconds.
MIN_SECONDS = 0.001
# The largest body that is held whole.
MAX_WHOLE_BYTES = 32 << 20
READ_BYTES = 1 << 16
# Endpoints close idle connections too, and say after how long.
KEEP_SECONDS = 60.0
# Answers that have no body, whatever their headers say.
BODILESS = (204, 304)
HEAD = "HEAD"
# Endpoints say by this header that they did not begin the work they refuse.
HEADER_NOT_STARTED = "x-not-started"
BEFORE_SENDING = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
# The step of an error before anything was sent, without an answer of the other side.
STEP_REACH = "reach"
# The step of an error as the request was not allowed any more when it had a connection.
STEP_WITHHELD = "withheld"
# The step of an error after the other side has acknowledged nothing for a while.
STEP_SILENT = "silent"
# The step of an error by which the connection ended after something was sent.
STEP_BROKEN = "broken"
# The step of an error by which the VM that forwards the connection was lost.
STEP_FORWARDER = "forwarder"
# The step of an error by which no answer came in time.
STEP_EXCHANGE = "exchange"
# The step of an error by which a stream has been silent for too long.
STEP_STREAM = "stream"
# The step of an error by which what came is not an answer to the request.
STEP_ANSWER = "answer"
NO_ANSWERS = (aiohttp.ClientResponseError, GarbledBodyError, StrayAnswerError)
FAILURES = (aiohttp.ClientError, TimeoutError, OSError)


async def probe(url: str) -> Reach:
    """Try whether a connection to an address can be made at all.

    :param url: ``http://IP:port``.
    """
    try:
        place = URL(url)
        async with asyncio.timeout(CONNECT_SECONDS):
            _, writer = await asyncio.open_connection(place.host, place.port)
    except ConnectionRefusedError:
        return Reach.REFUSED
    except (TimeoutError, OSError, ValueError):
        return Reach.SILENT
    writer.close()
    return Reach.REACHED


class ConnectionEnd:
    """Tells whether an answer that ends with its connection is whole.

    Make it when the head has come; call :meth:`check` when the body has ended.

    :param answer: the answer.
    """

    def __init__(self, answer: aiohttp.ClientResponse) -> None:
        framed = (
            answer.headers.get("Content-Length") is not None
            or "chunked" in answer.headers.get("Transfer-Encoding", "").lower()
            or answer.status in BODILESS
            or answer.method == HEAD
        )
        # The answer lets go of its connection with its last byte, which may have come
        # with its head; aiohttp offers no public way to the protocol after that.
        self.protocol = None if framed else answer._protocol

    def check(self, peer: str) -> None:
        """:param peer: the endpoint's name, for errors.

        :raises EndpointError: if the connection was reset, or if it was not the
            endpoint that has closed it.
        """
        if not isinstance(self.protocol, KeptProtocol):
            return
        if self.protocol.was_reset:
            raise EndpointError(
                "the connection was reset within the answer",
                step=STEP_BROKEN,
                peer=peer,
            )
        if self.protocol.forwarder_was_lost:
            raise EndpointError(
                "the VM that forwards the connection has not told that it ended",
                step=STEP_FORWARDER,
                peer=peer,
            )


async def read_whole(answer: aiohttp.ClientResponse, peer: str) -> bytes:
    """Read the body of an answer to its end.

    :param answer: the answer.
    :param peer: the endpoint's name, for errors.
    :raises EndpointError: if the body ends with a reset of its connection, or is larger
        than any that is held whole.
    """
    end = ConnectionEnd(answer)
    parts = []
    size = 0
    async for data in answer.content.iter_chunked(READ_BYTES):
        parts.append(data)
        size += len(data)
        if size > MAX_WHOLE_BYTES:
            answer.close()
            raise EndpointError("the answer is too large", step=STEP_ANSWER, peer=peer)
    end.check(peer)
    return b"".join(parts)


class HttpClient:
    """Calls endpoints; owns the connections to them.

    Calls that may not be repeated get a connection of their own each time: on a kept
    connection a lost call cannot be told from a late one.  So do requests without an
    id, whose answers could not be told from others.

    :param id_header: the header of requests that their answers repeat.
    :param on_stray: told of bytes and answers that belong to no request.
    :param traffic: counts what the connections carry.
    """

    def __init__(
        self,
        id_header: str = "",
        on_stray: OnStray = ignore_stray,
        traffic: Traffic | None = None,
    ) -> None:
        self.id_header = id_header
        kept = KeptConnector(
            on_stray,
            id_header,
            traffic,
            limit=CONNECTIONS,
            keepalive_timeout=KEEP_SECONDS,
        )
        fresh = KeptConnector(
            on_stray, id_header, traffic, limit=CONNECTIONS, force_close=True
        )
        plain = {
            "auto_decompress": False,
            "cookie_jar": aiohttp.DummyCookieJar(),
            "skip_auto_headers": (
                "accept",
                "accept-encoding",
                "content-type",
                "user-agent",
            ),
        }
        self.kept = aiohttp.ClientSession(connector=kept, **plain)
        self.fresh = aiohttp.ClientSession(connector=fresh, **plain)
        for session in (self.kept, self.fresh):
            # The library sends some calls once more by itself, unsafe ones too, and a
            # second connection that is refused hides that the first had carried them.
            session._retry_connection = False

    async def close(self) -> None:
        """Close all connections."""
        await self.kept.close()
        await self.fresh.close()

    def request(
        self,
        method: str,
        url: str,
        *,
        peer: str,
        data: bytes | None = None,
        headers: Mapping[str, str] | Iterable[tuple[str, str]] | None = None,
        timeout: float = 60.0,
        idle: float | None = None,
        repeatable: bool = True,
        still_allowed: Callable[[], bool] | None = None,
        through: Dialer | None = None,
    ) -> Exchange:
        """Send a request; used as ``async with``, which gives the answer.

        :param method: the HTTP method.
        :param url: where to; the host is an IP number.
        :param peer: the endpoint's name, for errors.
        :param data: the body.
        :param headers: headers to send.
        :param timeout: seconds in all.
        :param idle: seconds between two reads; None sets no limit of its own.
        :param repeatable: whether a kept connection may be used.
        :param still_allowed: asked right before the request is sent, as making a
            connection takes time; None to send it in any case.
        :param through: makes connections where this VM cannot; None if nothing does.
        :raises NotStartedError: if the endpoint cannot have begun.
        :raises EndpointError: if it may have.
        """
        sent = CIMultiDict(headers or ())
        matched = bool(sent.get(self.id_header))
        first = self.kept if repeatable and matched else self.fresh
        end = monotonic() + timeout
        target = read_target(url, peer)

        def send(again: bool) -> AbstractAsyncContextManager[aiohttp.ClientResponse]:
            session = self.fresh if again else first
            left = max(MIN_SECONDS, end - monotonic())
            limits = aiohttp.ClientTimeout(
                total=left, sock_connect=CONNECT_SECONDS, sock_read=idle
            )
            return session.request(
                method,
                target,
                data=payload_of(data),
                headers=sent,
                timeout=limits,
                allow_redirects=False,
            )

        return Exchange(send, peer, still_allowed, through)


class Exchange:
    """A request under way; see :meth:`HttpClient.request`.

    :param send: makes the library's request; the argument is whether once more, on a
        new connection.
    :param peer: the endpoint's name, for errors.
    :param still_allowed: asked right before the request is sent; None to send it in
        any case.
    :param through: makes connections where this VM cannot; None if nothing does.
    """

    def __init__(
        self,
        send: Callable[[bool], AbstractAsyncContextManager[aiohttp.ClientResponse]],
        peer: str,
        still_allowed: Callable[[], bool] | None = None,
        through: Dialer | None = None,
    ) -> None:
        self.send = send
        self.manager = send(False)
        self.peer = peer
        self.still_allowed = still_allowed
        self.through = through
        self.given = GivenConnection()

    async def __aenter__(self) -> aiohttp.ClientResponse:
        token = None
        if self.still_allowed is not None:
            token = may_send.set(self.still_allowed)
        through = dialer.set(self.through)
        try:
            answer = await self._enter()
        except WithheldError as error:
            raise NotStartedError(
                "it may not be sent any more", step=STEP_WITHHELD, peer=self.peer
            ) from error
        except FAILURES as error:
            raise self.meaning(error) from error
        finally:
            dialer.reset(through)
            if token is not None:
                may_send.reset(token)
        if HEADER_NOT_STARTED in answer.headers:
            await self.manager.__aexit__(None, None, None)
            raise NotStartedError(
                f"the endpoint did not start it ({answer.status})",
                step="dispatch",
                peer=self.peer,
            )
        return answer

    async def _enter(self) -> aiohttp.ClientResponse:
        """Send the request, once more if its connection was closed before that.

        The other side may close a kept connection at any time.
        """
        token = given_connection.set(self.given)
        try:
            try:
                return await self.manager.__aenter__()
            except aiohttp.ClientError:
                if not self._is_unwritten():
                    raise
            self.given.protocol = None
            self.manager = self.send(True)
            return await self.manager.__aenter__()
        finally:
            given_connection.reset(token)

    def _is_unwritten(self) -> bool:
        """Return whether the request had a connection, and was not written to it."""
        protocol = self.given.protocol
        return protocol is not None and not protocol.was_written

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self.manager.__aexit__(kind, error, trace)
        if isinstance(error, FAILURES):
            raise self.meaning(error) from error

    def meaning(self, error: BaseException) -> EndpointError:
        """Tell whether an error proves that nothing was sent.

        :param error: the library's error; its traceback is dropped.
        """
        _forget_frames(error)
        reason = str(error) or type(error).__name__
        if isinstance(error, aiohttp.ConnectionTimeoutError):
            return NotStartedError(reason, step=STEP_REACH, peer=self.peer)
        closed = isinstance(error, aiohttp.ClientError) and self._is_unwritten()
        if closed or isinstance(error, BEFORE_SENDING):
            return NotStartedError(reason, step=STEP_CONNECT, peer=self.peer)
        if getattr(error, "errno", None) == errno.ETIMEDOUT:
            return EndpointError(reason, step=STEP_SILENT, peer=self.peer)
        if isinstance(error, NO_ANSWERS):
            return EndpointError(reason, step=STEP_ANSWER, peer=self.peer)
        if not isinstance(error, TimeoutError):
            return EndpointError(reason, step=STEP_BROKEN, peer=self.peer)
        return EndpointError(reason, step=STEP_EXCHANGE, peer=self.peer)


def _forget_frames(error: BaseException) -> None:
    """Drop the tracebacks of an error and of what brought it about.

    The library's readers keep the error that ended them.  Its traceback refers to them
    and, by the frames of the request path, to the request's body.
    """
    left: list[BaseException | None] = [error]
    while left:
        one = left.pop()
        if one is not None and one.__traceback__ is not None:
            one.__traceback__ = None
            left += [one.__cause__, one.__context__]


def header_pairs(answer: aiohttp.ClientResponse) -> list[tuple[str, str]]:
    """:param answer: an answer.

    :returns: its headers as they came, in order.
    """
    return [
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in answer.raw_headers
    ]
