# Licensed under the Apache License 2.0: see LICENSE for details.

"""Descriptors of connections: each is closed once, by whoever owns it.

A caller got bytes that were no answer, an endpoint got a request without a request
line, and an entry VM ended with an abort of its event loop, right after a caller had
left: "a server could not read a request: a bad request line", "it ended with code
134".  A request that is given up in the moment in which its connection to an endpoint
opens left a socket object behind whose descriptor the loop had closed already.  When
it was collected it closed that descriptor again, which was another connection's by
then; the next connection got the number, and what was meant for the one went to the
other.
"""

from __future__ import annotations

import asyncio
import os
import socket
import unittest
import warnings
from unittest import mock

import aiohttp

from walnutquay.transport.client import HttpClient
from walnutquay.transport.loops import new_loop
from walnutquay.transport.sockets import limited_socket

# A connection opens within fewer turns of the loop.
TURNS = 40
# A connected socket is the loop's within fewer turns.
HANDING_TURNS = 6


async def give_up_after(turns: int, port: int) -> list[socket.socket]:
    """Send a request, and give it up after some turns of the loop.

    :returns: the sockets that were made for it, as whoever holds them still sees them.
    """
    made: list[socket.socket] = []

    def make(info: aiohttp.AddrInfoType) -> socket.socket:
        made.append(limited_socket(info))
        return made[-1]

    with mock.patch("walnutquay.transport.connectors.limited_socket", make):
        client = HttpClient()
        exchange = client.request("GET", f"http://127.0.0.1:{port}/", peer="endpoint")
        call = asyncio.ensure_future(exchange.__aenter__())
        for _ in range(turns):
            await asyncio.sleep(0)
        call.cancel()
        await asyncio.gather(call, return_exceptions=True)
        await client.close()
    return made


def is_closed_elsewhere(made: socket.socket) -> bool:
    """:returns: whether a socket's descriptor is closed, and it will close it again."""
    if made.fileno() < 0:
        return False
    try:
        os.fstat(made.fileno())
    except OSError:
        return True
    return False


async def mute_endpoint() -> asyncio.Server:
    """:returns: an endpoint that takes connections and says nothing."""
    return await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)


async def give_up_at_each_turn() -> None:
    """Give requests up at each moment in which their connections may be."""
    server = await mute_endpoint()
    port = server.sockets[0].getsockname()[1]
    opened = 0
    for turns in range(TURNS):
        for made in await give_up_after(turns, port):
            opened += 1
            if is_closed_elsewhere(made):
                made.detach()
                raise AssertionError(f"its descriptor is closed twice: {turns} turns")
            made.close()
    server.close()
    assert opened > TURNS / 2


async def give_up_handing_over() -> None:
    """Give up handing connected sockets to the loop, at each moment of it."""
    server = await mute_endpoint()
    loop = asyncio.get_running_loop()
    for turns in range(HANDING_TURNS):
        made = socket.socket()
        made.setblocking(False)
        await loop.sock_connect(made, server.sockets[0].getsockname())
        opening = asyncio.ensure_future(
            loop.create_connection(asyncio.Protocol, sock=made)
        )
        for _ in range(turns):
            await asyncio.sleep(0)
        opening.cancel()
        await asyncio.gather(opening, return_exceptions=True)
        for _ in range(HANDING_TURNS):
            await asyncio.sleep(0)
        if is_closed_elsewhere(made):
            made.detach()
            raise AssertionError(f"its descriptor is closed twice: {turns} turns")
        made.close()
    server.close()


async def open_and_speak() -> bytes:
    """:returns: what comes back over a connection made of a socket."""

    async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(await reader.readexactly(4))
        writer.close()

    server = await asyncio.start_server(echo, "127.0.0.1", 0)
    made = socket.socket()
    made.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(made, server.sockets[0].getsockname())
    reader, writer = await asyncio.open_connection(sock=made)
    writer.write(b"word")
    found = await reader.read()
    writer.close()
    server.close()
    return found


class GivenUpTest(unittest.TestCase):
    """A connection that is given up while it opens takes no other one with it."""

    def run_on_loop(self, main) -> object:
        """:returns: what a coroutine returns on a loop as the daemons use it."""
        with warnings.catch_warnings(), asyncio.Runner(loop_factory=new_loop) as runner:
            # Of what is given up before it has begun.
            warnings.simplefilter("ignore")
            return runner.run(main)

    def test_at_each_turn_of_the_loop(self):
        self.run_on_loop(give_up_at_each_turn())

    def test_while_a_socket_is_handed_over(self):
        self.run_on_loop(give_up_handing_over())

    def test_connections_made_of_sockets_work(self):
        self.assertEqual(self.run_on_loop(open_and_speak()), b"word")
