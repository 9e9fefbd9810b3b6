# Licensed under the Apache License 2.0: see LICENSE for details.

"""Attribution of endpoint crashes to the fewest requests that explain all of them."""

from __future__ import annotations

import math
from collections.abc import Mapping

from walnutquay.state.process.ids import Fingerprint
from walnutquay.state.requests.crashtypes import EndpointCrash

# A request is blocked after being present at this many endpoint crashes.  With fewer, a
# request that ran next to a crashing request by chance would be blocked as well.
CRASHES_TO_BLOCK = 3
# This many of the crashes must have no other explanation.  A request that ran next to
# several crashing requests was present at as many crashes as they were, and one further
# crash may be a coincidence.
OWN_CRASHES_TO_BLOCK = 2
# A request at fewer crashes explains nothing: any request that was running at a single
# crash may have caused it.
CRASHES_TO_EXPLAIN = 2

# Requests with the crashes at which they were present.
CrashesByRequest = dict[Fingerprint, frozenset[EndpointCrash]]


def crashing_requests(
    crashes_by_request: Mapping[Fingerprint, list[EndpointCrash]],
) -> frozenset[Fingerprint]:
    """Find the requests to which endpoint crashes are attributed.

    :param crashes_by_request: the crashes at which each request was present.
    :returns: the requests to block, that is, not to send to another endpoint.
    """
    suspects = {
        fingerprint: frozenset(crashes)
        for fingerprint, crashes in crashes_by_request.items()
        if len(crashes) >= CRASHES_TO_EXPLAIN
    }
    if not any(len(crashes) >= CRASHES_TO_BLOCK for crashes in suspects.values()):
        return frozenset()
    chosen = _without_redundant(_greedy_cover(suspects))
    return frozenset(
        request
        for request, crashes in chosen.items()
        if len(crashes) >= CRASHES_TO_BLOCK
    )


def _greedy_cover(
    suspects: Mapping[Fingerprint, frozenset[EndpointCrash]],
) -> CrashesByRequest:
    """Choose requests that explain all crashes, always taking the best one next.

    The best request is the one that explains most of the unexplained crashes.
    """
    remaining = dict(suspects)
    chosen: CrashesByRequest = {}
    explained: set[EndpointCrash] = set()
    while remaining:
        best = max(
            remaining,
            key=lambda request: (
                len(remaining[request] - explained),
                *_rank(request, remaining),
            ),
        )
        if remaining[best] <= explained:
            break
        chosen[best] = remaining.pop(best)
        explained |= chosen[best]
    return chosen


def _without_redundant(chosen: CrashesByRequest) -> CrashesByRequest:
    """Remove requests that explain fewer than two crashes on their own, weakest first.

    A request that ran next to three crashing requests, at one crash of each, is chosen
    first although it caused none; one further crash may have had another cause.
    """
    remaining = dict(chosen)
    while remaining:
        weakest = min(
            remaining,
            key=lambda request: (
                len(_own_crashes(request, remaining)),
                len(remaining[request]),
                *_rank(request, remaining),
            ),
        )
        if len(_own_crashes(weakest, remaining)) >= OWN_CRASHES_TO_BLOCK:
            break
        del remaining[weakest]
    return remaining


def _rank(
    request: Fingerprint, chosen: CrashesByRequest
) -> tuple[int, float, float, str]:
    """Return a sort key among requests at equally many crashes, likelier cause higher.

    A crashing request crashes an endpoint soon after the endpoint starts to run it,
    whether its answer has started by then or not; a request that ran next to it may
    have been at the first endpoint for any length of time.
    """
    runtimes = [_max_runtime(request, crash) for crash in chosen[request]]
    known = [seconds for seconds in runtimes if math.isfinite(seconds)]
    return (len(known), -max(known, default=0.0), -sum(known), request)


def _max_runtime(request: Fingerprint, crash: EndpointCrash) -> float:
    """Return the longest time that an endpoint may have run a request before crashing.

    A request whose answer had not started may have been waiting at the endpoint, or may
    just have started to run.

    :returns: seconds.
    """
    ran = crash.ran[request]
    return crash.at - crash.sent[request] if ran is None else ran


def _own_crashes(
    request: Fingerprint, chosen: CrashesByRequest
) -> frozenset[EndpointCrash]:
    """Return the crashes of a request that no other chosen request explains."""
    others = (crashes for other, crashes in chosen.items() if other != request)
    return chosen[request].difference(*others)
