# Licensed under the Apache License 2.0: see LICENSE for details.

"""Requests that fail at several endpoints, and therefore are at fault themselves."""

from __future__ import annotations

from collections import OrderedDict

from walnutquay.state.process.ids import EndpointName, Fingerprint

# A failed request is forgotten after this time without another failure.
FORGOTTEN_SECONDS = 60.0
# About 200 bytes each; the requests that failed least recently are evicted first.
MAX_KEPT = 1_000


class FailedRequests:
    """Distinguishes failures caused by endpoints from failures caused by requests.

    A request that failed at two endpoints, and that none has answered since, is assumed
    to fail wherever it runs.  If its caller repeats it, the failures do not count
    against any endpoint.
    """

    def __init__(self) -> None:
        # The endpoints at which each request failed, and the time of its last failure;
        # monotonic seconds.
        self.failed_at: OrderedDict[Fingerprint, set[EndpointName]] = OrderedDict()
        self.last: dict[Fingerprint, float] = {}

    def counts_against_endpoint(
        self, fingerprint: Fingerprint, endpoint: EndpointName, now: float
    ) -> bool:
        """Record a failure.

        :param fingerprint: the request.
        :param endpoint: the endpoint that answered it with a failure.
        :param now: monotonic seconds.
        :returns: whether the failure counts against the endpoint.
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
        """Forget the failures of a request that an endpoint has answered successfully.

        :param fingerprint: the request.
        """
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
