# Licensed under the Apache License 2.0: see LICENSE for details.

"""The platform as the parts of our own interface use it.

Every write names the version it expects, 0 for "none yet", so a write can be sent
again safely.  Calls are kept within this VM's share of the platform's rates, and
whether the platform answers is noted.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TypeVar
from urllib.parse import urlsplit

from walnutquay.coordination.process.context import Context
from walnutquay.coordination.process.strays import stray_reporter
from walnutquay.exceptions import (
    MissingObjectError,
    PlatformBusyError,
    PlatformConflictError,
    PlatformError,
    PlatformUnavailableError,
    PlatformUnclearError,
)
from walnutquay.platform.store import StoreClient
from walnutquay.platform.values import Stored, ValueStore
from walnutquay.settings import PlatformSection
from walnutquay.state.process.events import EventKind
from walnutquay.transport.timers import monotonic

WATCH_SECONDS = 20.0
# Calls that may be saved up for a burst, as a multiple of the rate.
BURST_SECONDS = 2.0
# What the counters call each kind of call.
READ = "platform_get"
WRITE = "platform_put"
DELETE = "platform_delete"

Result = TypeVar("Result")


class CallBudget:
    """Spreads calls so that the fleet stays within the platform's rates.

    :param rate: calls a second.
    """

    def __init__(self, rate: float) -> None:
        self.rate = rate
        self.left = rate * BURST_SECONDS
        self.at = monotonic()

    def take(self) -> bool:
        """:returns: whether a call may be made now; it is then counted."""
        now = monotonic()
        self.left = min(
            self.rate * BURST_SECONDS, self.left + (now - self.at) * self.rate
        )
        self.at = now
        if self.left < 1.0:
            return False
        self.left -= 1.0
        return True


class Platform:
    """Reads, writes and watches values; owns the connections to the platform.

    :param context: what this process shares.
    :param section: the settings.
    """

    def __init__(self, context: Context, section: PlatformSection) -> None:
        self.context = context
        self.section = section
        self.budget = CallBudget(section.calls_per_second)
        self.client = StoreClient(
            urlsplit(section.url).netloc,
            caller=context.vm,
            call_seconds=section.timeout_seconds,
            on_stray=stray_reporter(context),
        )
        self.values = ValueStore(self.client)
        # Whether the last call was answered, and since when that is so.
        self.up = True
        self.changed_at = monotonic()

    async def close(self) -> None:
        """Close all connections."""
        await self.client.close()

    async def read(self, name: str) -> Stored:
        """Read a value.

        :param name: its name.
        :returns: it, or version 0 where there is none.
        :raises PlatformUnavailableError: if the platform does not answer.
        """
        return await self._read(name, lambda: self.values.read(name))

    async def write(self, name: str, value: bytes, expected: int) -> int:
        """Write a value if its version is the expected one.

        :param name: its name.
        :param value: its new JSON.
        :param expected: the version that it must have; 0 to make it.
        :returns: its new version.
        :raises PlatformConflictError: if it has another version.
        :raises PlatformUnavailableError: if nothing was written.
        :raises PlatformUnclearError: if the answer is lost.
        """
        return await self._call(
            WRITE, name, lambda: self.values.write(name, value, expected)
        )

    async def delete(self, name: str, expected: int) -> None:
        """Delete a value if its version is the expected one.

        :param name: its name.
        :param expected: the version that it must have.
        :raises PlatformError: as :meth:`write` does.
        """
        await self._call(DELETE, name, lambda: self.values.delete(name, expected))

    async def names(self, prefix: str) -> list[str]:
        """List the names of values.

        :param prefix: what they begin with.
        :returns: all of them, in order.
        :raises PlatformUnavailableError: if the platform does not answer.
        """
        return await self._read(prefix, lambda: self.values.names(prefix))

    async def watch(self, name: str, after: int) -> Stored | None:
        """Wait until a value has a version other than the one that is known.

        :param name: its name.
        :param after: the version that is known.
        :returns: the value, or None where nothing changed for a while.
        :raises PlatformUnavailableError: if the platform does not answer.
        """
        return await self._read(
            name,
            lambda: self.values.watch(name, after, WATCH_SECONDS),
            timed=False,
        )

    async def _read(
        self, name: str, call: Callable[[], Awaitable[Result]], *, timed: bool = True
    ) -> Result:
        try:
            return await self._call(READ, name, call, timed=timed)
        except PlatformUnclearError as error:
            # A read changes nothing, so a lost answer leaves no doubt.
            raise PlatformUnavailableError(
                error.reason, step="read", peer=name
            ) from error

    async def _call(
        self,
        counter: str,
        name: str,
        call: Callable[[], Awaitable[Result]],
        *,
        timed: bool = True,
    ) -> Result:
        """Make one call and note whether the platform is up."""
        if not self.budget.take():
            self.context.metrics.count("platform_calls_held_back")
            raise PlatformUnavailableError(
                "this VM has used up its rate of platform calls",
                step=counter,
                peer=name,
            )
        self.context.metrics.count(counter)
        started = monotonic()
        try:
            result = await call()
        except (PlatformConflictError, PlatformBusyError, MissingObjectError) as error:
            self._note(True, error.reason)
            raise
        except PlatformError as error:
            self._note(False, error.reason)
            raise
        if timed:
            self.context.metrics.record("platform", monotonic() - started)
        self._note(True, "answered")
        return result

    def _note(self, up: bool, detail: str) -> None:
        if up is self.up:
            return
        self.up = up
        self.changed_at = monotonic()
        kind = EventKind.PLATFORM_UP if up else EventKind.PLATFORM_DOWN
        self.context.timeline.emit(kind, detail=detail)
