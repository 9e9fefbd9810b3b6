# Licensed under the Apache License 2.0: see LICENSE for details.

"""Who a caller or operator is, from the key that it presents."""

from __future__ import annotations

import hmac

from walnutquay.state.own.configuration import Configuration
from walnutquay.state.process.keys import bearer_key, key_hash
from walnutquay.state.store.parts import Organisation


def caller_of(configuration: Configuration, header: str | None) -> Organisation | None:
    """:param configuration: what is in force.

    :param header: the caller's ``Authorization`` header.
    :returns: whose key it is, or None.
    """
    key = bearer_key(header)
    return configuration.by_key_hash.get(key_hash(key)) if key else None


def is_operator(token_hash: str, header: str | None) -> bool:
    """:param token_hash: the hash of the operators' token.

    :param header: the ``Authorization`` header.
    """
    return hmac.compare_digest(token_hash, key_hash(bearer_key(header)))
