# Licensed under the Apache License 2.0: see LICENSE for details.

"""Chooses one of the endpoints that may be sent a request."""

from __future__ import annotations

from collections.abc import Callable

from walnutquay.coordination.requests.slots import SlotRequest
from walnutquay.coordination.routed.promptengines import PromptEngines
from walnutquay.state.process.ids import ServiceName
from walnutquay.state.requests.endpoints import EndpointTable
from walnutquay.state.requests.preference import endpoints_apart, preferred_endpoint
from walnutquay.state.routed.work import PromptWork
from walnutquay.state.store.instances import Instance
from walnutquay.transport.timers import monotonic

Engines = Callable[[list[Instance], ServiceName, float], PromptEngines]


class EndpointChoice:
    """Chooses endpoints by their load, or engines by their reading work.

    :param table: the load and health of the endpoints.
    :param engines: returns the engines with what is known of their work.
    """

    def __init__(self, table: EndpointTable, engines: Engines) -> None:
        self.table = table
        self.engines = engines

    def choose(self, remaining: list[Instance], need: SlotRequest) -> Instance | None:
        """Choose the best of the endpoints that may be sent a request.

        :param remaining: the endpoints to choose from.
        :param need: the request.
        :returns: the endpoint; None if all are full.
        """
        now = monotonic()
        if need.suspect:
            chosen = self._choose_for_suspect(remaining, need, now)
        elif need.work is not None:
            chosen = self._choose_engine(remaining, need, need.work, now)
        else:
            chosen = self.table.choose(remaining, now, need.hint, need.tried)
        return chosen or self._least_loaded(remaining, now)

    def _choose_engine(
        self, remaining: list[Instance], need: SlotRequest, work: PromptWork, now: float
    ) -> Instance | None:
        """Choose the engine that is likely to finish reading a prompt first."""
        open_ones = self.table.accepting(remaining, now, need.tried)
        if not open_ones:
            return None
        service = ServiceName(need.target)
        engines = self.engines(open_ones, service, now)
        return engines.best(work, need.aim, need.pause)

    def _choose_for_suspect(
        self, remaining: list[Instance], need: SlotRequest, now: float
    ) -> Instance | None:
        """Choose the endpoint for a request that may have crashed one.

        All VMs choose the same endpoint, so all attempts of the request run there,
        while requests that ran beside it are spread over the others.  One more crash
        then clears these, and no two endpoints crash at the same time.
        """
        open_ones = self.table.accepting(remaining, now, need.tried) or remaining
        names = [item.name for item in open_ones]
        apart = endpoints_apart(names, need.suspect, need.companions)
        name = preferred_endpoint(apart, need.suspect)
        return next((item for item in open_ones if item.name == name), None)

    def _least_loaded(self, remaining: list[Instance], now: float) -> Instance | None:
        """Return the least loaded endpoint, except those that have just refused."""
        open_ones = [
            item
            for item in remaining
            if self.table.state_of(item.name).full_until <= now
        ]
        if not open_ones:
            return None
        return min(
            open_ones,
            key=lambda item: self.table.state_of(item.name).load(now) / item.slots,
        )
