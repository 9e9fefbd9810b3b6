# Licensed under the Apache License 2.0: see LICENSE for details.

"""Learns what endpoints announce of themselves in the heads of their answers."""

from __future__ import annotations

import logbook

from walnutquay.coordination.process.context import Context
from walnutquay.coordination.routed.backoffs import EndpointBackoffs
from walnutquay.coordination.routed.draining import DrainingEndpoints
from walnutquay.coordination.routed.places import Places
from walnutquay.coordination.routed.ratelimits import RateLimits
from walnutquay.protocol.calls import AnswerHead, InvalidAnnouncement
from walnutquay.state.process.ids import EndpointName
from walnutquay.state.store.instances import Instance

log = logbook.Logger(__name__)

# The answer of an endpoint that is not the one that the request names, or does not
# run what it asks for.
STATUS_MISDIRECTED = 421


class EndpointAnnouncements:
    """What endpoints announce: that they are draining, a backoff, or a rate limit.

    :param context: the state shared within this process.
    :param draining: marks draining endpoints.
    :param backoffs: the backoffs of endpoints.
    :param limits: the rate limits of endpoints.
    :param places: the places at brittle endpoints.
    """

    def __init__(
        self,
        context: Context,
        draining: DrainingEndpoints,
        backoffs: EndpointBackoffs,
        limits: RateLimits,
        places: Places,
    ) -> None:
        self.context = context
        self.draining = draining
        self.backoffs = backoffs
        self.limits = limits
        self.places = places
        # The last announcement of each endpoint that was not valid.
        self.invalid: dict[EndpointName, InvalidAnnouncement] = {}

    def start(self) -> None:
        """Start to learn from other VMs, and to log the ends of backoffs."""
        self.draining.start()
        self.backoffs.start()
        self.places.start()

    def stop(self) -> None:
        """Stop learning from other VMs."""
        self.draining.stop()

    def on_answer(self, instance: Instance, head: AnswerHead, sent_at: float) -> None:
        """Learn what the head of an answer announces.

        A misdirected request tells nothing of limits, as another start may have
        answered.  But if one that is draining did, the endpoint that was asked is
        either that one, or gone.

        :param instance: the endpoint that was sent the request.
        :param head: the head of its answer.
        :param sent_at: when the request was sent; monotonic seconds.
        """
        announced = head.announced
        for invalid in announced.invalid:
            self._on_invalid(instance.name, invalid)
        if announced.draining:
            self.draining.on_answer(instance, head.status)
        if announced.backoff_seconds:
            seconds = announced.backoff_seconds
            self.backoffs.on_answer(instance, seconds, head.status)
        if head.status != STATUS_MISDIRECTED and announced.rate_limit_valid:
            self.limits.on_answer(instance, announced.rate_limit)
        if head.status != STATUS_MISDIRECTED:
            self.places.on_answer(instance, announced.rejections_borne, sent_at)

    def on_instance(self, name: EndpointName, instance: Instance | None) -> None:
        """Forget what the start of an endpoint that is gone has announced.

        :param name: the endpoint.
        :param instance: its entry; None if it has none, or if the entry of a later
            start is about to follow.
        """
        self.backoffs.on_instance(name, instance)
        self.places.on_instance(name, instance)
        if instance is None:
            self.invalid.pop(name, None)

    def _on_invalid(self, name: EndpointName, invalid: InvalidAnnouncement) -> None:
        self.context.metrics.count("announcements_invalid")
        if self.invalid.get(name) != invalid:
            self.invalid[name] = invalid
            log.warning(
                "{} announced {} with a value that is not valid; it is ignored: {:.80}",
                name,
                invalid.name,
                invalid.text,
            )
