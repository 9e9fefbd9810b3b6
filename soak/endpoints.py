# Licensed under the Apache License 2.0: see LICENSE for details.

"""An endpoint of a soak, and when it was cold or named a rate limit."""

from __future__ import annotations

import time
from dataclasses import dataclass, field

from soak.behaviours import behave
from standins.link import Link
from standins.worker import Behaviour, Seen, WorkerStandIn
from walnutquay.platform import names

HOST = "127.0.0.1"


@dataclass
class Endpoint:
    """An endpoint, which is reached through a link.

    :param worker: the stand-in.
    :param link: the link.
    :param service: the service that it runs.
    :param hall: its data hall.
    :param leaving_since: when the store acknowledged that it leaves; monotonic.
    """

    worker: WorkerStandIn
    link: Link
    service: str
    hall: str
    leaving_since: float | None = None
    # How often it had ended by then: its next start does not leave.
    leaving_start: int = 0
    # Whether it says in its answers alone that it leaves.
    announces_leaving: bool = False
    # For how long it wants no requests of a VM that it refuses one; None while it
    # refuses none.
    pause: str | None = None
    # Its entry in the store.
    entry: dict[str, object] = field(default_factory=dict)
    # When it was cold: from and until; monotonic seconds.
    cold: list[tuple[float, float]] = field(default_factory=list)
    # When it named a rate limit: from and until, and the requests a second.
    limits: list[tuple[float, float, float]] = field(default_factory=list)

    @property
    def leaves(self) -> bool:
        """Whether it leaves, as the store says or its answers alone."""
        return self.leaving_since is not None or self.announces_leaving

    def behave(self, seen: Seen) -> Behaviour:
        """Answer a request, or refuse it and ask for a pause."""
        if self.pause is None:
            return behave(seen)
        headers = {names.RETRY_AFTER: self.pause}
        return Behaviour(status=503, not_run=True, headers=headers)

    def start_entry(self) -> None:
        """Make the entry of a start that is now."""
        address = f"{HOST}:{self.link.port}"
        born = round(time.time() * 1000.0)
        self.entry = self.worker.spec(
            self.service, address=address, born=born, zone=self.hall
        )
        self.end_cold()
        self.end_limit()
        self.announces_leaving = False
        self.pause = None

    def name_limit(self, per_second: float) -> None:
        """Name a rate limit in all answers from now on."""
        self.end_limit()
        self.worker.headers[names.RATE_LIMIT] = f"{per_second:g}"
        self.limits.append((time.monotonic(), float("inf"), per_second))

    def end_limit(self) -> None:
        """Name no limit from now on."""
        now = time.monotonic()
        self.worker.headers.pop(names.RATE_LIMIT, None)
        self.limits = [(since, min(until, now), n) for since, until, n in self.limits]

    def end_cold(self) -> None:
        """Take it for warm from now on, as its entry says."""
        now = time.monotonic()
        self.cold = [(since, min(until, now)) for since, until in self.cold]
