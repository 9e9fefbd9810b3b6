# Licensed under the Apache License 2.0: see LICENSE for details.

"""Verdicts on what in requests crashes the endpoints that run them."""

from __future__ import annotations

from dataclasses import dataclass

from walnutquay.state.process.ids import Feature, PartName
from walnutquay.state.requests.attribution import CRASHES_TO_BLOCK
from walnutquay.state.requests.crashtypes import CrashTarget, EndpointCrash
from walnutquay.state.requests.features import part_of

# So many requests with a part do not meet crashes of other causes by chance.
REQUESTS_TO_CONFIRM = 4


@dataclass(frozen=True, slots=True)
class Verdict:
    """What crashes the endpoints of a version.

    :param target: the version.
    :param feature: the feature to which the crashes are attributed.
    :param features: the features that the crashes do not tell apart from it; a request
        that has all of them is blocked.
    :param crashes: the crashes, the earliest first.
    :param moments: the number of crashes that count.
    """

    target: CrashTarget
    feature: Feature
    features: frozenset[Feature]
    crashes: tuple[EndpointCrash, ...]
    moments: int

    @property
    def part(self) -> PartName | None:
        """The part that crashes are attributed to; None for a whole request."""
        return part_of(self.feature)

    @property
    def parts(self) -> frozenset[PartName]:
        """The parts that the crashes do not tell apart."""
        return frozenset(
            part for feature in self.features if (part := part_of(feature)) is not None
        )

    @property
    def is_provisional(self) -> bool:
        """Whether a part may have been at the crashes by chance."""
        if self.part is None or self.moments > CRASHES_TO_BLOCK:
            return False
        requests = {
            name for crash in self.crashes for name in crash.requests.get(self.part, ())
        }
        return len(requests) < REQUESTS_TO_CONFIRM

    def applies_to(self, features: frozenset[Feature]) -> bool:
        """Return whether a request with some features is blocked.

        :param features: all features of the request.
        """
        return self.features <= features
