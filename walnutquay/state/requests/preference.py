# Licensed under the Apache License 2.0: see LICENSE for details.

"""The endpoints that all VMs prefer for a key, without exchanging messages."""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Sequence

import xxhash

from walnutquay.state.process.ids import EndpointName

# A request is kept apart from so many others; among more, it would not be.
MAX_APART = 8


def preferred_endpoint(names: Sequence[EndpointName], key: str) -> EndpointName | None:
    """Choose the endpoint that all VMs prefer for a key.

    :param names: the endpoints to choose from.
    :param key: the beginning of a prompt, or the fingerprint of a request; empty for
        none.
    :returns: the endpoint; None without endpoints or without a key.
    """
    if not names or not key:
        return None
    scores = preference_scores(names, key)
    return names[scores.index(max(scores))]


def endpoints_apart(
    names: Sequence[EndpointName], key: str, others: Collection[str]
) -> list[EndpointName]:
    """Return the endpoints at which a request is least likely to meet some others.

    The VM that has another request may not know of this one: then that request goes to
    the endpoint that all VMs prefer for it.  Otherwise both VMs divide the endpoints
    between the two requests by a hash of their keys.

    :param names: the endpoints to choose from.
    :param key: the request's fingerprint.
    :param others: the fingerprints of the others.
    :returns: some of the endpoints; all if there are too many others.
    """
    if not names or len(others) > MAX_APART:
        return list(names)
    meetings = Counter(preferred_endpoint(names, other) for other in others)
    for other in others:
        low, high = sorted((key, other))
        for name in names:
            digest = xxhash.xxh3_64_intdigest(f"{low}\n{high}\n{name}".encode())
            meetings[name] += (high if digest % 2 else low) == other
    fewest = min(meetings[name] for name in names)
    return [name for name in names if meetings[name] == fewest]


def preference_scores(names: Sequence[EndpointName], key: str) -> list[int]:
    """Return a score for each endpoint; the one with the highest is preferred.

    :param names: the endpoints.
    :param key: the key.
    """
    digest = xxhash.xxh3_64_intdigest
    return [digest(f"{key}\n{name}".encode()) for name in names]
