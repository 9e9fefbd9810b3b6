# Licensed under the Apache License 2.0: see LICENSE for details.

"""The path of chat requests: plan, place, dispatch, rating, bill, answer."""

from __future__ import annotations

import asyncio

import orjson

from walnutquay.coordination.own.engines import (
    EngineAnswer,
    EngineCall,
    EngineRefusalError,
    Engines,
)
from walnutquay.coordination.own.keyed import KeyedParts, KeyedPath
from walnutquay.coordination.own.planning import ChatPlanner
from walnutquay.coordination.own.quality import AnswerQuality
from walnutquay.coordination.own.turns import ChatTurn, PassedStream
from walnutquay.coordination.requests.outcomes import (
    ChatArrival,
    Outcome,
    Reply,
    Streamed,
    Whole,
)
from walnutquay.coordination.requests.slots import Grant
from walnutquay.exceptions import EndpointError
from walnutquay.protocol import chat
from walnutquay.state.own.claims import RunState, WholeAnswer
from walnutquay.state.own.routing import check_allowed
from walnutquay.state.process.events import EventKind
from walnutquay.state.requests.refusals import Refusal, RefusalCode
from walnutquay.state.requests.stages import (
    Continuing,
    Dispatched,
    Received,
)
from walnutquay.transport.timers import monotonic


