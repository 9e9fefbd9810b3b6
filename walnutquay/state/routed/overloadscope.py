# Licensed under the Apache License 2.0: see LICENSE for details.

"""The services for which decisions under overload are made."""

from __future__ import annotations

from enum import Enum

from walnutquay.state.process.ids import ServiceName

# Services that this VM remembers; far more than operators configure.
MAX_SERVICES = 1000


class Coverage(Enum):
    """Which services are covered."""

    # None.
    NEVER = "never"
    # Those whose endpoints tell how long work takes there.
    PACED = "paced"
    # All whose endpoints tell their load.
    ALWAYS = "always"


class OverloadScope:
    """The services for which waiting, refusing and moving follow the load.

    :param coverage: which services are covered.
    """

    def __init__(self, coverage: Coverage) -> None:
        self.coverage = coverage
        # The services that an endpoint has told a load or a pace of.
        self.loaded: set[ServiceName] = set()
        self.paced: set[ServiceName] = set()

    def on_load(self, service: ServiceName, pace: float | None) -> None:
        """Record that an endpoint has told its load.

        :param service: the endpoint's service.
        :param pace: how long work takes there; None if it does not tell.
        """
        if len(self.loaded) < MAX_SERVICES:
            self.loaded.add(service)
        if pace is not None and len(self.paced) < MAX_SERVICES:
            self.paced.add(service)

    @property
    def uses_paces(self) -> bool:
        """Whether endpoints are chosen by how long work takes there."""
        return self.coverage is not Coverage.NEVER

    def covers(self, service: ServiceName) -> bool:
        """Return whether a service is covered.

        :param service: the service.
        """
        if self.coverage is Coverage.ALWAYS:
            return service in self.loaded
        return self.coverage is Coverage.PACED and service in self.paced
