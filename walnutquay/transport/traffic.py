# Licensed under the Apache License 2.0: see LICENSE for details.

"""Counts the bytes that this VM's connections carry."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from typing import Any

from walnutquay.state.process.linkload import LinkLoad
from walnutquay.transport.timers import monotonic


class Traffic:
    """Counts what connections send and receive.

    :param load: told of all bytes; None to count nothing.
    """

    def __init__(self, load: LinkLoad | None = None) -> None:
        self.load = load

    def sent(self, count: int) -> None:
        """:param count: bytes that were handed to the system."""
        if self.load is not None:
            self.load.send(count, monotonic())

    def wait(self) -> float:
        """Return for how many seconds bytes wait for this VM's link."""
        return 0.0 if self.load is None else self.load.wait(monotonic())

    def received(self, count: int) -> None:
        """:param count: bytes that have arrived."""
        if self.load is not None:
            self.load.receive(count, monotonic())


class CountedTransport:
    """A transport whose writes are counted, which aiohttp offers no public way to do.

    :param transport: the transport.
    :param traffic: told of what is written.
    """

    __slots__ = ("traffic", "transport", "was_written")

    def __init__(self, transport: asyncio.Transport, traffic: Traffic) -> None:
        self.transport = transport
        self.traffic = traffic
        self.was_written = False

    def write(self, data: Any) -> None:
        """:param data: bytes to send."""
        self.was_written = True
        self.traffic.sent(len(data))
        self.transport.write(data)

    def writelines(self, parts: Iterable[Any]) -> None:
        """:param parts: bytes to send, in order."""
        self.was_written = True
        kept = list(parts)
        self.traffic.sent(sum(map(len, kept)))
        self.transport.writelines(kept)

    def __getattr__(self, name: str) -> Any:
        return getattr(self.transport, name)
