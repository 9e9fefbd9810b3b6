# Licensed under the Apache License 2.0: see LICENSE for details.

"""Hooks for the behaviour that differs between kinds of requests."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Collection

from walnutquay.coordination.requests.outcomes import Arrival
from walnutquay.coordination.requests.slots import Grant
from walnutquay.coordination.requests.turn import Turn
from walnutquay.exceptions import EndpointError, NotStartedError
from walnutquay.state.process.events import Facts
from walnutquay.state.process.ids import ServiceName, VersionName
from walnutquay.state.requests.crashtypes import CrashTarget
from walnutquay.state.requests.refusals import Refusal


class PathHooks(ABC):
    """Hooks that the request path calls at each step of a request."""

    @abstractmethod
    def no_longer_allowed(self, turn: Turn) -> Refusal | None:
        """Check a request against the current configuration right before a dispatch.

        :param turn: the request.
        :returns: why it may no longer run, or None if it may.
        """

    @abstractmethod
    def unready(self) -> Refusal | None:
        """Return why this VM lacks the state to serve requests, or None."""

    def facts_received(self, arrival: Arrival) -> Facts:
        """Return facts about a request for the log; the base class has none.

        :param arrival: the request.
        """
        return {}

    def facts_dispatched(self, turn: Turn, grant: Grant) -> Facts:
        """Return facts on why an endpoint was chosen; the base class has none.

        :param turn: the request.
        :param grant: the slot at the endpoint.
        """
        return {}

    def facts_state_age(self) -> Facts:
        """Return facts on the age of this VM's state; the base class has none."""
        return {}

    def on_dispatch(self, turn: Turn, grant: Grant) -> None:
        """Record that a request is being sent; the base class does nothing.

        :param turn: the request.
        :param grant: the slot at the endpoint.
        """
        return

    def on_not_started(self, turn: Turn, grant: Grant, error: NotStartedError) -> None:
        """Record that an endpoint did not start a request; the base does nothing.

        :param turn: the request.
        :param grant: the slot at the endpoint.
        :param error: the proof that it did not start.
        """
        return

    def on_failed(self, turn: Turn, grant: Grant, error: EndpointError) -> None:
        """Record that an endpoint failed; the base class does nothing.

        :param turn: the request.
        :param grant: the slot at the endpoint.
        :param error: how it failed.
        """
        return

    def on_broken(self, turn: Turn, grant: Grant) -> None:
        """Record that an answer broke off; the base class does nothing.

        Neither this VM's link nor a crash of the endpoint was the cause.

        :param turn: the request.
        :param grant: the slot at the endpoint.
        """
        return

    async def link_is_lost(
        self, turn: Turn, grant: Grant, error: EndpointError
    ) -> bool:
        """Return whether an attempt failed because of this VM's link to the endpoint.

        The base class knows nothing of links.

        :param turn: the request.
        :param grant: the slot at the endpoint.
        :param error: how it failed.
        """
        return False

    def is_current(self, grant: Grant) -> bool:
        """Return whether no later start of an endpoint is known.

        The base class knows of none.

        :param grant: the slot at the endpoint.
        """
        return True

    def targets(self, turn: Turn) -> Collection[CrashTarget]:
        """Return what may run a request now.

        In the base class the endpoints of a target have no versions.

        :param turn: the request.
        """
        return (CrashTarget(ServiceName(turn.target), VersionName("")),)

    def retarget(self, turn: Turn, refusal: Refusal) -> bool:
        """Switch a request to another target, if there is one.

        :param turn: the request.
        :param refusal: why the current target is unavailable.
        :returns: whether to try to acquire a slot again.
        """
        return False
