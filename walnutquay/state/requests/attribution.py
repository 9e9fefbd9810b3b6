# Licensed under the Apache License 2.0: see LICENSE for details.

"""Which requests explain why endpoints ended: as few as can explain all ends."""

from __future__ import annotations

import math
from collections.abc import Mapping

from walnutquay.state.process.ids import Fingerprint
from walnutquay.state.requests.crashtypes import EndpointCrash

# A request that so many endpoints have ended under is sent to no other one: with fewer,
# one that was beside another such request by chance would be taken for one.
CRASHES_TO_BLOCK = 3
# Of these, so many must have no other explanation: what was beside several others that
# end endpoints has been at as many ends as they, and one more may be a chance.
OWN_ENDS_TO_BLOCK = 2
# Requests at fewer ends explain nothing: any of those that were there may have done it.
ENDS_TO_EXPLAIN = 2


# Requests with the ends at which they were.
Chosen = dict[Fingerprint, frozenset[EndpointCrash]]


def crashing_requests(
    crashes_by_request: Mapping[Fingerprint, list[EndpointCrash]],
) -> frozenset[Fingerprint]:
    """Find the requests that are held to have ended endpoints.

    :param crashes_by_request: the ends at which each request was.
    :returns: those that are to be sent to no other endpoint.
    """
    suspects = {
        fingerprint: frozenset(ends)
        for fingerprint, ends in crashes_by_request.items()
        if len(ends) >= ENDS_TO_EXPLAIN
    }
    if not any(len(ends) >= CRASHES_TO_BLOCK for ends in suspects.values()):
        return frozenset()
    chosen = _without_spare_ones(_cover(suspects))
    return frozenset(
        name for name, ends in chosen.items() if len(ends) >= CRASHES_TO_BLOCK
    )


def _cover(suspects: Mapping[Fingerprint, frozenset[EndpointCrash]]) -> Chosen:
    """Choose requests that explain all ends, each time the one that explains most."""
    left = dict(suspects)
    chosen: Chosen = {}
    explained: set[EndpointCrash] = set()
    while left:
        best = max(
            left, key=lambda name: (len(left[name] - explained), *_odds(name, left))
        )
        if left[best] <= explained:
            break
        chosen[best] = left.pop(best)
        explained |= chosen[best]
    return chosen


def _without_spare_ones(chosen: Chosen) -> Chosen:
    """Leave out, the weakest first, what explains no two ends that others do not.

    One that was beside three others at an end of each is chosen first, and in vain; one
    more end may have had another reason.
    """
    left = dict(chosen)
    while left:
        weakest = min(
            left,
            key=lambda name: (
                len(_own(name, left)),
                len(left[name]),
                *_odds(name, left),
            ),
        )
        if len(_own(weakest, left)) >= OWN_ENDS_TO_BLOCK:
            break
        del left[weakest]
    return left


def _odds(name: Fingerprint, chosen: Chosen) -> tuple[int, float, float, str]:
    """Rank a request among others at as many ends, higher where it is likelier guilty.

    What ends an endpoint that begins to run it does so soon, whether its answer has
    begun by then or not; what was beside it had been at the first for any time.
    """
    runs = [_longest_run(name, end) for end in chosen[name]]
    known = [seconds for seconds in runs if math.isfinite(seconds)]
    return (len(known), -max(known, default=0.0), -sum(known), name)


def _longest_run(name: Fingerprint, end: EndpointCrash) -> float:
    """Give the seconds for which an endpoint can have run a request as it ended.

    One whose answer had not begun may have waited there, or just have begun to run.
    """
    ran = end.ran[name]
    return end.at - end.sent[name] if ran is None else ran


def _own(name: Fingerprint, chosen: Chosen) -> frozenset[EndpointCrash]:
    """Give the ends of a request that no other chosen one explains."""
    others = (ends for other, ends in chosen.items() if other != name)
    return chosen[name].difference(*others)
