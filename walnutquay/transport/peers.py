# Licensed under the Apache License 2.0: see LICENSE for details.

"""Datagrams and streams between entry VMs, on one port number."""

from __future__ import annotations

import asyncio
import errno
import itertools
import socket
from collections.abc import Awaitable, Callable, Iterable

import logbook

from walnutquay.exceptions import MessageError, PeerError
from walnutquay.protocol.linkmessages import OpenTunnel
from walnutquay.protocol.messages import Envelope, Failure, Message
from walnutquay.protocol.peer import PeerCodec
from walnutquay.state.fleet.membership import Address
from walnutquay.state.process.clock import HybridClock
from walnutquay.state.process.metrics import Metrics
from walnutquay.transport.sockets import limit_silence
from walnutquay.transport.timers import monotonic, unix_microseconds

log = logbook.Logger(__name__)

LENGTH_BYTES = 4
MAX_FRAME = 4 << 20
MAX_DATAGRAM = 60_000
BIND_TRIES = 20
# A connection to a peer is up within 0.05 s, also in another region.  To a machine that
# starts just now its first packet is lost, and sent again only a second later, when a
# new connection would be up long since.
CONNECT_SECONDS = 0.1
# Older datagrams are dropped: a packet that was kept and sent again is refused.
MAX_AGE_MICROSECONDS = 60_000_000

Handler = Callable[[Envelope], Awaitable[Message | None]]
# Answers a message by which a stream is to become a tunnel; returns whether it is one.
TunnelHandler = Callable[[Envelope, asyncio.StreamWriter], Awaitable[bool]]


class _Datagrams(asyncio.DatagramProtocol):
    """Hands datagrams on to the node."""

    def __init__(self, node: PeerNode) -> None:
        self.node = node

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """:param data: what came.

        :param addr: from where; peers are known by what they seal, not by this.
        """
        self.node.datagram(data)


