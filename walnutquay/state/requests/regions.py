# Licensed under the Apache License 2.0: see LICENSE for details.

"""The regions in which a request may run: those that all constraints allow."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from typing import TypeVar

from walnutquay.state.process.ids import HallName, RegionName
from walnutquay.state.store.instances import Instance
from walnutquay.state.store.parts import Endpoint

Placed = TypeVar("Placed", Instance, Endpoint)


def allowed_regions(*constraints: Collection[str]) -> frozenset[RegionName] | None:
    """Intersect the regions that several constraints allow.

    :param constraints: the regions that each constraint allows; empty if it does not
        restrict them.
    :returns: the regions that all constraints allow; None for all regions.
    """
    sets = [frozenset(map(RegionName, names)) for names in constraints if names]
    return frozenset.intersection(*sets) if sets else None


def filter_by_region(
    endpoints: list[Placed],
    allowed: frozenset[RegionName] | None,
    region_of: Mapping[HallName, RegionName],
) -> list[Placed]:
    """Filter out the endpoints at which a request may not run.

    :param endpoints: the endpoints to filter.
    :param allowed: the regions in which the request may run; None for all.
    :param region_of: the region of each data hall; a hall of unknown region is in none
        of the allowed regions.
    """
    if allowed is None:
        return endpoints
    return [item for item in endpoints if region_of.get(HallName(item.hall)) in allowed]
