# Licensed under the Apache License 2.0: see LICENSE for details.

"""Learns the rate limits that endpoints name in their answers."""

from __future__ import annotations

import logbook

from walnutquay.coordination.process.context import Context
from walnutquay.protocol.calls import AnswerHead
from walnutquay.state.process.events import EventKind
from walnutquay.state.process.ids import EndpointName
from walnutquay.state.routed.ratelimits import NamedLimit, RateLimitTable
from walnutquay.state.store.instances import Instance, InstanceRegistry
from walnutquay.transport.timers import monotonic

log = logbook.Logger(__name__)

MILLISECONDS = 1000.0


class RateLimits:
    """The rate limits of endpoints, learnt from their answers.

    :param context: the state shared within this process.
    :param registry: the listed endpoints.
    """

    def __init__(self, context: Context, registry: InstanceRegistry) -> None:
        self.context = context
        self.registry = registry
        self.table = RateLimitTable()

    def on_answer(self, instance: Instance, head: AnswerHead) -> None:
        """Learn the limit that an answer names, or that it names none.

        :param instance: the endpoint that answered.
        :param head: the head of its answer.
        """
        if head.invalid_rate_limit:
            self.context.metrics.count("rate_limits_invalid")
            log.warning(
                "{} named a rate limit that is not valid; it is ignored: {:.80}",
                instance.name,
                head.invalid_rate_limit,
            )
            return
        if not self.registry.is_current(instance):
            return
        limit = NamedLimit(head.rate_limit, monotonic())
        before = self.table.limits.get(instance.name)
        if self.table.apply(instance.name, limit):
            self._log(instance.name, limit, before, source="its answer")

    def on_instance(self, name: EndpointName, instance: Instance | None) -> None:
        """Forget the limit of an endpoint that is gone, or of its earlier start.

        :param name: the endpoint.
        :param instance: its entry; None if it has none, or if the entry of a later
            start is about to follow.
        """
        if instance is None:
            self.table.forget(name)

    def _log(
        self,
        name: EndpointName,
        limit: NamedLimit,
        before: NamedLimit | None,
        source: str,
    ) -> None:
        now = monotonic()
        limited = limit.per_second is not None
        self.context.metrics.count("rate_limit_changes")
        self.context.timeline.emit(
            EventKind.ENDPOINT_LIMITED if limited else EventKind.ENDPOINT_UNLIMITED,
            endpoint=name,
            detail=source,
            limit=limit.per_second,
            limit_before=None if before is None else before.per_second,
            limit_age_ms=round((now - limit.at) * MILLISECONDS),
        )
