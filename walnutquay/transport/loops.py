# Licensed under the Apache License 2.0: see LICENSE for details.

"""The event loop of the daemons."""

from __future__ import annotations

import asyncio
import socket
from typing import Any

import uvloop


class OwningLoop(uvloop.Loop):
    """A loop that a socket can be handed to, and is closed by it once.

    uvloop's own closes the descriptor of a connection that is given up while it opens,
    and leaves the socket object that it was made of.  Collected later, that closes the
    same number again, which is another connection's by then.
    """

    async def create_connection(
        self,
        protocol_factory: Any,
        host: Any = None,
        port: Any = None,
        *,
        sock: socket.socket | None = None,
        **options: Any,
    ) -> tuple[asyncio.Transport, asyncio.Protocol]:
        """Open a connection; one that is made of a socket is never given up midway.

        :param protocol_factory: makes its protocol.
        :param host: where to.
        :param port: at which port.
        :param sock: a connected socket in place of both; it is the loop's from now on.
        :param options: as for every loop.
        """
        if sock is None:
            return await super().create_connection(
                protocol_factory, host, port, **options
            )
        # A turn of the loop later the socket belongs to the connection.
        opening = asyncio.ensure_future(
            super().create_connection(protocol_factory, sock=sock, **options)
        )
        try:
            return await asyncio.shield(opening)
        except asyncio.CancelledError:
            opening.add_done_callback(_abort)
            raise


def _abort(opening: asyncio.Future[tuple[asyncio.Transport, asyncio.Protocol]]) -> None:
    """End a connection that nobody waits for any more."""
    if not opening.cancelled() and opening.exception() is None:
        transport, _ = opening.result()
        transport.abort()


def new_loop() -> OwningLoop:
    """:returns: a loop as the daemons use it."""
    return OwningLoop()
