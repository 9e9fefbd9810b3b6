# Licensed under the Apache License 2.0: see LICENSE for details.

"""The commands' way to the administration API."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from functools import wraps
from typing import Any

import aiohttp
import click

from walnutquay.commands.output import ExitCode, fail

TIMEOUT_SECONDS = 30.0
EXIT_CODE_OF = {
    409: ExitCode.CONFLICT,
    503: ExitCode.PLATFORM,
    504: ExitCode.UNCLEAR,
}


@dataclass(frozen=True)
class Fleet:
    """Where the administration API is, and the operators' token.

    :param url: one VM's administration API.
    :param token: the token.
    """

    url: str
    token: str

    async def call(self, method: str, path: str, body: Any = None) -> Any:
        """Call the API.

        :param method: the HTTP method.
        :param path: the path.
        :param body: what to send.
        :returns: the answer; where it is an error, the command ends.
        """
        headers = {"authorization": f"Bearer {self.token}"}
        timeout = aiohttp.ClientTimeout(total=TIMEOUT_SECONDS)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout, headers=headers) as session,
                session.request(method, self.url + path, json=body) as answer,
            ):
                value = await answer.json()
                status = answer.status
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            fail(f"{self.url} does not answer: {error or type(error).__name__}")
        if status != 200:
            reason = value["error"].get("reason", value)
            fail(reason, EXIT_CODE_OF.get(status, ExitCode.NOT_DONE))
        return value

    async def reach(self, url: str, path: str) -> Any | None:
        """Get from a given VM, which may not answer.

        :param url: its administration API.
        :param path: the path.
        :returns: the answer, or None.
        """
        headers = {"authorization": f"Bearer {self.token}"}
        timeout = aiohttp.ClientTimeout(total=2.0)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout, headers=headers) as session,
                session.get(url + path) as answer,
            ):
                return await answer.json() if answer.status == 200 else None
        except (aiohttp.ClientError, TimeoutError, OSError):
            return None

    async def members(self) -> list[str]:
        """:returns: the administration API of each live VM, this one first."""
        status = await self.call("GET", "/v1/status")
        others = [
            f"http://{member['administration']}"
            for member in status["members"]
            if member["state"] != "silent"
        ]
        return [self.url, *others]


def fleet_command(function: Callable) -> Callable:
    """Give a command the options that lead to the API, and run it in a loop.

    :param function: a coroutine function whose first argument is the fleet.
    """

    @click.option(
        "--url",
        envvar="WALNUTQUAY_URL",
        required=True,
        help="One VM's administration API, such as http://10.0.0.5:8081.",
    )
    @click.option(
        "--token",
        envvar="WALNUTQUAY_TOKEN",
        required=True,
        help="The operators' token; better set by WALNUTQUAY_TOKEN.",
    )
    @wraps(function)
    def wrapper(url: str, token: str, **arguments: Any) -> None:
        asyncio.run(function(Fleet(url.rstrip("/"), token), **arguments))

    return wrapper
