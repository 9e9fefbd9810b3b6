# Licensed under the Apache License 2.0: see LICENSE for details.

"""The rules that the platform names as being in force."""

from __future__ import annotations

from collections.abc import Collection

from walnutquay.state.routed.overloadscope import Coverage

# Callers compete for slots that are too few at times.
SCARCE_SLOTS = "pressure"


def coverage_by_rules(rules: Collection[str]) -> Coverage:
    """Return for which services the rules ask for decisions under overload.

    :param rules: the names of the rules in force.
    """
    return Coverage.ALWAYS if SCARCE_SLOTS in rules else Coverage.PACED
