# Licensed under the Apache License 2.0: see LICENSE for details.

"""Connections to endpoints that another VM forwards byte by byte.

A VM that cannot reach an endpoint opens a stream to a VM that does, and names the
endpoint in a sealed message.  That VM connects to the endpoint, answers, and passes on
what either side sends.  It reads nothing of it: the VM that has the caller decides.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import cast

from yarl import URL

from walnutquay.exceptions import MessageError, PeerError
from walnutquay.protocol.messages import Message
from walnutquay.state.fleet.membership import Address
from walnutquay.transport.peers import LENGTH_BYTES, MAX_FRAME, PeerNode
from walnutquay.transport.sockets import limit_silence, reset_on_close, was_reset
from walnutquay.transport.tunnelframes import END_FRAME, frame_header

# The number of a tunnel's only call.
CALL = 1
# What one side may have sent that the other has not read; bytes.  Above it, the sender
# is not read from.
HIGH_WATER = 1 << 14


class TunnelEnd(asyncio.Protocol):
    """One of the two connections of a tunnel.

    :param framed: whether what comes here is passed on in frames.
    """

    def __init__(self, framed: bool = False) -> None:
        self.framed = framed
        # Called when the connection has ended.
        self.on_lost: Callable[[], None] = _ignore_lost
        self.transport: asyncio.Transport | None = None
        self.other: TunnelEnd | None = None
        # What has come before there was another side to pass it on to.
        self.early = b""
        # Whether the peer sends nothing more.
        self.at_eof = False
        self.stream: asyncio.StreamWriter | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """:param transport: the connection."""
        # uvloop's transports are none of asyncio's classes.
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(HIGH_WATER)

    def join(self, other: TunnelEnd) -> None:
        """Pass on all that has come, and that comes from now on.

        :param other: the other connection.
        """
        self.other = other
        early, self.early = self.early, b""
        if early:
            self.data_received(early)
        if self.transport is None:
            other.reset()
        elif self.at_eof:
            self.eof_received()

    def resume_reading(self) -> None:
        """Read on, unless the connection is being closed."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()

    def pause_reading(self) -> None:
        """Read no more for now, unless the connection is being closed."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.pause_reading()

    def data_received(self, data: bytes) -> None:
        """:param data: what has arrived."""
        if self.other is None:
            self.early += data
        elif self.other.transport is not None:
            if self.framed:
                self.other.transport.write(frame_header(len(data)))
            self.other.transport.write(data)

    def eof_received(self) -> bool:
        """Pass on that nothing more comes, and how that was told.

        :returns: whether the connection stays open for what goes the other way.
        """
        self.at_eof = True
        other = self.other
        if other is None or self.transport is None:
            return True
        if was_reset(self.transport.get_extra_info("socket")):
            other.reset()
            return False
        is_open = other.transport is not None and not other.transport.is_closing()
        if is_open and self.framed:
            other.transport.write(END_FRAME)
        if other.at_eof:
            other.close()
            return False
        if is_open:
            other.transport.write_eof()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """:param exc: how the connection broke; None if it was closed."""
        other = self.other
        if other is not None:
            if exc is not None:
                other.reset()
            else:
                other.close()
        self.transport = None
        self.on_lost()

    def pause_writing(self) -> None:
        """Read no more from the other side until this one has taken what there is."""
        if self.other is not None:
            self.other.pause_reading()

    def resume_writing(self) -> None:
        """Read on from the other side."""
        if self.other is not None:
            self.other.resume_reading()

    def close(self) -> None:
        """Close the connection once all that is left has been sent."""
        if self.transport is not None:
            self.transport.close()

    def reset(self) -> None:
        """Reset the connection: what the other side had sent is not whole."""
        if self.transport is not None:
            reset_on_close(self.transport.get_extra_info("socket"))
            self.transport.abort()


def _ignore_lost() -> None:
    """Do nothing: nobody counts this end."""


async def connect_end(url: str, timeout: float, framed: bool) -> TunnelEnd:
    """Connect to an endpoint.

    :param url: ``http://IP:port``.
    :param timeout: seconds in all.
    :param framed: whether what the endpoint sends is passed on in frames.
    :raises OSError: if it is not reached.
    :raises TimeoutError: if it does not answer in time.
    """
    place = URL(url)
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(timeout):
        _, end = await loop.create_connection(
            lambda: TunnelEnd(framed), place.host, place.port
        )
    limit_silence(end.transport.get_extra_info("socket"))
    return end


def take_over(writer: asyncio.StreamWriter) -> TunnelEnd:
    """Make a peer's stream one end of a tunnel.

    :param writer: the stream; nothing more is read from it by others.
    """
    end = TunnelEnd()
    # A stream that nobody refers to is closed.
    end.stream = writer
    transport = writer.transport
    transport.set_protocol(end)
    end.connection_made(transport)
    return end


async def request_tunnel(
    node: PeerNode, address: Address, body: Message, timeout: float
) -> tuple[Message, socket.socket]:
    """Open a stream to a peer, send it a message and read its answer.

    :param node: seals and opens messages.
    :param address: where the peer listens.
    :param body: the message.
    :param timeout: seconds in all.
    :returns: the answer, and the stream's socket, of which nothing more was read.
    :raises PeerError: if no answer comes.
    """
    bound = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    bound.setblocking(False)
    try:
        limit_silence(bound)
        async with asyncio.timeout(timeout):
            return await _exchange(node, bound, address, body), bound
    except (OSError, TimeoutError, EOFError, MessageError) as error:
        bound.close()
        reason = str(error) or "no answer in time"
        raise PeerError(reason, step="tunnel", peer=str(address)) from error
    except BaseException:
        bound.close()
        raise


async def _exchange(
    node: PeerNode, bound: socket.socket, address: Address, body: Message
) -> Message:
    loop = asyncio.get_running_loop()
    await loop.sock_connect(bound, (address.host, address.port))
    data = node.seal(body, CALL)
    await loop.sock_sendall(bound, len(data).to_bytes(LENGTH_BYTES, "big") + data)
    length = int.from_bytes(await _read_exactly(bound, LENGTH_BYTES), "big")
    if length > MAX_FRAME:
        raise MessageError(f"a frame of {length} bytes is too long", step="tunnel")
    return node.codec.decode(await _read_exactly(bound, length)).body


async def _read_exactly(bound: socket.socket, size: int) -> bytes:
    """Read no more than asked for: what follows belongs to the endpoint's answer."""
    loop = asyncio.get_running_loop()
    data = b""
    while len(data) < size:
        part = await loop.sock_recv(bound, size - len(data))
        if not part:
            raise EOFError("the stream ended")
        data += part
    return data
