# Licensed under the Apache License 2.0: see LICENSE for details.

"""The processes of a small fleet."""

from __future__ import annotations

import asyncio
import signal
from dataclasses import dataclass
from pathlib import Path

HOST = "127.0.0.1"


@dataclass
class Process:
    """A process that this fleet has started.

    :param name: its name here.
    :param handle: the process.
    :param ports: the ports it has announced.
    """

    name: str
    handle: asyncio.subprocess.Process
    ports: dict[str, int]

    @property
    def running(self) -> bool:
        """Whether it has not ended."""
        return self.handle.returncode is None

    def signal(self, number: signal.Signals) -> None:
        """:param number: the signal to send."""
        if self.running:
            self.handle.send_signal(number)


@dataclass
class Vm:
    """An entry VM of the fleet.

    :param name: its name.
    :param hall: its data hall.
    :param process: its process; None before it is started.
    :param settings: its settings file.
    """

    name: str
    hall: str
    process: Process | None = None
    settings: Path | None = None

    def url(self, port: str) -> str:
        """:param port: ``callers`` or ``administration``.

        :returns: where it listens.
        """
        assert self.process is not None
        return f"http://{HOST}:{self.process.ports[port]}"