class _Connection:
    """A stream to one peer, with the calls that wait for its answers."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer
        self.waiting: dict[int, asyncio.Future[Message]] = {}
        self.task: asyncio.Task | None = None
        # When an answer last came by it; monotonic seconds.
        self.heard_at = float("-inf")


class PeerNode:
    """Sends to and receives from other entry VMs.

    It owns its sockets.  Messages that come are handed to ``handler``; what
    that returns is the answer to a call.

    :param vm: this VM's name.
    :param incarnation: this process's incarnation.
    :param codec: seals and opens envelopes.
    :param clock: the hybrid clock of this process.
    :param metrics: where traffic is counted.
    :param handler: takes each envelope that comes.
    """

    def __init__(
        self,
        vm: str,
        incarnation: str,
        codec: PeerCodec,
        clock: HybridClock,
        metrics: Metrics,
        handler: Handler,
    ) -> None:
        self.vm = vm
        self.incarnation = incarnation
        self.codec = codec
        self.clock = clock
        self.metrics = metrics
        self.handler = handler
        self.numbers = itertools.count(1)
        self.connections: dict[Address, _Connection] = {}
        self.connecting: dict[Address, asyncio.Task[_Connection]] = {}
        self.tasks: set[asyncio.Task] = set()
        # Streams that peers have opened to this VM.
        self.serving: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None
        self.datagrams: asyncio.DatagramTransport | None = None
        self.port = 0
        # Serves tunnels; None if this VM forwards no connections.
        self.tunnel_handler: TunnelHandler | None = None

    async def start(self, host: str, port: int) -> None:
        """Listen.

        :param host: the IP number to listen at.
        :param port: the port; 0 takes one that is free for both kinds.
        """
        stream, datagram = _bind_pair(host, port)
        self.port = stream.getsockname()[1]
        loop = asyncio.get_running_loop()
        self.server = await asyncio.start_server(self._serve, sock=stream)
        self.datagrams, _ = await loop.create_datagram_endpoint(
            lambda: _Datagrams(self), sock=datagram
        )

    async def stop(self) -> None:
        """Close all sockets and end all tasks."""
        if self.server is not None:
            self.server.close()
        if self.datagrams is not None:
            self.datagrams.close()
        for connection in list(self.connections.values()):
            connection.writer.close()
        for writer in list(self.serving):
            writer.close()
        for task in list(self.tasks):
            task.cancel()

    def seal(self, body: Message, call: int = 0) -> bytes:
        """:param body: a message.

        :param call: the call's number.
        :returns: the sealed envelope.
        """
        stamp = self.clock.tick(unix_microseconds())
        envelope = Envelope(self.vm, self.incarnation, stamp, body, call)
        return self.codec.encode(envelope)

    def send(self, address: Address, body: Message) -> None:
        """Send a datagram; nobody knows whether it arrives.

        :param address: where to.
        :param body: the message.
        """
        self.send_all([address], body)

    def send_all(self, addresses: Iterable[Address], body: Message) -> None:
        """Send a datagram to several peers; it is written and sealed once.

        :param addresses: where to.
        :param body: the message.
        """
        data = self.seal(body)
        sent = 0
        for address in addresses:
            sent += 1
            if self.datagrams is not None and not self.datagrams.is_closing():
                self.datagrams.sendto(data, (address.host, address.port))
        self.metrics.count("peer_datagrams_out", sent)
        self.metrics.count("peer_bytes_out", sent * len(data))

    async def call(
        self, address: Address, body: Message, timeout: float, peer: str = ""
    ) -> Message:
        """Ask a peer and wait for its answer.

        :param address: where it listens.
        :param body: the question.
        :param timeout: seconds to wait in all.
        :param peer: its name, for errors.
        :raises PeerError: if no answer comes, or the answer is a failure.
        """
        step = type(body).__name__
        asked_at = monotonic()
        try:
            async with asyncio.timeout(timeout):
                answer = await self._ask(address, body)
        except (TimeoutError, OSError, EOFError) as error:
            self._drop_if_silent(address, asked_at)
            reason = str(error) or "no answer in time"
            raise PeerError(reason, step=step, peer=peer) from error
        if isinstance(answer, Failure):
            raise PeerError(answer.reason, step=step, peer=peer)
        return answer

    async def _ask(self, address: Address, body: Message) -> Message:
        connection = await self._connection(address)
        number = next(self.numbers)
        future = asyncio.get_running_loop().create_future()
        connection.waiting[number] = future
        try:
            self.write(connection.writer, body, number)
            return await future
        finally:
            connection.waiting.pop(number, None)

    def _drop_if_silent(self, address: Address, asked_at: float) -> None:
        """Have the next call open another stream, unless something came by this one.

        A stream can fall silent for good without an end.
        """
        connection = self.connections.get(address)
        if connection is not None and connection.heard_at <= asked_at:
            self._drop(address, connection, EOFError("it fell silent"))

    async def _connection(self, address: Address) -> _Connection:
        connection = self.connections.get(address)
        if connection is not None:
            if not connection.writer.is_closing():
                return connection
            # It has ended and its reader has not noticed yet.
            self._drop(address, connection, EOFError("the stream is closed"))
        task = self.connecting.get(address)
        if task is None:
            task = self._spawn(self._connect(address))
            self.connecting[address] = task
            task.add_done_callback(lambda _: self.connecting.pop(address, None))
        return await asyncio.shield(task)

    async def _connect(self, address: Address) -> _Connection:
        async with asyncio.timeout(CONNECT_SECONDS):
            streams = await asyncio.open_connection(address.host, address.port)
        limit_silence(streams[1].get_extra_info("socket"))
        connection = _Connection(*streams)
        self.connections[address] = connection
        connection.task = self._spawn(self._read_answers(address, connection))
        return connection

    async def _read_answers(self, address: Address, connection: _Connection) -> None:
        try:
            while True:
                envelope = await self._read(connection.reader)
                connection.heard_at = monotonic()
                future = connection.waiting.get(envelope.call)
                if future is not None and not future.done():
                    future.set_result(envelope.body)
        except (EOFError, OSError, MessageError) as error:
            self._drop(address, connection, error)

    def _drop(
        self, address: Address, connection: _Connection, error: Exception
    ) -> None:
        if self.connections.get(address) is connection:
            del self.connections[address]
        connection.writer.close()
        for future in connection.waiting.values():
            if not future.done():
                future.set_exception(EOFError(f"the stream ended: {error}"))

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the calls that come over one stream."""
        limit_silence(writer.get_extra_info("socket"))
        self.serving.add(writer)
        handed_over = False
        try:
            while not handed_over:
                envelope = await self._read(reader)
                if isinstance(envelope.body, OpenTunnel):
                    handed_over = await self._open_tunnel(envelope, writer)
                    continue
                self._spawn(self._answer(envelope, writer))
        except MessageError as error:
            self.metrics.count("peer_refused")
            log.warn("a peer's stream was refused: {}", error)
        except (EOFError, OSError):
            pass
        finally:
            self.serving.discard(writer)
            if not handed_over:
                writer.close()

    async def _open_tunnel(
        self, envelope: Envelope, writer: asyncio.StreamWriter
    ) -> bool:
        """Have a stream become a tunnel.

        :returns: whether it is one now.
        """
        if self.tunnel_handler is None or self._is_stale(envelope):
            self.write(writer, Failure("no tunnels are served here"), envelope.call)
            return False
        return await self.tunnel_handler(envelope, writer)

    async def _answer(self, envelope: Envelope, writer: asyncio.StreamWriter) -> None:
        try:
            answer = await self.handler(envelope)
        except Exception as error:
            log.exception("a peer's call failed")
            answer = Failure(f"{type(error).__name__}: {error}")
        if envelope.call and answer is not None and not writer.is_closing():
            self.write(writer, answer, envelope.call)

    def write(self, writer: asyncio.StreamWriter, body: Message, call: int) -> None:
        """Write a message to a stream.

        :param writer: the stream.
        :param body: the message.
        :param call: the call's number.
        :raises EOFError: if the stream is closed.
        """
        if writer.is_closing():
            # uvloop raises RuntimeError, not OSError, for a write to it.
            raise EOFError("the stream is closed")
        data = self.seal(body, call)
        self.metrics.count("peer_bytes_out", len(data))
        writer.write(len(data).to_bytes(LENGTH_BYTES, "big") + data)

    async def _read(self, reader: asyncio.StreamReader) -> Envelope:
        length = int.from_bytes(await reader.readexactly(LENGTH_BYTES), "big")
        if length > MAX_FRAME:
            raise MessageError(f"a frame of {length} bytes is too long", step="read")
        self.metrics.count("peer_bytes_in", length)
        envelope = self.codec.decode(await reader.readexactly(length))
        self.clock.observe(envelope.stamp, unix_microseconds())
        return envelope

    def datagram(self, data: bytes) -> None:
        """Take in a datagram; a stranger's is dropped and counted.

        :param data: what came.
        """
        try:
            envelope = self.codec.decode(data)
        except MessageError:
            self.metrics.count("peer_refused")
            return
        if self._is_stale(envelope):
            return
        self.clock.observe(envelope.stamp, unix_microseconds())
        self.metrics.count("peer_datagrams_in")
        self.metrics.count("peer_bytes_in", len(data))
        self._spawn(self._handle(envelope))

    def _is_stale(self, envelope: Envelope) -> bool:
        """Tell whether a message may have been kept and sent again; it is counted."""
        age = abs(unix_microseconds() - envelope.stamp.physical)
        if age > MAX_AGE_MICROSECONDS:
            self.metrics.count("peer_stale")
        return age > MAX_AGE_MICROSECONDS

    async def _handle(self, envelope: Envelope) -> None:
        try:
            await self.handler(envelope)
        except Exception:
            log.exception("a peer's datagram failed")

    def _spawn(self, coroutine: Awaitable) -> asyncio.Task:
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self._ended)
        return task

    def _ended(self, task: asyncio.Task) -> None:
        self.tasks.discard(task)
        # Whoever waits for the task has its error; this one only marks it seen.
        if not task.cancelled():
            task.exception()


def _bind_pair(host: str, port: int) -> tuple[socket.socket, socket.socket]:
    """Bind a stream and a datagram socket to one port number."""
    for _ in range(BIND_TRIES):
        stream = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        datagram = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            stream.bind((host, port))
            datagram.bind((host, stream.getsockname()[1]))
        except OSError as error:
            stream.close()
            datagram.close()
            if port or error.errno != errno.EADDRINUSE:
                raise
            continue
        stream.setblocking(False)
        datagram.setblocking(False)
        return stream, datagram
    raise PeerError("no port is free for both streams and datagrams", step="listen")
