# Licensed under the Apache License 2.0: see LICENSE for details.

"""Refuses prompts at once that no engine can begin before their callers give up."""

from __future__ import annotations

from walnutquay.coordination.process.context import Context
from walnutquay.coordination.routed.admission import RoutedAdmission
from walnutquay.coordination.routed.turn import RoutedTurn
from walnutquay.state.requests.refusals import Refusal, RefusalCode
from walnutquay.state.routed.prospects import earliest_begin, is_hopeless
from walnutquay.transport.timers import monotonic

MILLISECONDS = 1000.0


class Prospects:
    """Forecasts whether a prompt can be served at all.

    :param context: the state shared within this process.
    :param admission: knows the engines and what they have to read.
    """

    def __init__(self, context: Context, admission: RoutedAdmission) -> None:
        self.context = context
        self.admission = admission

    def refusal(self, turn: RoutedTurn) -> Refusal | None:
        """Return the refusal of a prompt that certainly cannot be answered in time.

        :param turn: a request that was not sent yet.
        :returns: the refusal; None if it may be served, or has no prompt.
        """
        work, service = turn.work, turn.service
        if work is None or not self.admission.scope.covers(service):
            return None
        now = monotonic()
        names = [item.name for item in self.admission.candidates.of_service(service)]
        waits = self.admission.work.waits(names, now)
        states = map(self.admission.table.state_of, names)
        # Not the observed slowness, which failures raise: this is the time at best.
        paces = [s.told_pace.usual if s.has_pace(now) else 1.0 for s in states]
        rate = self.admission.work.rate(work.model)
        begin = earliest_begin(work, rate, zip(waits, paces, strict=True))
        left = turn.seconds_left()
        if not is_hopeless(begin, left):
            return None
        self.context.metrics.count("hopeless_prompts")
        reason = (
            f"no engine of {service} can begin within {left * MILLISECONDS:.0f} ms: "
            f"the first one could after {begin * MILLISECONDS:.0f} ms"
        )
        return Refusal(RefusalCode.DEADLINE, reason)
