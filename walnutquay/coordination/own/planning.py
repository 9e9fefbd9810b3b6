# Licensed under the Apache License 2.0: see LICENSE for details.

"""What a chat request is to run on: its session's binding, its plan, its beginning."""

from __future__ import annotations

from dataclasses import replace

from expression import Error, Ok, Result

from walnutquay.coordination.own.keyed import KeyedParts
from walnutquay.coordination.own.pins import SessionPins
from walnutquay.coordination.own.quality import AnswerQuality
from walnutquay.coordination.own.turns import ChatTurn
from walnutquay.coordination.requests.outcomes import ChatArrival
from walnutquay.exceptions import TokenError
from walnutquay.state.own.routing import LocalRestrictions, Plan, RoutingRequest, plan
from walnutquay.state.own.sessions import Pin, PinSealer
from walnutquay.state.process.ids import SessionId
from walnutquay.state.requests.refusals import Refusal, RefusalCode


class ChatPlanner:
    """Plans chat requests.

    :param parts: what the request's path works with.
    :param quality: knows which steps of a cascade are worth their cost.
    :param sealer: signs session tokens.
    :param pins: pins of sessions without tokens.
    """

    def __init__(
        self,
        parts: KeyedParts,
        quality: AnswerQuality,
        sealer: PinSealer,
        pins: SessionPins,
    ) -> None:
        self.parts = parts
        self.context = parts.context
        self.quality = quality
        self.sealer = sealer
        self.pins = pins

    def doubts(self) -> LocalRestrictions:
        """:returns: what this VM holds against versions by itself."""
        age = self.parts.configurations.confirmed_age()
        return LocalRestrictions(age, self.parts.health.table.rejected)

    async def plan(self, arrival: ChatArrival) -> Result[ChatTurn, Refusal]:
        """Plan a request.

        :param arrival: the request.
        :returns: it with its plan and its session's binding, or why it cannot run.
        """
        try:
            pin, bare = await self._pin(arrival)
        except TokenError as error:
            return Error(Refusal(RefusalCode.BAD_TOKEN, error.reason))
        planned = self._plan_for(arrival, pin)
        if planned.is_error():
            return Error(planned.error)
        if bare and not pin.versions:
            # The session's first turn: agree on its binding before it runs.
            first = planned.ok.steps[0]
            revision = self.parts.configurations.current.revision
            wanted = pin.after_turn(first.model, first.name, "", revision)
            standing = await self.pins.propose(wanted)
            if standing != wanted:
                pin = standing
                planned = self._plan_for(arrival, pin)
                if planned.is_error():
                    return Error(planned.error)
        if planned.ok.session_restarted:
            pin = Pin(pin.session, pin.organisation)
        return Ok(ChatTurn(arrival, pin, bare, planned.ok))

    async def _pin(self, arrival: ChatArrival) -> tuple[Pin, bool]:
        """Find what the session is bound to, and whether it is a bare one."""
        organisation = arrival.organisation.name
        if arrival.token:
            pin = self.sealer.open(arrival.token, organisation)
            if arrival.session and arrival.session != pin.session:
                raise TokenError("the token is another session's")
            return pin, False
        if arrival.session:
            session = SessionId(arrival.session)
            kept = await self.pins.find(organisation, session)
            return kept or Pin(session, organisation), True
        return Pin(self.context.new_session(), organisation), False

    def _plan_for(self, arrival: ChatArrival, pin: Pin) -> Result[Plan, Refusal]:
        current = self.parts.configurations.current
        # The organisation as it is now, not as it was when the key was checked.
        organisation = current.organisations.get(arrival.organisation.name)
        if organisation is None:
            return Error(
                Refusal(RefusalCode.NOT_ALLOWED, "the organisation is no more")
            )
        question = RoutingRequest(
            organisation,
            arrival.call.model,
            arrival.request_class,
            arrival.call.size,
            arrival.call.stream,
            pin.session,
            pin if pin.versions else None,
        )
        planned = plan(
            current, self.parts.configurations.programs, question, self.doubts()
        )
        return planned.map(lambda found: self._begin(found, arrival, pin))

    def _begin(self, found: Plan, arrival: ChatArrival, pin: Pin) -> Plan:
        """Choose the step to begin with.

        A session begins with the first step that has served it, so that what is
        learnt meanwhile does not move it to another version.
        """
        served = [
            index
            for index, version in enumerate(found.steps)
            if pin.version_of(version.model) == version.name
        ]
        if served:
            return replace(found, steps=found.steps[served[0] :])
        cascade = self.parts.configurations.current.cascades.get(found.cascade)
        if cascade is None:
            return found
        steps = self.quality.steps(
            cascade, arrival.request_class, found.steps, arrival.call.stream
        )
        return replace(found, steps=steps)
