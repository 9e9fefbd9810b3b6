# Licensed under the Apache License 2.0: see LICENSE for details.

"""The ends of endpoints, and the requests that were there."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from walnutquay.state.process.ids import (
    EndpointName,
    Fingerprint,
    ServiceName,
    VersionName,
)


@dataclass(frozen=True, slots=True, order=True)
class CrashTarget:
    """What a request is found to end: a version of a service's software.

    :param service: the service, or the version of a model.
    :param version: the version; empty where the service has none.
    """

    service: ServiceName
    version: VersionName


@dataclass(frozen=True, slots=True)
class CrashTrace:
    """That a request was at an endpoint which ended, or was answered whole.

    :param fingerprint: the request.
    :param target: what the endpoint ran.
    :param endpoint: the endpoint.
    :param age: seconds since.
    :param ran: seconds for which its answer had begun; None where none had.
    :param answered: whether it was answered, and the endpoint lived on.
    :param held: seconds for which the endpoint had it; infinite where that is not told.
    """

    fingerprint: Fingerprint
    target: CrashTarget
    endpoint: EndpointName
    age: float
    ran: float | None = None
    answered: bool = False
    held: float = math.inf


@dataclass(slots=True, eq=False)
class EndpointCrash:
    """The end of an endpoint.

    :param endpoint: its name.
    :param target: what it ran.
    :param at: when any VM noticed it first; monotonic seconds.
    :param ran: the requests that broke there, with the seconds for which their answers
        had begun; None where none had.
    :param sent: when each of them was sent there; monotonic seconds.
    """

    endpoint: EndpointName
    target: CrashTarget
    at: float
    ran: dict[Fingerprint, float | None] = field(default_factory=dict)
    sent: dict[Fingerprint, float] = field(default_factory=dict)

    def had(self, fingerprint: Fingerprint) -> bool:
        """:param fingerprint: a request that broke there.

        :returns: whether it was sent there before the end was noticed: else it broke
            for there was nobody any more.
        """
        return self.sent.get(fingerprint, -math.inf) < self.at
