# Licensed under the Apache License 2.0: see LICENSE for details.

"""What decided about a routed request, as log lines tell it.

Names and units of all facts stand in ``docs/OPERATIONS.md``.
"""

from __future__ import annotations

import math

from walnutquay.coordination.requests.outcomes import Arrival
from walnutquay.coordination.requests.places import Grant
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
# Shares of sessions are logged to so many digits.
SHARE_DIGITS = 3


class RoutedFacts:
    """Tells what this VM knew when it decided about a request.

    :param knowledge: what is known from the store.
    :param admission: the places at endpoints.
    :param table: what is known of endpoints' load and health.
    """

    def __init__(
        self, knowledge: Knowledge, admission: RoutedAdmission, table: EndpointTable
    ) -> None:
        self.knowledge = knowledge
        self.admission = admission
        self.table = table

    def received(self, arrival: Arrival) -> Facts:
        """:param arrival: a request as it came.

        :returns: whose it is, what it asks for, and by when.
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
        """:param turn: a request that is sent now.

        :param grant: the place that it got.
        :returns: what is known of the endpoint, and how old that is.
        """
        endpoint = grant.endpoint
        assert isinstance(endpoint, Instance)
        now = monotonic()
        facts = self.table.of(endpoint.name)
        return {
            "hall": endpoint.hall,
            "runs": endpoint.version,
            "model": turn.model_name,
            "sends": turn.sends,
            "load": facts.load(now),
            "load_age_ms": whole_ms(now - facts.reported_at),
            "slots": endpoint.slots,
            "cold": self.admission.cold.is_limited(endpoint, now),
            "reading_ms": whole_ms(self.admission.work.wait(endpoint.name, now)),
            "list_age_ms": whole_ms(self.knowledge.instance_follower.age()),
            "left_ms": whole_ms(turn.seconds_left()),
            **_chosen(turn.choice),
        }

    def begun(self, turn: RoutedTurn, head: AnswerHead, seconds: float) -> Facts:
        """:param turn: a request whose answer goes to the caller from now on.

        :param head: the answer's head.
        :param seconds: since it was sent to that endpoint.
        :returns: which model answers, what it thinks of its answer, and how soon.
        """
        return {
            "model": turn.model_name,
            "confidence": head.confidence,
            "after_ms": whole_ms(seconds),
        }

    def known(self) -> Facts:
        """:returns: how old what this VM knows is; for requests that it turns away."""
        catalogue = self.knowledge.catalogue.current
        return {
            "configuration": catalogue.version if catalogue is not None else None,
            "configuration_age_ms": whole_ms(self.knowledge.catalogue_follower.age()),
            "list_age_ms": whole_ms(self.knowledge.instance_follower.age()),
        }


def _chosen(choice: VersionChoice | None) -> Facts:
    """Tell what decided between the version on trial and the old one."""
    if choice is None:
        return {}
    return {
        "chosen_by": choice.reason.value,
        "share": round(choice.share, SHARE_DIGITS),
        "trial_ms": whole_ms(choice.trial_seconds),
        "session_age_ms": whole_ms(choice.session_age),
    }


def whole_ms(seconds: float) -> int | None:
    """:param seconds: a time or an age.

    :returns: it in milliseconds; None where it is not known.
    """
    return round(seconds * MILLISECONDS) if math.isfinite(seconds) else None
