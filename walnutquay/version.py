# Licensed under the Apache License 2.0: see LICENSE for details.

"""The version of this library."""

from __future__ import annotations

__version__ = "0.1.0"
