# Licensed under the Apache License 2.0: see LICENSE for details.

"""The daemon of an entry VM: it assembles the parts, serves, and stops."""

from __future__ import annotations

import asyncio
import signal
import sys
from collections.abc import Callable

import logbook
import orjson
import uvloop

from walnutquay.coordination.fleet.connectiongate import CallerGate
from walnutquay.coordination.own.parts import Parts
from walnutquay.daemon.administration import AdministrationApi
from walnutquay.daemon.callers import CallersApi
from walnutquay.daemon.collector import tune_collector
from walnutquay.logs import open_log
from walnutquay.settings import Settings
from walnutquay.state.process.events import EventKind
from walnutquay.transport.loops import new_loop

log = logbook.Logger(__name__)

SECONDS_PER_DAY = 86400.0


class EntryDaemon:
    """Runs one entry VM until it is told to stop.

    :param settings: the daemon's settings.
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        options = settings.options
        self.parts = Parts(settings)
        self.callers = CallersApi(
            self.parts.context,
            options.callers,
            self.parts.configurations,
            self.parts.chats,
            self.parts.services,
            options.fleet.token_days * SECONDS_PER_DAY,
        )
        parts = self.parts
        self.gate = CallerGate(parts.context, parts.members, parts.dispatcher)
        self.callers.server.takes = self.gate.takes
        self.callers.server.traffic = parts.traffic
        self.callers.server.on_listening = self.gate.wait.listens_at
        self.administration = AdministrationApi(options.administration, self.parts)
        self.stopping = asyncio.Event()

    async def run(self, announce: Callable[[dict[str, int]], None]) -> None:
        """Serve until :attr:`stopping` is set, then stop as planned.

        :param announce: told the ports once all of them listen.
        """
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stopping.set)
        await self.administration.start()
        self.parts.administration_port = self.administration.server.port
        await self.parts.start()
        await self.callers.start()
        self.parts.context.timeline.emit(EventKind.STARTED)
        tune_collector()
        announce(self.ports())
        await self.stopping.wait()
        await self.stop()

    def ports(self) -> dict[str, int]:
        """:returns: the ports that listen, by their section's name."""
        return {
            "callers": self.callers.server.port,
            "administration": self.administration.server.port,
            "peers": self.parts.node.port,
        }

    async def stop(self) -> None:
        """Stop without cutting a request or losing a bill."""
        section = self.settings.options.stop
        parts = self.parts
        parts.context.timeline.emit(EventKind.STOPPING)
        log.info("stopping: not ready from now on")
        self.callers.open = False
        self.callers.server.draining = True
        parts.leaving = True
        parts.members.broadcast_heartbeat()
        await parts.rollouts.lease.release()
        # The balancer goes on sending callers here until it has noticed.
        await asyncio.sleep(section.balancer_seconds)
        self.gate.close()
        self.callers.server.close_listener()
        parts.close_requests()
        loop = asyncio.get_running_loop()
        end = loop.time() + section.finish_seconds
        if not await parts.finish_requests(section.finish_seconds):
            log.error("{} requests did not finish in time", parts.in_flight())
        if not await self.callers.server.all_sent(end - loop.time()):
            log.error("callers have not taken all answers in time")
        if not await parts.flush_bills():
            log.warn("bills are left to peer {!r}", parts.billing.copy_peer)
        await self.callers.server.stop()
        parts.context.timeline.emit(EventKind.STOPPED)
        await parts.stop()
        await self.administration.server.stop()
        log.info("stopped")


def announce_on_stdout(ports: dict[str, int]) -> None:
    """Print the ports as one line of JSON, for whoever started the daemon.

    :param ports: the ports that listen.
    """
    sys.stdout.write(orjson.dumps({"ready": ports}).decode() + "\n")
    sys.stdout.flush()


async def _serve(settings: Settings) -> None:
    daemon = EntryDaemon(settings)
    await daemon.run(announce_on_stdout)


def run_entry(settings: Settings) -> None:
    """Run the daemon in this process until it is told to stop.

    :param settings: the daemon's settings.
    """
    open_log(settings.options.log, settings.options.vm.name)
    uvloop.run(_serve(settings), loop_factory=new_loop)
