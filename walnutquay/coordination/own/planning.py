# Licensed under the Apache License 2.0: see LICENSE for details.

"""Planning of chat requests: the binding of the session and the versions to try."""

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

    :param parts: the components of the request path.
    :param quality: skips the steps of a cascade that are not worth their cost.
    :param sealer: signs session tokens.
    :param pins: the pins of sessions without tokens.
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

    def local_restrictions(self) -> LocalRestrictions:
        """Return the restrictions that this VM places on versions by itself."""
        age = self.parts.configurations.confirmed_age()
        return LocalRestrictions(age, self.parts.health.table.rejected)

    async def plan(self, arrival: ChatArrival) -> Result[ChatTurn, Refusal]:
        """Plan a request.

        :param arrival: the request.
        :returns: the request with its plan and its session's binding, or why it cannot
            run.
        """
        try:
            pin, tokenless = await self._pin(arrival)
        except TokenError as error:
            return Error(Refusal(RefusalCode.BAD_TOKEN, error.reason))
        planned = self._plan_for(arrival, pin)
        if planned.is_error():
            return Error(planned.error)
        if tokenless and not pin.versions:
            # On the first turn of a session, VMs agree on its binding before it runs.
            first = planned.ok.steps[0]
            revision = self.parts.configurations.current.revision
            proposed = pin.after_turn(first.model, first.name, "", revision)
            existing = await self.pins.propose(proposed)
            if existing != proposed:
                pin = existing
                planned = self._plan_for(arrival, pin)
                if planned.is_error():
                    return Error(planned.error)
        if planned.ok.session_restarted:
            pin = Pin(pin.session, pin.organisation)
        return Ok(ChatTurn(arrival, pin, tokenless, planned.ok))

    async def _pin(self, arrival: ChatArrival) -> tuple[Pin, bool]:
        """Return the pin of the session, and whether the session has no token."""
        organisation = arrival.organisation.name
        if arrival.token:
            pin = self.sealer.open(arrival.token, organisation)
            if arrival.session and arrival.session != pin.session:
                raise TokenError("the token is another session's")
            return pin, False
        if arrival.session:
            session = SessionId(arrival.session)
            stored = await self.pins.find(organisation, session)
            return stored or Pin(session, organisation), True
        return Pin(self.context.new_session(), organisation), False

    def _plan_for(self, arrival: ChatArrival, pin: Pin) -> Result[Plan, Refusal]:
        current = self.parts.configurations.current
        # The configuration may have changed since the API key was checked.
        organisation = current.organisations.get(arrival.organisation.name)
        if organisation is None:
            return Error(
                Refusal(RefusalCode.NOT_ALLOWED, "the organisation is no more")
            )
        routing_request = RoutingRequest(
            organisation,
            arrival.call.model,
            arrival.request_class,
            arrival.call.size,
            arrival.call.stream,
            pin.session,
            pin if pin.versions else None,
        )
        planned = plan(
            current,
            self.parts.configurations.programs,
            routing_request,
            self.local_restrictions(),
        )
        return planned.map(lambda found: self._skip_steps(found, arrival, pin))

    def _skip_steps(self, found: Plan, arrival: ChatArrival, pin: Pin) -> Plan:
        """Skip the first steps of a plan where that is justified.

        A session starts with the first step that has served it before, so that
        ratings learnt in the meantime do not move it to another version.  Otherwise
        steps that are not worth their cost are skipped.
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
