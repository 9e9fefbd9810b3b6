# Licensed under the Apache License 2.0: see LICENSE for details.

"""Attribution of endpoint crashes to the fewest features that explain all of them."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass

from walnutquay.state.process.ids import Feature
from walnutquay.state.requests.crashtypes import EndpointCrash
from walnutquay.state.requests.features import part_of

# A feature is blocked after being present at this many endpoint crashes.  With fewer, a
# request that ran next to a crashing request by chance would be blocked as well.
CRASHES_TO_BLOCK = 3
# This many of the crashes must have no other explanation.  A request that ran next to
# several crashing requests was present at as many crashes as they were, and one further
# crash may be a coincidence.
OWN_CRASHES_TO_BLOCK = 2
# A feature at fewer crashes explains nothing: any request that was running at a single
# crash may have caused it.
CRASHES_TO_EXPLAIN = 2


@dataclass(frozen=True, slots=True)
class Suspect:
    """A feature of requests that were running at several endpoint crashes.

    :param crashes: the crashes.
    :param moments: the number of crashes, where simultaneous ones may count as one.
    :param runtimes: the time for which each endpoint may have run a request with the
        feature before it crashed; seconds, infinite if unknown.
    """

    crashes: frozenset[EndpointCrash]
    moments: int
    runtimes: tuple[float, ...]


Suspects = Mapping[Feature, Suspect]


def crashing_features(suspects: Suspects) -> dict[Feature, Suspect]:
    """Find the features to which endpoint crashes are attributed.

    :param suspects: the features, with the crashes at which they were present.
    :returns: the features to block; requests with them are not sent to endpoints.
    """
    if not any(one.moments >= CRASHES_TO_BLOCK for one in suspects.values()):
        return {}
    chosen = _without_redundant(fewest_explaining(suspects))
    return {
        feature: suspect
        for feature, suspect in chosen.items()
        if suspect.moments >= CRASHES_TO_BLOCK
    }


def fewest_explaining(suspects: Suspects) -> dict[Feature, Suspect]:
    """Choose features that explain all crashes, always taking the best one next.

    The best feature is the one that explains most of the unexplained crashes.

    :param suspects: the features.
    """
    remaining = {
        feature: suspect
        for feature, suspect in suspects.items()
        if len(suspect.crashes) >= CRASHES_TO_EXPLAIN
    }
    chosen: dict[Feature, Suspect] = {}
    explained: set[EndpointCrash] = set()
    while remaining:
        best = max(
            remaining,
            key=lambda feature: (
                len(remaining[feature].crashes - explained),
                *_rank(feature, remaining[feature]),
            ),
        )
        if remaining[best].crashes <= explained:
            break
        chosen[best] = remaining.pop(best)
        explained |= chosen[best].crashes
    return chosen


def _without_redundant(chosen: dict[Feature, Suspect]) -> dict[Feature, Suspect]:
    """Remove features that explain fewer than two crashes on their own, weakest first.

    A request that ran next to three crashing requests, at one crash of each, is chosen
    first although it caused none; one further crash may have had another cause.
    """
    remaining = dict(chosen)
    while remaining:
        weakest = min(
            remaining,
            key=lambda feature: (
                len(_own_crashes(feature, remaining)),
                len(remaining[feature].crashes),
                *_rank(feature, remaining[feature]),
            ),
        )
        if len(_own_crashes(weakest, remaining)) >= OWN_CRASHES_TO_BLOCK:
            break
        del remaining[weakest]
    return remaining


def _rank(feature: Feature, suspect: Suspect) -> tuple[int, float, float, bool, str]:
    """Return a sort key among features at equally many crashes, likelier cause higher.

    A crashing request crashes an endpoint soon after the endpoint starts to run it,
    whether its answer has started by then or not; a request that ran next to it may
    have been at the first endpoint for any length of time.  A whole request goes
    before the parts that it alone had at all of its crashes.
    """
    known = [seconds for seconds in suspect.runtimes if math.isfinite(seconds)]
    longest = -max(known, default=0.0)
    return (len(known), longest, -sum(known), part_of(feature) is None, feature)


def _own_crashes(
    feature: Feature, chosen: Mapping[Feature, Suspect]
) -> frozenset[EndpointCrash]:
    """Return the crashes of a feature that no other chosen feature explains."""
    others = (one.crashes for other, one in chosen.items() if other != feature)
    return chosen[feature].crashes.difference(*others)
