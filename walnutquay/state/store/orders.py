# Licensed under the Apache License 2.0: see LICENSE for details.

"""Operators' orders to roll out a new version of a service."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from walnutquay.state.process.ids import ServiceName, VersionName
from walnutquay.state.process.revisions import StoreRevision


class OrderState(Enum):
    """The state of an order."""

    # No entry VM has reported on it yet.
    NEW = "new"
    RUNNING = "running"
    DONE = "done"
    WITHDRAWN = "withdrawn"

    @property
    def ended(self) -> bool:
        """Whether the roll-out has been decided."""
        return self in (OrderState.DONE, OrderState.WITHDRAWN)


@dataclass(frozen=True, slots=True)
class RolloutOrder:
    """An order to move a service's requests to a new version.

    :param name: the order's name in the store.
    :param revision: the store's revision of the object, for conditional writes.
    :param service: the service.
    :param version: the new version.
    :param seconds: the time within which the roll-out must be decided.
    :param state: the order's state.
    :param started: when an entry VM first saw it, in seconds of Unix time; None if no
        VM has reported it.
    """

    name: str
    revision: StoreRevision
    service: ServiceName
    version: VersionName
    seconds: float
    state: OrderState
    started: float | None = None

    def is_same_order(self, other: RolloutOrder) -> bool:
        """Return whether operators have ordered the same, whatever became of it.

        :param other: an order of the same name.
        """
        return (self.service, self.version, self.seconds) == (
            other.service,
            other.version,
            other.seconds,
        )
