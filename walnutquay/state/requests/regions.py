# Licensed under the Apache License 2.0: see LICENSE for details.

"""In which regions a request may run: those that all who have a say allow."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from typing import TypeVar

from walnutquay.state.process.ids import HallName, RegionName
from walnutquay.state.store.instances import Instance
from walnutquay.state.store.parts import Endpoint

Placed = TypeVar("Placed", Instance, Endpoint)


def allowed_regions(*said: Collection[str]) -> frozenset[RegionName] | None:
    """:param said: the regions that each one allows; none where it says nothing.

    :returns: those that all of them allow; None for all that there are.
    """
    sets = [frozenset(map(RegionName, one)) for one in said if one]
    return frozenset.intersection(*sets) if sets else None


def filter_by_region(
    endpoints: list[Placed],
    allowed: frozenset[RegionName] | None,
    region_of: Mapping[HallName, RegionName],
) -> list[Placed]:
    """Leave out the endpoints where a request may not run.

    :param endpoints: some endpoints.
    :param allowed: the regions in which it may; None for all.
    :param region_of: the region of each data hall; one whose region is not known
        stands in none that is allowed.
    """
    if allowed is None:
        return endpoints
    return [item for item in endpoints if region_of.get(HallName(item.hall)) in allowed]
