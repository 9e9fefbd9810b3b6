# Licensed under the Apache License 2.0: see LICENSE for details.

"""Log fields that show how a routed request was decided.

All fields and their units are listed in ``docs/OPERATIONS.md``.
"""

from __future__ import annotations

import math

from walnutquay.coordination.requests.outcomes import Arrival
from walnutquay.coordination.requests.slots import Grant
from walnutquay.coordination.routed.admission import RoutedAdmission
from walnutquay.coordination.routed.turn import RoutedArrival, RoutedTurn
from walnutquay.coordination.store.knowledge import Knowledge
from walnutquay.protocol.calls import AnswerHead
from walnutquay.state.process.events import Facts
from walnutquay.state.requests.endpoints import EndpointTable
from walnutquay.state.store.instances import Instance
from walnutquay.state.trials.choice import VersionChoice
from walnutquay.transport.timers import monotonic

MILLISECONDS = 1000.0
# The number of decimal places of logged shares of sessions.
SHARE_DIGITS = 3


class RoutedFacts:
    """Collects what this VM knew when it decided about a request.

    :param knowledge: the state read from the store.
    :param admission: grants slots at endpoints.
    :param table: the load and health of endpoints.
    """

    def __init__(
        self, knowledge: Knowledge, admission: RoutedAdmission, table: EndpointTable
    ) -> None:
        self.knowledge = knowledge
        self.admission = admission
        self.table = table

    def received(self, arrival: Arrival) -> Facts:
        """Return the fields of a request that was received.

        :param arrival: the request.
        :returns: its organisation, what it requests, and its deadline.
        """
        assert isinstance(arrival, RoutedArrival)
        route = arrival.route
        return {
            "route": route.name,
            "route_kind": route.kind.value,
            "organisation": arrival.organisation.name,
            "priority": arrival.priority,
            "tokens": arrival.head.prompt.tokens,
            "aim_ms": whole_ms(route.objective_seconds),
            "pause_aim_ms": whole_ms(route.pause_seconds),
            "left_ms": whole_ms(arrival.deadline - monotonic()),
            "configuration": arrival.catalogue_version,
        }

    def dispatched(self, turn: RoutedTurn, grant: Grant) -> Facts:
        """Return the fields of a request that is being dispatched.

        :param turn: the request.
        :param grant: the slot that it was granted.
        :returns: the state of the endpoint, and the age of that state.
        """
        endpoint = grant.endpoint
        assert isinstance(endpoint, Instance)
        now = monotonic()
        facts = self.table.state_of(endpoint.name)
        return {
            "hall": endpoint.hall,
            "runs": endpoint.version,
            "model": turn.model_name,
            "sends": turn.sends,
            "load": facts.load(now),
            "load_age_ms": whole_ms(now - facts.reported_at),
            "pace": facts.pace,
            "slots": endpoint.slots,
            "cold": self.admission.cold.is_limited(endpoint, now),
            "limit": self.admission.rates.rate(endpoint.name, now),
            "reading_ms": whole_ms(self.admission.work.wait(endpoint.name, now)),
            "list_age_ms": whole_ms(self.knowledge.instance_follower.age()),
            "left_ms": whole_ms(turn.seconds_left()),
            **_choice_facts(turn.choice),
        }

    def begun(self, turn: RoutedTurn, head: AnswerHead, seconds: float) -> Facts:
        """Return the fields of an answer that is now passed on to the caller.

        :param turn: the request.
        :param head: the answer's head.
        :param seconds: the time since the request was sent to the endpoint.
        :returns: the model that answers, its confidence, and the time that it took.
        """
        return {
            "model": turn.model_name,
            "confidence": head.confidence,
            "after_ms": whole_ms(seconds),
        }

    def state_age(self) -> Facts:
        """Return the age of this VM's state, for requests that it refuses."""
        catalogue = self.knowledge.catalogue.current
        return {
            "configuration": catalogue.version if catalogue is not None else None,
            "configuration_age_ms": whole_ms(self.knowledge.catalogue_follower.age()),
            "list_age_ms": whole_ms(self.knowledge.instance_follower.age()),
        }


def _choice_facts(choice: VersionChoice | None) -> Facts:
    """Return the fields of the choice between the version on trial and the old one."""
    if choice is None:
        return {}
    return {
        "chosen_by": choice.reason.value,
        "share": round(choice.share, SHARE_DIGITS),
        "trial_ms": whole_ms(choice.trial_seconds),
        "session_age_ms": whole_ms(choice.session_age),
    }


def whole_ms(seconds: float) -> int | None:
    """Convert a time or an age to whole milliseconds.

    :param seconds: the time.
    :returns: milliseconds; None if the time is unknown.
    """
    return round(seconds * MILLISECONDS) if math.isfinite(seconds) else None
