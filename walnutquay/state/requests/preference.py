# Licensed under the Apache License 2.0: see LICENSE for details.

"""The endpoints that all VMs prefer for a key, without exchanging messages."""

from __future__ import annotations

from collections.abc import Sequence

import xxhash

from walnutquay.state.process.ids import EndpointName


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


def preference_scores(names: Sequence[EndpointName], key: str) -> list[int]:
    """Return a score for each endpoint; the one with the highest is preferred.

    :param names: the endpoints.
    :param key: the key.
    """
    digest = xxhash.xxh3_64_intdigest
    return [digest(f"{key}\n{name}".encode()) for name in names]
