# Licensed under the Apache License 2.0: see LICENSE for details.

"""What is known of blocked requests, kept in the platform's store.

VMs keep nothing, and all may be lost at once: without it the request would end three
endpoints again each time.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

import logbook
import orjson

from walnutquay.coordination.process.tasks import Tasks
from walnutquay.coordination.requests.crashes import CrashWatch
from walnutquay.exceptions import MessageError, PlatformConflictError, PlatformError
from walnutquay.platform.values import Stored
from walnutquay.state.process.ids import (
    EndpointName,
    Fingerprint,
    ServiceName,
    VersionName,
)
from walnutquay.state.requests.crashes import MAX_CRASHES
from walnutquay.state.requests.crashtypes import CrashTarget, CrashTrace
from walnutquay.transport.timers import MICROSECONDS, unix_microseconds

log = logbook.Logger(__name__)

VALUE = "crashes/blocked"
RETRY_SECONDS = 1.0


class Values(Protocol):
    """Values in the platform's store."""

    async def read(self, name: str) -> Stored:
        """:param name: a value's name.

        :returns: it, or version 0 where there is none.
        """

    async def write(self, name: str, value: bytes, expected: int) -> int:
        """:param name: a value's name.

        :param value: its new JSON.
        :param expected: the version that it must have; 0 to make it.
        :returns: its new version.
        """


class CrashRecord:
    """Keeps the evidence against blocked requests for VMs that start.

    :param watch: finds the requests.
    :param values: the platform's store.
    """

    def __init__(self, watch: CrashWatch, values: Values) -> None:
        self.watch = watch
        self.values = values
        self.tasks = Tasks()
        # Whether a write is due, and the task that makes it.
        self.due = asyncio.Event()
        # How often it was written.
        self.written = 0
        watch.on_blocked = self.due.set

    def start(self, to_be_read: Callable[[], Awaitable[bool]]) -> None:
        """Begin to write what is found.

        :param to_be_read: tells whether the record is to be read first; a VM that was
            told by another one needs no call of the store.
        """
        self.tasks.spawn(self._read_if_needed(to_be_read))
        self.tasks.forever("record of crashes", self._keep)

    def stop(self) -> None:
        """Read and write no more."""
        self.tasks.stop()

    async def _read_if_needed(self, to_be_read: Callable[[], Awaitable[bool]]) -> None:
        if not await to_be_read():
            return
        while True:
            try:
                await self._read()
                return
            except PlatformError as error:
                log.debug("the record of crashes cannot be read: {}", error)
                await asyncio.sleep(RETRY_SECONDS)

    async def _read(self) -> int:
        """Take in what is stored.

        :returns: its version.
        """
        stored = await self.values.read(VALUE)
        if stored.value:
            try:
                self.watch.take(decode_traces(stored.value), "the store")
            except MessageError as error:
                log.error("the record of crashes is left out: {}", error)
        return stored.version

    async def _keep(self) -> None:
        while True:
            await self.due.wait()
            self.due.clear()
            await self._write()

    async def _write(self) -> None:
        while True:
            try:
                version = await self._read()
                traces = self.watch.blocked_traces()[-MAX_CRASHES:]
                await self.values.write(VALUE, encode_traces(traces), version)
                self.written += 1
                return
            except PlatformConflictError as error:
                log.debug("another VM wrote the record of crashes: {}", error)
            except PlatformError as error:
                log.debug("the record of crashes cannot be written: {}", error)
                await asyncio.sleep(RETRY_SECONDS)


def encode_traces(traces: list[CrashTrace]) -> bytes:
    """:param traces: what is known of blocked requests.

    :returns: it as JSON, with the time of day instead of ages.
    """
    now = unix_microseconds() / MICROSECONDS
    rows = [
        {
            "fingerprint": trace.fingerprint,
            "service": trace.target.service,
            "version": trace.target.version,
            "endpoint": trace.endpoint,
            "at": round(now - trace.age, 3),
            "ran": trace.ran,
            "held": None if math.isinf(trace.held) else round(trace.held, 3),
        }
        for trace in traces
    ]
    return orjson.dumps(rows)


def decode_traces(data: bytes) -> list[CrashTrace]:
    """:param data: what :func:`encode_traces` wrote.

    :raises MessageError: if it is not that.
    """
    now = unix_microseconds() / MICROSECONDS
    try:
        return [_trace(row, now) for row in orjson.loads(data)]
    except (orjson.JSONDecodeError, KeyError, TypeError, ValueError) as error:
        raise MessageError(f"it cannot be read: {error!r}", step="decode") from error


def _trace(row: dict[str, Any], now: float) -> CrashTrace:
    return CrashTrace(
        Fingerprint(str(row["fingerprint"])),
        CrashTarget(ServiceName(str(row["service"])), VersionName(str(row["version"]))),
        EndpointName(str(row["endpoint"])),
        # The VM that wrote it may have had a clock that was ahead.
        max(0.0, now - float(row["at"])),
        None if row["ran"] is None else float(row["ran"]),
        held=math.inf if row.get("held") is None else float(row["held"]),
    )
