# Licensed under the Apache License 2.0: see LICENSE for details.

"""Endpoint crashes and the requests that were running at them."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from walnutquay.state.process.ids import (
    EndpointName,
    Fingerprint,
    PartName,
    ServiceName,
    VersionName,
)


@dataclass(frozen=True, slots=True, order=True)
class CrashTarget:
    """The software that a request is found to crash: a version of a service.

    :param service: the service, or the version of a model.
    :param version: the version; empty if the service has none.
    """

    service: ServiceName
    version: VersionName


@dataclass(frozen=True, slots=True)
class CrashTrace:
    """A record that an endpoint crashed during a request, or answered it completely.

    :param fingerprint: the request.
    :param target: the software that the endpoint ran.
    :param endpoint: the endpoint.
    :param age: seconds since the crash or the answer.
    :param ran: seconds between the start of the answer and the crash; None if no answer
        had started.
    :param answered: whether the request was answered and the endpoint kept running.
    :param held: seconds between sending the request to the endpoint and the crash;
        infinite if not reported.
    :param parts: the parts of its prompt that other prompts may share; of an answer,
        those for which it is evidence.
    """

    fingerprint: Fingerprint
    target: CrashTarget
    endpoint: EndpointName
    age: float
    ran: float | None = None
    answered: bool = False
    held: float = math.inf
    parts: tuple[PartName, ...] = ()


@dataclass(slots=True, eq=False)
class EndpointCrash:
    """A crash of an endpoint.

    :param endpoint: the endpoint's name.
    :param target: the software that it ran.
    :param at: the time at which the first VM noticed the crash; monotonic seconds.
    :param ran: the interrupted requests, each with the seconds between the start of its
        answer and the crash; None if no answer had started.
    :param sent: the time at which each of them was sent to the endpoint; monotonic
        seconds.
    :param parts: the parts of their prompts that have not been answered since.
    :param requests: the same, by part.
    """

    endpoint: EndpointName
    target: CrashTarget
    at: float
    ran: dict[Fingerprint, float | None] = field(default_factory=dict)
    sent: dict[Fingerprint, float] = field(default_factory=dict)
    parts: dict[Fingerprint, set[PartName]] = field(default_factory=dict)
    requests: dict[PartName, set[Fingerprint]] = field(default_factory=dict)

    def received_before_crash(self, fingerprint: Fingerprint) -> bool:
        """Check whether a request was sent before the crash was noticed.

        A request that was sent later failed only because the endpoint was already gone.

        :param fingerprint: a request that was interrupted at the endpoint.
        """
        return self.sent.get(fingerprint, -math.inf) < self.at
