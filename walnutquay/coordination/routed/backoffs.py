# Licensed under the Apache License 2.0: see LICENSE for details.

"""Keeps to the backoffs that endpoints ask this VM for when they refuse a request."""

from __future__ import annotations

import logbook

from walnutquay.coordination.process.context import Context
from walnutquay.state.process.events import EventKind
from walnutquay.state.process.ids import EndpointName
from walnutquay.state.routed.backoffs import BackoffTable
from walnutquay.state.store.instances import Instance, InstanceRegistry
from walnutquay.transport.timers import monotonic

log = logbook.Logger(__name__)

MILLISECONDS = 1000.0
# A backoff is prolonged by this share of it at most, but by no more than so many
# seconds, so that the VMs that were refused together do not return together.
SPREAD = 0.1
MAX_SPREAD_SECONDS = 0.5
# Operators are warned of a longer backoff: the endpoint may mean something else.
LONG_SECONDS = 300.0
# The interval at which backoffs are checked for their end.
CHECK_SECONDS = 0.5


class EndpointBackoffs:
    """The backoffs of endpoints towards this VM.

    :param context: the state shared within this process.
    :param registry: the listed endpoints.
    """

    def __init__(self, context: Context, registry: InstanceRegistry) -> None:
        self.context = context
        self.registry = registry
        self.table = BackoffTable()

    def start(self) -> None:
        """Start to log the ends of backoffs."""
        self.context.timers.every("backoffs", CHECK_SECONDS, self.remove_ended)

    def on_answer(self, instance: Instance, seconds: float, status: int) -> None:
        """Apply the backoff that an answer asks for.

        :param instance: the endpoint that answered.
        :param seconds: for how long it wants no requests.
        :param status: the status of the answer.
        """
        if not self.registry.is_current(instance):
            return
        name, now = instance.name, monotonic()
        spread = min(seconds * SPREAD, MAX_SPREAD_SECONDS)
        self.table.apply(name, seconds + self.context.rng.uniform(0.0, spread), now)
        self.context.metrics.count("backoffs")
        self.context.timeline.emit(
            EventKind.ENDPOINT_BACKOFF,
            endpoint=name,
            detail="its answer",
            status=status,
            backoff_ms=round(seconds * MILLISECONDS),
            left_ms=round(self.table.seconds_left(name, now) * MILLISECONDS),
        )
        if seconds > LONG_SECONDS:
            log.warning("{} wants no requests for {:.0f} s", name, seconds)

    def on_instance(self, name: EndpointName, instance: Instance | None) -> None:
        """Forget the backoff of an endpoint that is gone, or of its earlier start.

        :param name: the endpoint.
        :param instance: its entry; None if it has none, or if the entry of a later
            start is about to follow.
        """
        if instance is None and self.table.forget(name) is not None:
            self._log_end(name, "the endpoint has ended")

    def remove_ended(self) -> None:
        """Remove the backoffs that are over."""
        for name in self.table.remove_ended(monotonic()):
            self._log_end(name, "its time is over")

    def _log_end(self, name: EndpointName, reason: str) -> None:
        self.context.timeline.emit(
            EventKind.ENDPOINT_BACKOFF_OVER, endpoint=name, detail=reason
        )

    def is_limited(self, name: EndpointName, now: float) -> bool:
        """Return whether an endpoint backs off, or recovers from that.

        :param name: the endpoint.
        :param now: monotonic seconds.
        """
        return self.table.is_limited(name, now)

    def seconds_left(self, name: EndpointName, now: float) -> float:
        """Return the time until this VM may send an endpoint a request.

        :param name: the endpoint.
        :param now: monotonic seconds.
        """
        return self.table.seconds_left(name, now)

    def available(self, instances: list[Instance], now: float) -> list[Instance]:
        """Return the endpoints that may be sent a request now.

        :param instances: the endpoints to choose from.
        :param now: monotonic seconds.
        """
        if not self.table.backoffs:
            return instances
        found = [item for item in instances if self.seconds_left(item.name, now) <= 0]
        skipped = len(instances) - len(found)
        if skipped:
            self.context.metrics.count("backoff_passed_over", skipped)
        return found

    def record_send(self, instance: Instance, now: float) -> None:
        """Record that this VM sends an endpoint a request.

        :param instance: the endpoint.
        :param now: monotonic seconds.
        """
        self.table.record_send(instance.name, now)
