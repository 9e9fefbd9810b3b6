# Licensed under the Apache License 2.0: see LICENSE for details.

"""Access to the platform's value store for the components of our own interface.

Every write states the version that it expects, 0 if there is none yet, so a write
can be repeated safely.  Calls are limited to this VM's share of the platform's
rates, and the platform's availability is recorded.
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
from walnutquay.sections import PlatformSection
from walnutquay.state.process.events import EventKind
from walnutquay.state.process.revisions import Era, EraTracker, StoreRevision
from walnutquay.transport.timers import monotonic

WATCH_SECONDS = 20.0
# Seconds of the call rate that may be accumulated for a burst.
BURST_SECONDS = 2.0
# Names of the counters of each kind of call.
READ = "platform_get"
WRITE = "platform_put"
DELETE = "platform_delete"

Result = TypeVar("Result")


class CallBudget:
    """Limits this VM's calls so that the fleet stays within the platform's rates.

    :param rate: calls per second.
    """

    def __init__(self, rate: float) -> None:
        self.rate = rate
        self.left = rate * BURST_SECONDS
        self.at = monotonic()

    def take(self) -> bool:
        """Take a token for one call.

        :returns: whether the call may be made now.
        """
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

    :param context: the state shared by this process.
    :param section: the settings of the platform.
    """

    def __init__(self, context: Context, section: PlatformSection) -> None:
        self.context = context
        self.section = section
        self.budget = CallBudget(section.calls_per_second)
        self.eras = EraTracker()
        self.client = StoreClient(
            urlsplit(section.url).netloc,
            caller=context.vm,
            call_seconds=section.timeout_seconds,
            on_stray=stray_reporter(context),
            eras=self.eras,
        )
        self.values = ValueStore(self.client)
        self.eras.restore_listeners.append(self._on_restored)
        # Whether the platform responded to the last call, and the time at which this
        # last changed.
        self.up = True
        self.changed_at = monotonic()

    def _on_restored(self, era: Era) -> None:
        self.context.timeline.emit(EventKind.STORE_RESTORED, era=era)

    async def close(self) -> None:
        """Close all connections."""
        await self.client.close()

    async def read(self, name: str) -> Stored:
        """Read a value.

        :param name: its name.
        :returns: the value, with version ``ABSENT`` if there is none.
        :raises PlatformUnavailableError: if the platform does not respond.
        """
        return await self._read(name, lambda: self.values.read(name))

    async def write(
        self, name: str, value: bytes, expected: StoreRevision
    ) -> StoreRevision:
        """Write a value if its version is the expected one.

        :param name: its name.
        :param value: its new JSON.
        :param expected: the version that it must have; ``ABSENT`` to create it.
        :returns: its new version.
        :raises PlatformConflictError: if it has another version.
        :raises PlatformUnavailableError: if nothing was written.
        :raises PlatformUnclearError: if the response is lost.
        """
        return await self._call(
            WRITE, name, lambda: self.values.write(name, value, expected)
        )

    async def delete(self, name: str, expected: StoreRevision) -> None:
        """Delete a value if its version is the expected one.

        :param name: its name.
        :param expected: the version that it must have.
        :raises PlatformError: for the same reasons as :meth:`write`.
        """
        await self._call(DELETE, name, lambda: self.values.delete(name, expected))

    async def names(self, prefix: str) -> list[str]:
        """List the names of values.

        :param prefix: the prefix of the names.
        :returns: all matching names, in order.
        :raises PlatformUnavailableError: if the platform does not respond.
        """
        return await self._read(prefix, lambda: self.values.names(prefix))

    async def watch(self, name: str, after: StoreRevision) -> Stored | None:
        """Wait until a value has a version other than the known one.

        :param name: its name.
        :param after: the known version.
        :returns: the value, or None if it did not change within ``WATCH_SECONDS``.
        :raises PlatformUnavailableError: if the platform does not respond.
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
            # A read changes nothing, so a lost response leaves no unclear state.
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
        """Make one call and record whether the platform is available."""
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
            self._record_availability(True, error.reason)
            raise
        except PlatformError as error:
            self._record_availability(False, error.reason)
            raise
        if timed:
            self.context.metrics.record("platform", monotonic() - started)
        self._record_availability(True, "answered")
        return result

    def _record_availability(self, up: bool, detail: str) -> None:
        if up is self.up:
            return
        self.up = up
        self.changed_at = monotonic()
        kind = EventKind.PLATFORM_UP if up else EventKind.PLATFORM_DOWN
        self.context.timeline.emit(kind, detail=detail)
