# Licensed under the Apache License 2.0: see LICENSE for details.

"""Operators' orders to bring in a new version of a service."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from walnutquay.state.process.ids import ServiceName, VersionName


class OrderState(Enum):
    """Where an order stands."""

    # Nobody has said anything of it yet.
    NEW = "new"
    RUNNING = "running"
    DONE = "done"
    WITHDRAWN = "withdrawn"

    @property
    def ended(self) -> bool:
        """Whether nothing is left to decide."""
        return self in (OrderState.DONE, OrderState.WITHDRAWN)


@dataclass(frozen=True, slots=True)
class RolloutOrder:
    """An order to move a service's requests to a new version.

    :param name: the order's name in the store.
    :param revision: the store's revision of the object, for conditional writes.
    :param service: the service.
    :param version: the new version.
    :param seconds: in which it is to be decided.
    :param state: where it stands.
    :param started: when an entry VM first saw it; seconds of Unix time, or None
        where none has said so.
    """

    name: str
    revision: int
    service: ServiceName
    version: VersionName
    seconds: float
    state: OrderState
    started: float | None = None
