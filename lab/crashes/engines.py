# Licensed under the Apache License 2.0: see LICENSE for details.

"""Requests, and the engines that run them, in simulated time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from walnutquay.coordination.requests.crashes import CrashWatch
from walnutquay.coordination.requests.outcomes import FINGERPRINT_DIGITS
from walnutquay.state.process.ids import (
    EndpointName,
    Fingerprint,
    PartName,
    RequestId,
    ServiceName,
    VersionName,
)
from walnutquay.state.requests.crashtypes import CrashTarget
from walnutquay.state.requests.fingerprints import fingerprint

TARGET = CrashTarget(ServiceName("engine"), VersionName("v1"))


@dataclass(eq=False)
class Engine:
    """An engine's start.

    :param name: its name.
    :param runs: the tries that it has, and what ends them.
    """

    name: EndpointName
    runs: dict[asyncio.Future[None], Run] = field(default_factory=dict)
    up: bool = True


@dataclass
class Request:
    """A caller's request; ``organisation`` and the rest are those of an arrival.

    :param name: what tells it apart.
    :param crashes: whether it ends engines that run it.
    """

    name: str
    crashes: bool
    deadline: float
    parts: tuple[PartName, ...] = ()
    last_event_at: float | None = None

    @property
    def request(self) -> RequestId:
        """Its id."""
        return RequestId(self.name)

    def shared_parts(self) -> tuple[PartName, ...]:
        """:returns: the parts that other prompts have as well."""
        return self.parts

    def fingerprint(self) -> Fingerprint:
        """:returns: what tells it from others."""
        return Fingerprint(fingerprint(self.name.encode())[:FINGERPRINT_DIGITS])


@dataclass
class Run:
    """A try of a request at an engine; it looks like a call of a request path.

    :param watch: the VM that sent it.
    :param arrival: the request.
    :param clock: the time, in seconds.
    :param began: when its answer began.
    """

    watch: CrashWatch
    arrival: Request
    clock: Callable[[], float]
    target: CrashTarget = TARGET
    began: float | None = None

    def answered_seconds(self) -> float:
        """:returns: for how long the engine has been answering."""
        return 0.0 if self.began is None else self.clock() - self.began


@dataclass
class FleetCalls:
    """The tries of one VM that engines have."""

    engines: list[Engine]
    watch: CrashWatch

    def running(self) -> list[Run]:
        """:returns: the tries."""
        runs = (run for one in self.engines for run in one.runs.values())
        return [run for run in runs if run.watch is self.watch]

    def stop(self, is_blocked: Callable[[Run], bool]) -> None:
        """End the tries that are blocked."""
        for engine in self.engines:
            for broke, run in list(engine.runs.items()):
                if run.watch is self.watch and is_blocked(run):
                    del engine.runs[broke]
                    broke.set_result(None)
