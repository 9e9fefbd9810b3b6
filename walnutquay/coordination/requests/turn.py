# Licensed under the Apache License 2.0: see LICENSE for details.

"""A request on its way: what all kinds of them have in common."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass, field

from walnutquay.coordination.requests.outcomes import Arrival
from walnutquay.transport.timers import monotonic


@dataclass(slots=True)
class Turn(ABC):
    """A request on its way to an outcome.

    :param arrival: the request.
    :param tried: endpoints that have failed it.
    :param waiting_since: since when it has been looking for a place.
    """

    arrival: Arrival
    tried: frozenset[str] = field(default=frozenset(), kw_only=True)
    waiting_since: float = field(default_factory=monotonic, kw_only=True)

    @property
    @abstractmethod
    def target(self) -> str:
        """The version or service that is to run now."""

    @property
    @abstractmethod
    def repeatable(self) -> bool:
        """Whether it may be sent again after an endpoint has failed it."""

    @property
    def session(self) -> str:
        """The session that it belongs to; empty if none."""
        return ""

    @property
    def hint(self) -> str:
        """The endpoint that is likely to have its prompt cached."""
        return ""

    @property
    def prefix(self) -> str:
        """What stands for the beginning of its prompt; empty if it has none."""
        return ""
