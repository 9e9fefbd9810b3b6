# Licensed under the Apache License 2.0: see LICENSE for details.

"""A stand-in for the network between two places: a forwarder that can be cut.

It forwards TCP and UDP from one port to another address.  Cut, it drops
datagrams, ends open streams and takes none; the VM list of one data hall names
the forwarders in place of the other halls' VMs.  Its open streams can also fall
silent for good, without an end, while new ones work or hang; or it holds what is sent
until it is released, as a full link does, and drops it where its sender has reset
meanwhile.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import struct

from standins.ports import HOST, HeldPorts

CHUNK = 1 << 16
# Connections that fill the queue of a socket which listens with a backlog of 0.
QUEUE_FILLERS = 2
# SO_LINGER with a wait of 0 s: closing resets the connection.
NO_LINGER = struct.pack("ii", 1, 0)


class Link(asyncio.DatagramProtocol):
    """Forwards one port; owns its sockets.

    :param target: host and port to forward to.
    :param seed: the seed of datagram loss.
    """

    def __init__(self, target: tuple[str, int], seed: int = 1) -> None:
        self.target = target
        self.rng = random.Random(seed)
        self.cut = False
        # Share of datagrams that are lost.
        self.loss = 0.0
        self.port = 0
        # Nobody else is given the port while it is closed.
        self.held = HeldPorts()
        self.writers: set[asyncio.StreamWriter] = set()
        # Streams that carry nothing any more, by the writers of their two ends.
        self.silenced: set[asyncio.StreamWriter] = set()
        # Not set while streams are held up.
        self.released = asyncio.Event()
        self.released.set()
        # While the link hangs: a socket that listens and accepts nothing, and the
        # connections that fill its queue.
        self.full: list[socket.socket] = []

    async def start(self) -> None:
        """Listen at a free port of the loopback."""
        (self.port,) = self.held.take(1)
        loop = asyncio.get_running_loop()
        self.datagrams, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(HOST, self.port)
        )
        await self.open_port()

    def close_port(self) -> None:
        """Refuse new streams, as where nothing listens, and end the others."""
        self.server.close()
        for writer in list(self.writers):
            writer.close()

    def refuse(self) -> None:
        """Refuse new streams, as where nothing listens; those that are open go on."""
        self.server.close()

    def reset(self) -> None:
        """Refuse new streams, and reset those that are open."""
        self.server.close()
        self.reset_open()

    def reset_open(self) -> None:
        """Reset the streams that are open, silent ones too."""
        for writer in list(self.writers):
            if not writer.is_closing():
                bound = writer.get_extra_info("socket")
                bound.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
                writer.transport.abort()

    def hang(self) -> None:
        """Answer nothing: open streams are silent, and new ones do not come up."""
        self.server.close()
        self.silence()
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((HOST, self.port))
        listener.listen(0)
        self.full.append(listener)
        for _ in range(QUEUE_FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((HOST, self.port))
            self.full.append(filler)

    async def open_port(self) -> None:
        """Take new streams again, at the same port."""
        for blocker in self.full:
            blocker.close()
        self.full.clear()
        self.server = await asyncio.start_server(self._serve, HOST, self.port)

    def stop(self) -> None:
        """Close everything."""
        self.set_cut(True)
        for blocker in self.full:
            blocker.close()
        self.held.close()
        self.server.close()
        self.datagrams.close()

    def set_cut(self, cut: bool) -> None:
        """Cut or heal the link.

        :param cut: whether nothing passes.
        """
        self.cut = cut
        if cut:
            for writer in list(self.writers):
                writer.transport.abort()

    def silence(self) -> None:
        """Let the streams that are open carry nothing any more, and not end."""
        self.silenced |= self.writers

    def hold(self) -> None:
        """Hold what streams carry until :meth:`release` is called."""
        self.released.clear()

    def release(self) -> None:
        """Pass on what was held, unless its sender has reset the stream."""
        self.released.set()

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """:param data: a datagram.

        :param addr: who sent it; answers never come this way.
        """
        if not self.cut and self.rng.random() >= self.loss:
            self.datagrams.sendto(data, self.target)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.cut:
            writer.transport.abort()
            return
        try:
            there, back = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        self.writers.update((writer, back))
        await asyncio.gather(
            self._pump(reader, writer, back, True),
            self._pump(there, back, writer, False),
        )
        self.writers.difference_update((writer, back))

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        sender: asyncio.StreamWriter,
        writer: asyncio.StreamWriter,
        forth: bool,
    ) -> None:
        """Forward one direction.

        :param reader: what comes.
        :param sender: the other direction of the stream that it comes by.
        :param writer: where it goes to.
        :param forth: whether that is the target.
        """
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK):
                if writer in self.silenced:
                    continue
                if not await self._pass(reader, sender):
                    break
                await self._carry(len(data), forth)
                writer.write(data)
                await writer.drain()
        if writer not in self.silenced:
            writer.close()

    async def _carry(self, count: int, forth: bool) -> None:
        """Wait until bytes have crossed; this link has no limit.

        :param count: how many.
        :param forth: whether they go to the target.
        """

    async def _pass(
        self, reader: asyncio.StreamReader, sender: asyncio.StreamWriter
    ) -> bool:
        """Wait while streams are held up.

        :returns: whether what was held is to go on.
        """
        if self.released.is_set():
            return True
        await self.released.wait()
        # The loop learns of a reset, then tells the transport, then the reader.
        bound = sender.get_extra_info("socket")
        if sender.is_closing() or bound is None or bound.fileno() < 0:
            return False
        error = bound.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        return error == 0 and reader.exception() is None
