# Licensed under the Apache License 2.0: see LICENSE for details.

"""What the paths of different kinds of requests do in their own ways."""

from __future__ import annotations

from abc import ABC, abstractmethod

from walnutquay.coordination.requests.outcomes import Arrival
from walnutquay.coordination.requests.slots import Grant
from walnutquay.coordination.requests.turn import Turn
from walnutquay.exceptions import EndpointError, NotStartedError
from walnutquay.state.process.events import Facts
from walnutquay.state.requests.refusals import Refusal


class PathHooks(ABC):
    """Asked and told by the path of a request at each of its steps."""

    @abstractmethod
    def no_longer_allowed(self, turn: Turn) -> Refusal | None:
        """Ask the configuration of this moment, right before a dispatch.

        :param turn: the request.
        :returns: why it may not run any more, or None.
        """

    @abstractmethod
    def unready(self) -> Refusal | None:
        """:returns: why this VM knows too little to serve, or None."""

    def facts_received(self, arrival: Arrival) -> Facts:
        """Tell of a request, for the log; the base has nothing to tell.

        :param arrival: the request.
        """
        return {}

    def facts_dispatched(self, turn: Turn, grant: Grant) -> Facts:
        """Tell what made a request go where it goes; the base has nothing to tell.

        :param turn: the request.
        :param grant: the endpoint.
        """
        return {}

    def facts_state_age(self) -> Facts:
        """:returns: how old what this VM knows is; nothing in the base."""
        return {}

    def on_dispatch(self, turn: Turn, grant: Grant) -> None:
        """Note that a request is sent now; the base has nothing to note.

        :param turn: the request.
        :param grant: the endpoint.
        """
        return

    def on_not_started(self, turn: Turn, grant: Grant, error: NotStartedError) -> None:
        """Note that an endpoint did not begin; the base has nothing to note.

        :param turn: the request.
        :param grant: the endpoint.
        :param error: how that is known.
        """
        return

    def on_failed(self, turn: Turn, grant: Grant, error: EndpointError) -> None:
        """Note that an endpoint failed; the base has nothing more to note.

        :param turn: the request.
        :param grant: the endpoint.
        :param error: how it failed.
        """
        return

    def is_current(self, grant: Grant) -> bool:
        """:param grant: an endpoint.

        :returns: whether no later start of it is known; the base knows of none.
        """
        return True

    def retarget(self, turn: Turn, refusal: Refusal) -> bool:
        """Change the turn's target, where there is another.

        :param turn: the request.
        :param refusal: why the present target cannot be had.
        :returns: whether to look for a place again.
        """
        return False
