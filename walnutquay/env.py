# Licensed under the Apache License 2.0: see LICENSE for details.

"""What the process needs of its environment before anything else is imported."""

from __future__ import annotations

import os
import signal
from collections.abc import Sequence

# The commands that run until they are stopped.
DAEMONS = ("entry", "gateway")


def forbid_io_uring() -> None:
    """Keep uvloop from opening io_uring descriptors, which the users forbid.

    libuv reads this variable when the first loop is made.
    """
    os.environ["UV_USE_IO_URING"] = "0"


def ignore_hangup(arguments: Sequence[str]) -> None:
    """Keep SIGHUP from ending a daemon that is still being imported.

    Settings are read once, so there is nothing else to do for it.

    :param arguments: those of the command line, without the program.
    """
    if arguments and arguments[0] in DAEMONS:
        signal.signal(signal.SIGHUP, signal.SIG_IGN)


def skip_certificates() -> None:
    """Keep aiohttp from reading all certificate authorities as it is imported.

    For daemons that speak plain HTTP only: a TLS connection could not be verified.
    """
    os.environ["SSL_CERT_FILE"] = os.devnull
    os.environ["SSL_CERT_DIR"] = os.devnull
