# Licensed under the Apache License 2.0: see LICENSE for details.

"""What requests may have in common: their whole content, or a part of their prompts."""

from __future__ import annotations

from dataclasses import dataclass

from walnutquay.state.process.ids import Feature, Fingerprint, PartName

# No fingerprint begins so: callers choose the names of parts.
PART_PREFIX = "part "


def request_feature(fingerprint: Fingerprint) -> Feature:
    """Return the feature that only attempts of one request have.

    :param fingerprint: the request.
    """
    return Feature(fingerprint)


def part_feature(part: PartName) -> Feature:
    """Return the feature that all prompts with a part have.

    :param part: the part.
    """
    return Feature(PART_PREFIX + part)


def part_of(feature: Feature) -> PartName | None:
    """Return the part that a feature stands for; None for a whole request.

    :param feature: the feature.
    """
    if not feature.startswith(PART_PREFIX):
        return None
    return PartName(feature.removeprefix(PART_PREFIX))


@dataclass(frozen=True, slots=True)
class RequestFeatures:
    """The features of a request.

    :param fingerprint: identifies its whole content.
    :param parts: the parts of its prompt that others may share.
    """

    fingerprint: Fingerprint
    parts: tuple[PartName, ...] = ()

    def all(self) -> frozenset[Feature]:
        """Return all of them."""
        parts = (part_feature(part) for part in self.parts)
        return frozenset((request_feature(self.fingerprint), *parts))
