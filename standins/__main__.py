# Licensed under the Apache License 2.0: see LICENSE for details.

"""Runs one stand-in as a process: ``python -m standins KIND [--option value]``."""

from __future__ import annotations

import asyncio
import json
import signal
import sys

import click
from aiohttp import web

from standins.engine import EngineStandIn
from standins.engineoptions import EngineOptions
from standins.platform import PlatformStandIn
from standins.rater import RaterStandIn
from standins.service import ServiceOptions, ServiceStandIn
from standins.weights import WeightsStandIn

MAKERS = {
    "platform": lambda options: PlatformStandIn(**options),
    "engine": lambda options: EngineStandIn(EngineOptions(**options)),
    "service": lambda options: ServiceStandIn(ServiceOptions(**options)),
    "rater": lambda options: RaterStandIn(),
    "weights": lambda options: WeightsStandIn(**options),
}


async def serve(kind: str, options: dict, host: str, port: int) -> None:
    """Serve until told to stop, and print the port as one line of JSON.

    :param kind: which stand-in.
    :param options: its options.
    :param host: the IP number to listen at.
    :param port: the port; 0 takes a free one.
    """
    stand_in = MAKERS[kind](options)
    runner = web.AppRunner(
        stand_in.app, access_log=None, handler_cancellation=True, shutdown_timeout=1.0
    )
    await runner.setup()
    site = web.TCPSite(runner, host, port)
    await site.start()
    listening = runner.addresses[0][1]
    sys.stdout.write(json.dumps({"ready": {"http": listening}}) + "\n")
    sys.stdout.flush()
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await stop.wait()
    await runner.cleanup()


@click.command()
@click.argument("kind", type=click.Choice(sorted(MAKERS)))
@click.option("--options", default="{}", help="Options of the stand-in, as JSON.")
@click.option("--host", default="127.0.0.1", help="IP number to listen at.")
@click.option("--port", default=0, help="Port; 0 takes a free one.")
def main(kind: str, options: str, host: str, port: int) -> None:
    """Run one stand-in."""
    asyncio.run(serve(kind, json.loads(options), host, port))


if __name__ == "__main__":
    main()
