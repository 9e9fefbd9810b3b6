# Licensed under the Apache License 2.0: see LICENSE for details.

"""Requests that several endpoints answered with a failure: the fault is their own."""

from __future__ import annotations

from collections import OrderedDict

from walnutquay.state.process.ids import EndpointName, Fingerprint

# A request that failed is forgotten after so long without another failure.
FORGOTTEN_SECONDS = 60.0
# Some 200 bytes each; those that failed least lately go first.
MAX_KEPT = 1_000


class FailedRequests:
    """Tells failures of endpoints from failures of requests.

    A request that two endpoints have failed, and none has answered since, fails
    wherever it runs; where its caller repeats it, no endpoint is to blame.
    """

    def __init__(self) -> None:
        # Where each failed, and when it last did; monotonic seconds.
        self.failed_at: OrderedDict[Fingerprint, set[EndpointName]] = OrderedDict()
        self.last: dict[Fingerprint, float] = {}

    def counts_against_endpoint(
        self, fingerprint: Fingerprint, endpoint: EndpointName, now: float
    ) -> bool:
        """Take in a failure.

        :param fingerprint: the request.
        :param endpoint: the endpoint that answered it with a failure.
        :param now: monotonic seconds.
        :returns: whether it counts against the endpoint.
        """
        self._expire(now)
        endpoints = self.failed_at.setdefault(fingerprint, set())
        endpoints.add(endpoint)
        self.failed_at.move_to_end(fingerprint)
        self.last[fingerprint] = now
        if len(self.failed_at) > MAX_KEPT:
            self._forget(next(iter(self.failed_at)))
        return len(endpoints) == 1

    def answered(self, fingerprint: Fingerprint) -> None:
        """:param fingerprint: a request that an endpoint has answered well."""
        if fingerprint in self.failed_at:
            self._forget(fingerprint)

    def _expire(self, now: float) -> None:
        while self.failed_at:
            oldest = next(iter(self.failed_at))
            if now - self.last[oldest] <= FORGOTTEN_SECONDS:
                return
            self._forget(oldest)

    def _forget(self, fingerprint: Fingerprint) -> None:
        del self.failed_at[fingerprint]
        del self.last[fingerprint]
