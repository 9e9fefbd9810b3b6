# Licensed under the Apache License 2.0: see LICENSE for details.

"""Records crashes of endpoints with the requests that they were running."""

from __future__ import annotations

from walnutquay.coordination.requests.hooks import PathHooks
from walnutquay.coordination.requests.pathparts import PathParts
from walnutquay.coordination.requests.slots import Grant
from walnutquay.coordination.requests.turn import Turn
from walnutquay.exceptions import EndpointError
from walnutquay.transport.client import STEP_BROKEN
from walnutquay.transport.timers import monotonic


class CrashNotes(PathHooks):
    """The part of a request path that records crashes of endpoints.

    :param parts: the components shared by all request paths.
    """

    def __init__(self, parts: PathParts) -> None:
        self.parts = parts
        self.context = parts.context

    def on_crashed(self, turn: Turn, grant: Grant) -> None:
        """Record that an endpoint crashed while it had a request.

        :param turn: the request.
        :param grant: the slot at the endpoint.
        """
        ran = _seconds_since(grant.began)
        target = grant.target_of(turn.target)
        held = monotonic() - grant.started
        last, began = turn.arrival.last_event_at, grant.began
        answered = 0.0 if last is None or began is None else last - began
        self.parts.crashes.record_crash(
            turn.arrival, target, grant.name, ran, held, answered
        )

    def on_whole_answer(self, turn: Turn, grant: Grant, written: bool = True) -> None:
        """Record that an endpoint answered a request completely.

        :param turn: the request.
        :param grant: the slot at the endpoint.
        :param written: whether it wrote what was asked for, and no error.
        """
        target = grant.target_of(turn.target)
        self.parts.crashes.record_answer(turn.arrival, target, grant.name, written)

    async def note_crash(self, turn: Turn, grant: Grant, error: EndpointError) -> bool:
        """Find out whether an endpoint has crashed that failed, and record it.

        :param turn: the request.
        :param grant: the slot at the endpoint.
        :param error: how it failed.
        :returns: whether it has.
        """
        broke = error.step == STEP_BROKEN
        crashed = not self.is_current(grant)
        if broke and not crashed:
            crashed = await self.parts.crashes.has_crashed(grant.endpoint)
        target = grant.target_of(turn.target)
        if crashed:
            self.on_crashed(turn, grant)
            await self.parts.crashes.await_peer_traces(turn.arrival, target)
        elif broke:
            ran = _seconds_since(grant.began)
            held = monotonic() - grant.started
            self.parts.crashes.record_interruption(
                turn.arrival, target, grant.name, ran, held
            )
        return crashed


def _seconds_since(began: float | None) -> float | None:
    return None if began is None else monotonic() - began
