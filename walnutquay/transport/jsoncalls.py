# Licensed under the Apache License 2.0: see LICENSE for details.

"""Small JSON answers, by aiohttp."""

from __future__ import annotations

import aiohttp
import orjson

from walnutquay.exceptions import EndpointError
from walnutquay.transport.client import read_whole


async def get_json(session: aiohttp.ClientSession, url: str, timeout: float) -> object:
    """Get a small JSON answer.

    :param session: the session to use.
    :param url: where from.
    :param timeout: seconds in all.
    :raises EndpointError: if none comes.
    """
    limits = aiohttp.ClientTimeout(total=timeout)
    try:
        async with session.get(url, timeout=limits) as answer:
            answer.raise_for_status()
            return orjson.loads(await read_whole(answer, url))
    except (
        TimeoutError,
        aiohttp.ClientError,
        OSError,
        orjson.JSONDecodeError,
    ) as error:
        raise EndpointError(str(error), step="get", peer=url) from error
