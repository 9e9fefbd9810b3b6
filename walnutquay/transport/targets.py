# Licensed under the Apache License 2.0: see LICENSE for details.

"""Where requests go."""

from __future__ import annotations

from yarl import URL

from walnutquay.exceptions import NotStartedError

# The step of an error before anything was sent, as the other side cannot be connected
# to or refuses that.
STEP_CONNECT = "connect"


def read_target(url: str, peer: str) -> URL:
    """Read where a request goes; the caller's escapes are passed on as they are.

    :param url: the whole URL.
    :param peer: the endpoint's name, for errors.
    :raises NotStartedError: if there is no such place.
    """
    target = URL(url, encoded=True)
    try:
        # The library checks a port only as it is used.
        has_place = bool(target.host and target.port)
    except ValueError:
        has_place = False
    if not has_place:
        raise NotStartedError("it has no address", step=STEP_CONNECT, peer=peer)
    return target
