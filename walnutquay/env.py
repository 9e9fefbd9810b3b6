# Licensed under the Apache License 2.0: see LICENSE for details.

"""What the process needs of its environment before anything else is imported."""

from __future__ import annotations

import os


def forbid_io_uring() -> None:
    """Keep uvloop from opening io_uring descriptors, which the users forbid.

    libuv reads this variable when the first loop is made.
    """
    os.environ["UV_USE_IO_URING"] = "0"


def skip_certificates() -> None:
    """Keep aiohttp from reading all certificate authorities as it is imported.

    For daemons that speak plain HTTP only: a TLS connection could not be verified.
    """
    os.environ["SSL_CERT_FILE"] = os.devnull
    os.environ["SSL_CERT_DIR"] = os.devnull
