# Licensed under the Apache License 2.0: see LICENSE for details.

"""The state of a request in progress, common to all kinds of requests."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass, field

from walnutquay.coordination.requests.outcomes import Arrival
from walnutquay.transport.timers import monotonic


@dataclass(slots=True)
class Turn(ABC):
    """A request in progress, from admission to its outcome.

    :param arrival: the request as received.
    :param tried: endpoints that have failed it.
    :param waiting_since: when it started waiting for a slot; monotonic seconds.
    """

    arrival: Arrival
    tried: frozenset[str] = field(default=frozenset(), kw_only=True)
    waiting_since: float = field(default_factory=monotonic, kw_only=True)

    @property
    @abstractmethod
    def target(self) -> str:
        """The version or service that should run it next."""

    @property
    @abstractmethod
    def repeatable(self) -> bool:
        """Whether it may be sent again after an endpoint has failed it."""

    @property
    def session(self) -> str:
        """The session it belongs to; empty if none."""
        return ""

    @property
    def hint(self) -> str:
        """The endpoint that is likely to have its prompt cached."""
        return ""

    @property
    def prefix(self) -> str:
        """The key of its prompt's prefix; empty if it has no prompt."""
        return ""
