# Licensed under the Apache License 2.0: see LICENSE for details.

"""The signs by which a VM sees that the slots of a service are scarce."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Callable, Mapping

from walnutquay.protocol.calls import AnswerHead
from walnutquay.protocol.slotmessages import SlotLoad
from walnutquay.state.process.ids import EndpointName, ServiceName
from walnutquay.state.routed.overloadscope import OverloadScope
from walnutquay.state.routed.slottypes import EndpointLoad
from walnutquay.state.store.instances import Instance

# Returns the slots of each endpoint of a service that may be used now.
SlotsOf = Callable[[ServiceName], Mapping[EndpointName, int]]

# A sign holds for this long: endpoints tell their load in every answer.
SIGN_SECONDS = 1.0
# Another VM's word holds for this long at most; seconds.
MAX_TOLD_SECONDS = 5.0
# Services with more slots than this go by each VM's own requests: one VM could not
# decide for all of them.
MAX_SHARED_SLOTS = 96
# The number of loads that go with one question.
MAX_LOADS = 32


class SlotSigns:
    """What one VM knows of the load of services, and whether their slots are scarce.

    :param scope: the services whose slots are shared out.
    :param slots_of: returns the slots of a service's endpoints.
    """

    def __init__(
        self,
        scope: OverloadScope,
        slots_of: SlotsOf,
    ) -> None:
        self.scope = scope
        self.slots_of = slots_of
        # Until when the slots of a service are taken to be scarce; monotonic seconds.
        self.scarce_until: dict[ServiceName, float] = {}
        # The newest load that each endpoint told this VM.
        self.loads: dict[EndpointName, EndpointLoad] = {}
        # The endpoints whose loads no keeper was told, by service.
        self.untold: defaultdict[ServiceName, set[EndpointName]] = defaultdict(set)

    def applies_to(self, service: ServiceName) -> bool:
        """Return whether the slots of a service are shared out while they are scarce.

        :param service: the service.
        """
        if not self.scope.covers(service):
            return False
        return 0 < sum(self.slots_of(service).values()) <= MAX_SHARED_SLOTS

    def are_scarce(self, service: ServiceName, now: float) -> bool:
        """Return whether the slots of a service are scarce, as far as this VM knows.

        :param service: the service.
        :param now: monotonic seconds.
        """
        until = self.scarce_until.get(service)
        return until is not None and now < until and self.applies_to(service)

    def on_answer(
        self, instance: Instance, head: AnswerHead, now: float
    ) -> EndpointLoad | None:
        """Learn an endpoint's load.

        :param instance: the endpoint that answered.
        :param head: the head of its answer.
        :param now: monotonic seconds.
        :returns: the load; None if there is nothing to learn.
        """
        if head.running is None:
            return None
        service = instance.service
        self.scope.on_load(service, head.pace)
        if not self.scope.covers(service):
            return None
        slots = head.slots or instance.slots
        pace = 1.0 if head.pace is None else head.pace
        load = EndpointLoad(instance.name, slots, head.running, head.waiting, pace, now)
        self.loads[instance.name] = load
        self.untold[service].add(instance.name)
        if head.waiting > 0 or head.running >= slots:
            self._mark(service, now + SIGN_SECONDS)
        return load

    def on_rejected(self, service: ServiceName, now: float) -> None:
        """Record that an endpoint of a service had no room for a request.

        :param service: the service.
        :param now: monotonic seconds.
        """
        self._mark(service, now + SIGN_SECONDS)

    def on_told(self, service: ServiceName, seconds: float, now: float) -> None:
        """Record another VM's word that the slots of a service are scarce.

        :param service: the service.
        :param seconds: for how long.
        :param now: monotonic seconds.
        """
        if self.slots_of(service):
            # Whoever shares them out has seen a pace, which this VM may not have yet.
            self.scope.on_load(service, 1.0)
            self._mark(service, now + min(seconds, MAX_TOLD_SECONDS))

    def _mark(self, service: ServiceName, until: float) -> None:
        known = self.scarce_until.get(service, -math.inf)
        self.scarce_until[service] = max(known, until)

    def forget(self, name: EndpointName) -> None:
        """Forget an endpoint that is gone, or its earlier start.

        :param name: the endpoint.
        """
        self.loads.pop(name, None)
        for names in self.untold.values():
            names.discard(name)

    def load_to_tell(self, name: EndpointName, now: float) -> SlotLoad | None:
        """Return the load of an endpoint for another VM; None if it is not known.

        :param name: the endpoint.
        :param now: monotonic seconds.
        """
        load = self.loads.get(name)
        if load is None:
            return None
        age = max(0.0, now - load.reported_at)
        return SlotLoad(name, load.running, load.waiting, load.pace, age)

    def take_untold(self, service: ServiceName, now: float) -> tuple[SlotLoad, ...]:
        """Return the loads of a service that no keeper was told, each of them once.

        What one question cannot hold goes with the next ones.

        :param service: the service.
        :param now: monotonic seconds.
        """
        untold = self.untold[service]
        names = sorted(untold)[:MAX_LOADS]
        untold.difference_update(names)
        loads = [self.load_to_tell(name, now) for name in names]
        return tuple(load for load in loads if load is not None)