class ChatPath(KeyedPath):
    """Serves chat requests.

    :param parts: what it works with.
    :param engines: the adapter to engines.
    :param quality: has answers rated, and learns from it.
    :param planner: says what each request is to run on.
    :param idle: seconds that an engine may be silent.
    """

    def __init__(
        self,
        parts: KeyedParts,
        engines: Engines,
        quality: AnswerQuality,
        planner: ChatPlanner,
        idle: float,
    ) -> None:
        super().__init__(parts)
        self.engines = engines
        self.quality = quality
        self.planner = planner
        self.idle = idle

    async def run(self, arrival: ChatArrival, stage: Received) -> Outcome:
        """Serve a chat request that may be run.

        :param arrival: the request.
        :param stage: its stage.
        """
        found = await self.planner.plan(arrival)
        if found.is_error():
            return self.refuse(stage, found.error)
        turn = found.ok
        names = ",".join(version.name for version in turn.plan.steps)
        self.context.timeline.emit(
            EventKind.PLANNED,
            request=arrival.request,
            session=turn.pin.session,
            detail=names,
        )
        self.parts.retries.first_try()
        return await self.attempts(turn, stage)

    # Steps.

    def no_longer_allowed(self, turn: ChatTurn) -> Refusal | None:
        """:param turn: the request.

        :returns: why the present version may not run now, or None.
        """
        return check_allowed(
            self.parts.configurations.current,
            turn.arrival.organisation.name,
            turn.target,
            turn.bound,
            self.planner.doubts(),
        )

    def retarget(self, turn: ChatTurn, refusal: Refusal) -> bool:
        """Go on to the next version where the present one cannot be had.

        A session that is bound to the present version waits for it instead.

        :param turn: the request.
        :param refusal: why the version cannot be had.
        """
        if turn.last_step or turn.bound:
            return False
        if refusal.code not in (RefusalCode.NO_ENDPOINT, RefusalCode.NO_VERSION):
            return False
        turn.next_step()
        return True

    async def no_slot(
        self, turn: ChatTurn, stage: Received | Continuing, refusal: Refusal
    ) -> Outcome:
        """Fall back to the answer of an earlier step, if there is one.

        :param turn: the request.
        :param stage: its stage.
        :param refusal: why the present step has no place.
        """
        if turn.best is None or isinstance(stage, Received):
            return await super().no_slot(turn, stage, refusal)
        stage.answered()
        return await self._finish(turn, turn.best)

    async def abandon(
        self, turn: ChatTurn, running: Dispatched, error: EndpointError
    ) -> Outcome:
        """Fall back to the answer of an earlier step, if there is one.

        :param turn: the request.
        :param running: its stage.
        :param error: how the present step failed.
        """
        if turn.best is None:
            return await super().abandon(turn, running, error)
        running.answered()
        return await self._finish(turn, turn.best)

    async def exchange(
        self, turn: ChatTurn, running: Dispatched, grant: Grant
    ) -> Outcome | Continuing:
        """Talk to an engine.

        :param turn: the request.
        :param running: its stage.
        :param grant: the engine.
        """
        call = self._engine_call(turn, running, grant)
        started = monotonic()
        if turn.arrival.call.stream:
            return await self._stream(turn, running, grant, call)
        answer = await self.engines.whole(call)
        self._succeeded(turn, grant, monotonic() - started)
        return await self._answered(turn, running, grant, answer)

    def count_failure(self, turn: ChatTurn, grant: Grant, error: EndpointError) -> None:
        """Learn from a failure of an engine, and of the version there.

        :param turn: the request.
        :param grant: the engine.
        :param error: how it failed.
        """
        super().count_failure(turn, grant, error)
        self.parts.health.note(turn.target, good=False)

    def _engine_call(
        self, turn: ChatTurn, running: Dispatched, grant: Grant
    ) -> EngineCall:
        body = {**turn.arrival.call.body, "model": turn.version.name}
        return EngineCall(
            f"{turn.arrival.request}.{running.progress.dispatches}",
            grant.endpoint,
            orjson.dumps(body),
            grant.work.value,
            turn.arrival.deadline,
            self.idle,
        )

    def _succeeded(self, turn: ChatTurn, grant: Grant, seconds: float) -> None:
        kind = f"{turn.target}/{turn.arrival.request_class}"
        self.parts.table.succeeded(grant.name, kind, seconds, monotonic())
        self.on_whole_answer(turn, grant)
        self.on_success(turn)
        self.parts.health.note(turn.target, True, turn.arrival.request_class, seconds)

    # Whole answers.

    async def _answered(
        self, turn: ChatTurn, running: Dispatched, grant: Grant, answer: EngineAnswer
    ) -> Outcome | Continuing:
        """Take a step's answer, or go on to the next step."""
        if answer.status == 200:
            turn.lines.append(turn.cost(grant.name, answer.usage))
            self.quality.took(turn, answer.usage)
        whole = WholeAnswer(
            answer.status,
            chat.JSON_TYPE,
            answer.body,
            tuple(self._headers(turn, grant).items()),
        )
        if await self._too_low(turn, answer):
            turn.best = whole
            turn.next_step()
            return running.proceed()
        running.answered()
        return await self._finish(turn, whole)

    async def _too_low(self, turn: ChatTurn, answer: EngineAnswer) -> bool:
        """Have an answer rated, where another step could better it."""
        if answer.status != 200 or not turn.plan.quality:
            return False
        if turn.last_step:
            self.quality.sample(turn, answer.body)
            return False
        return not await self.quality.reaches(turn, answer.body)

    async def _finish(self, turn: ChatTurn, answer: WholeAnswer) -> Whole:
        await self._bill(turn)
        return Whole(answer)

    async def _bill(self, turn: ChatTurn) -> None:
        if turn.lines:
            await self.parts.billing.add(
                turn.arrival.request, turn.arrival.organisation.name, turn.lines
            )

    def _headers(self, turn: ChatTurn, grant: Grant) -> dict[str, str]:
        """Say who serves the request, and give the session's new token."""
        current = self.parts.configurations.current
        pin = turn.pin.after_turn(
            turn.version.model, turn.version.name, grant.name, current.revision
        )
        if turn.bare:
            self.planner.pins.update(pin)
        turn.pin = pin
        return {
            chat.HEADER_REQUEST: turn.arrival.request,
            chat.HEADER_VERSION: turn.version.name,
            chat.HEADER_ENDPOINT: grant.name,
            chat.HEADER_REVISION: str(current.revision),
            chat.HEADER_SESSION: pin.session,
            chat.HEADER_TOKEN: self.planner.sealer.seal(pin),
        }

    # Streams.

    async def _stream(
        self, turn: ChatTurn, running: Dispatched, grant: Grant, call: EngineCall
    ) -> Outcome | Continuing:
        """Pass a stream on; its end mark goes out once the bill is safe."""
        reply = turn.arrival.reply
        assert reply is not None
        passed = PassedStream()
        passed.sampled = self.quality.wants_sample(turn)
        passed.keep = passed.sampled or bool(turn.arrival.key)
        started = monotonic()
        try:
            await self._pass_on(turn, grant, call, reply, passed)
        except EngineRefusalError as error:
            return await self._answered(turn, running, grant, error.answer)
        except EndpointError as error:
            if not passed.begun:
                raise
            return await self._broken(turn, running, grant, reply, error)
        except asyncio.CancelledError:
            # The caller has gone: what it was given is billed all the same.
            if passed.begun and not passed.billed:
                turn.lines.append(turn.cost(grant.name, passed.usage()))
                self.background.spawn(self._bill(turn))
            raise
        self._succeeded(turn, grant, monotonic() - started - passed.passing_seconds)
        running.answered()
        self._keep_stream(turn, passed)
        return Streamed(whole=True)

    def _keep_stream(self, turn: ChatTurn, passed: PassedStream) -> None:
        """Learn from a whole stream, and keep it for repeats of its key."""
        self.quality.took(turn, passed.usage())
        if passed.sampled:
            self.quality.rate_later(turn, chat.whole_of(passed.events))
        if turn.arrival.key:
            stream = WholeAnswer(
                200,
                chat.STREAM_TYPE,
                b"".join(passed.events),
                tuple(passed.headers.items()),
            )
            self.parts.claims.finish(turn.arrival.request, RunState.ANSWERED, stream)

    async def _pass_on(
        self,
        turn: ChatTurn,
        grant: Grant,
        call: EngineCall,
        reply: Reply,
        passed: PassedStream,
    ) -> None:
        async for event in self.engines.events(call):
            if not passed.begun:
                passed.headers = self._headers(turn, grant)
                passed.begun = True
                grant.began = monotonic()
                await reply.begin(passed.headers)
            passed.take(event)
            passing = monotonic()
            if event == chat.END_MARK:
                turn.lines.append(turn.cost(grant.name, passed.usage()))
                # A caller who goes away from here on must not be billed again.
                passed.billed = True
                await self._bill(turn)
            await reply.write(event)
            passed.passing_seconds += monotonic() - passing

    async def _broken(
        self,
        turn: ChatTurn,
        running: Dispatched,
        grant: Grant,
        reply: Reply,
        error: EndpointError,
    ) -> Streamed:
        """Say in the stream that it is not whole."""
        await self.note_failure(turn, grant, error)
        running.unknown()
        message = f"the answer broke off: {error.reason}"
        await reply.write(
            chat.stream_error(message, "answer_incomplete", chat.RAN_UNKNOWN)
        )
        return Streamed(whole=False)
