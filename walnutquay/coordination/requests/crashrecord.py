# Licensed under the Apache License 2.0: see LICENSE for details.

"""Storage of the evidence against blocked requests in the platform's store.

VMs have no persistent state, and all of them may be lost at once.  Without this record
a blocked request would crash three endpoints again after each such loss.
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
from walnutquay.state.requests.crashevidence import MAX_CRASHES
from walnutquay.state.requests.crashtypes import CrashTarget, CrashTrace
from walnutquay.state.requests.promptparts import part_names
from walnutquay.transport.timers import MICROSECONDS, unix_microseconds

log = logbook.Logger(__name__)

# The evidence against whole requests, and against parts of prompts.  VMs of earlier
# releases read and write the first only.
VALUE = "crashes/blocked"
PARTS_VALUE = "crashes/parts"
RETRY_SECONDS = 1.0


class Values(Protocol):
    """Values in the platform's store."""

    async def read(self, name: str) -> Stored:
        """Read a value.

        :param name: its name.
        :returns: the value; version 0 if it does not exist.
        """

    async def write(self, name: str, value: bytes, expected: int) -> int:
        """Replace a value if it still has the expected version.

        :param name: its name.
        :param value: the new value, as JSON.
        :param expected: the version that it must have; 0 to create it.
        :returns: its new version.
        """


class CrashRecord:
    """Stores the evidence against blocked requests for VMs that start later.

    :param watch: detects the requests.
    :param values: the platform's store.
    """

    def __init__(self, watch: CrashWatch, values: Values) -> None:
        self.watch = watch
        self.values = values
        self.tasks = Tasks()
        # Set when a write is due.
        self.write_due = asyncio.Event()
        # The number of writes so far.
        self.write_count = 0
        watch.on_blocked = self.write_due.set

    def start(self, needs_read: Callable[[], Awaitable[bool]]) -> None:
        """Start writing the evidence that is found.

        :param needs_read: returns whether to read the record first; a VM that got the
            traces from another VM needs no call to the store.
        """
        self.tasks.spawn(self._read_if_needed(needs_read))
        self.tasks.spawn_loop("crash record", self._write_when_due)

    def write_again(self) -> None:
        """Write the evidence again, as the store was restored and may have lost it."""
        if self.watch.book.verdicts:
            self.write_due.set()

    def stop(self) -> None:
        """Stop reading and writing."""
        self.tasks.stop()

    async def _read_if_needed(self, needs_read: Callable[[], Awaitable[bool]]) -> None:
        if not await needs_read():
            return
        while True:
            try:
                await self._read(VALUE)
                await self._read(PARTS_VALUE)
                return
            except PlatformError as error:
                log.debug("cannot read the crash record; retrying: {}", error)
                await asyncio.sleep(RETRY_SECONDS)

    async def _read(self, name: str) -> int:
        """Apply the stored traces.

        :param name: the name of the value.
        :returns: the version of the record.
        """
        stored = await self.values.read(name)
        if stored.value:
            try:
                self.watch.apply_traces(decode_traces(stored.value), "the store")
            except MessageError as error:
                log.error("ignoring the invalid crash record: {}", error)
        return stored.version

    async def _write_when_due(self) -> None:
        while True:
            await self.write_due.wait()
            self.write_due.clear()
            if self.watch.book.blocked:
                await self._write(VALUE, self.watch.blocked_traces)
            if self.watch.book.blocked_parts:
                await self._write(PARTS_VALUE, self.watch.blocked_part_traces)
            self.write_count += 1

    async def _write(self, name: str, traces: Callable[[], list[CrashTrace]]) -> None:
        """Merge the traces of this VM into a value.

        :param name: the name of the value.
        :param traces: returns the traces to be stored.
        """
        while True:
            try:
                version = await self._read(name)
                newest = traces()[-MAX_CRASHES:]
                await self.values.write(name, encode_traces(newest), version)
                return
            except PlatformConflictError as error:
                log.debug("another VM wrote the crash record; merging again: {}", error)
            except PlatformError as error:
                log.debug("cannot write the crash record; retrying: {}", error)
                await asyncio.sleep(RETRY_SECONDS)


def encode_traces(traces: list[CrashTrace]) -> bytes:
    """Encode traces for the store.

    :param traces: the traces of blocked requests.
    :returns: the traces as JSON, with Unix times instead of ages.
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
            **_part_fields(trace),
        }
        for trace in traces
    ]
    return orjson.dumps(rows)


def _part_fields(trace: CrashTrace) -> dict[str, Any]:
    fields: dict[str, Any] = {}
    if trace.parts:
        fields["parts"] = list(trace.parts)
    if trace.answered:
        fields["answered"] = True
    return fields


def decode_traces(data: bytes) -> list[CrashTrace]:
    """Decode traces from the store.

    :param data: the output of :func:`encode_traces`.
    :raises MessageError: if the data is invalid.
    """
    now = unix_microseconds() / MICROSECONDS
    try:
        return [_trace(row, now) for row in orjson.loads(data)]
    except (orjson.JSONDecodeError, KeyError, TypeError, ValueError) as error:
        raise MessageError(
            f"not a valid list of crash traces: {error!r}", step="decode"
        ) from error


def _trace(row: dict[str, Any], now: float) -> CrashTrace:
    return CrashTrace(
        Fingerprint(str(row["fingerprint"])),
        CrashTarget(ServiceName(str(row["service"])), VersionName(str(row["version"]))),
        EndpointName(str(row["endpoint"])),
        # The clock of the VM that wrote it may have been ahead.
        max(0.0, now - float(row["at"])),
        None if row["ran"] is None else float(row["ran"]),
        answered=bool(row.get("answered", False)),
        held=math.inf if row.get("held") is None else float(row["held"]),
        parts=part_names(str(name) for name in row.get("parts", ())),
    )
