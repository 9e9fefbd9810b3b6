# Licensed under the Apache License 2.0: see LICENSE for details.

"""Walnutquay: a model-aware router for versions and cascades."""

from __future__ import annotations

from walnutquay.version import __version__

__all__ = ["__version__"]
