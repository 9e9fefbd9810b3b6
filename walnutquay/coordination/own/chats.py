# Licensed under the Apache License 2.0: see LICENSE for details.

"""The path of chat requests: plan, slot, dispatch, rating, bill, answer."""

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
from walnutquay.coordination.own.turns import ChatTurn, ForwardedStream
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

    :param parts: the shared components.
    :param engines: the adapter to engines.
    :param quality: rates answers and learns from the ratings.
    :param planner: plans the versions to try for each request.
    :param idle: the maximum time that an engine may be silent; seconds.
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
        """Plan and serve a chat request that has been accepted.

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

    # Steps of the plan.

    def no_longer_allowed(self, turn: ChatTurn) -> Refusal | None:
        """Check whether the current version may still run a request.

        :param turn: the request.
        :returns: why the version may not run it now, or None.
        """
        return check_allowed(
            self.parts.configurations.current,
            turn.arrival.organisation.name,
            turn.target,
            turn.bound,
            self.planner.local_restrictions(),
        )

    def retarget(self, turn: ChatTurn, refusal: Refusal) -> bool:
        """Continue with the next version if the current one is unavailable.

        A session that is bound to the current version waits for it instead.

        :param turn: the request.
        :param refusal: why the version is unavailable.
        :returns: whether the request continues with the next version.
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
        :param refusal: why there is no slot for the current step.
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
        :param error: how the current step failed.
        """
        if turn.best is None:
            return await super().abandon(turn, running, error)
        running.answered()
        return await self._finish(turn, turn.best)

    async def exchange(
        self, turn: ChatTurn, running: Dispatched, grant: Grant
    ) -> Outcome | Continuing:
        """Exchange a chat request and its answer with an engine.

        :param turn: the request.
        :param running: its stage.
        :param grant: the slot at the engine.
        """
        call = self._engine_call(turn, running, grant)
        started = monotonic()
        if turn.arrival.call.stream:
            return await self._stream(turn, running, grant, call)
        answer = await self.engines.fetch_answer(call)
        self._succeeded(turn, grant, monotonic() - started)
        return await self._answered(turn, running, grant, answer)

    def count_failure(self, turn: ChatTurn, grant: Grant, error: EndpointError) -> None:
        """Count a failure against an engine and the version that ran there.

        :param turn: the request.
        :param grant: the slot at the engine.
        :param error: how it failed.
        """
        super().count_failure(turn, grant, error)
        self.parts.health.record_outcome(turn.target, good=False)

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
        self.parts.health.record_outcome(
            turn.target, True, turn.arrival.request_class, seconds
        )

    # Complete answers.

    async def _answered(
        self, turn: ChatTurn, running: Dispatched, grant: Grant, answer: EngineAnswer
    ) -> Outcome | Continuing:
        """Accept the answer of a step, or continue with the next step."""
        if answer.status == 200:
            turn.lines.append(turn.cost(grant.name, answer.usage))
            self.quality.record_usage(turn, answer.usage)
        whole = WholeAnswer(
            answer.status,
            chat.JSON_TYPE,
            answer.body,
            tuple(self._headers(turn, grant).items()),
        )
        if await self._below_quality(turn, answer):
            turn.best = whole
            turn.next_step()
            return running.proceed()
        running.answered()
        return await self._finish(turn, whole)

    async def _below_quality(self, turn: ChatTurn, answer: EngineAnswer) -> bool:
        """Return whether an answer is rated too low and another step remains.

        The answer of the last step is only rated as a sample, in the background.
        """
        if answer.status != 200 or not turn.plan.quality:
            return False
        if turn.last_step:
            self.quality.sample(turn, answer.body)
            return False
        return not await self.quality.reaches_quality(turn, answer.body)

    async def _finish(self, turn: ChatTurn, answer: WholeAnswer) -> Whole:
        await self._bill(turn)
        return Whole(answer)

    async def _bill(self, turn: ChatTurn) -> None:
        if turn.lines:
            await self.parts.billing.add(
                turn.arrival.request, turn.arrival.organisation.name, turn.lines
            )

    def _headers(self, turn: ChatTurn, grant: Grant) -> dict[str, str]:
        """Update the session's pin, and return the headers of the answer."""
        current = self.parts.configurations.current
        pin = turn.pin.after_turn(
            turn.version.model, turn.version.name, grant.name, current.revision
        )
        if turn.tokenless:
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
        """Forward a stream; its end mark is sent once the bill is safely recorded."""
        reply = turn.arrival.reply
        assert reply is not None
        forwarded = ForwardedStream()
        forwarded.sampled = self.quality.should_sample(turn)
        forwarded.keep_events = forwarded.sampled or bool(turn.arrival.key)
        started = monotonic()
        try:
            await self._forward(turn, grant, call, reply, forwarded)
        except EngineRefusalError as error:
            return await self._answered(turn, running, grant, error.answer)
        except EndpointError as error:
            if not forwarded.begun:
                raise
            return await self._on_broken_stream(turn, running, grant, reply, error)
        except asyncio.CancelledError:
            # The caller has disconnected; the events it was sent are still billed.
            if forwarded.begun and not forwarded.billed:
                turn.lines.append(turn.cost(grant.name, forwarded.usage()))
                self.background.spawn(self._bill(turn))
            raise
        self._succeeded(
            turn, grant, monotonic() - started - forwarded.forwarding_seconds
        )
        running.answered()
        self._record_stream(turn, forwarded)
        return Streamed(whole=True)

    def _record_stream(self, turn: ChatTurn, forwarded: ForwardedStream) -> None:
        """Record the usage of a complete stream; rate it, or store it for repeats.

        Sampled answers are rated in the background.  A stream whose request has an
        idempotency key is stored for repeats of the key.
        """
        self.quality.record_usage(turn, forwarded.usage())
        if forwarded.sampled:
            self.quality.rate_in_background(turn, chat.whole_of(forwarded.events))
        if turn.arrival.key:
            stream = WholeAnswer(
                200,
                chat.STREAM_TYPE,
                b"".join(forwarded.events),
                tuple(forwarded.headers.items()),
            )
            self.parts.claims.finish(turn.arrival.request, RunState.ANSWERED, stream)

    async def _forward(
        self,
        turn: ChatTurn,
        grant: Grant,
        call: EngineCall,
        reply: Reply,
        forwarded: ForwardedStream,
    ) -> None:
        async for event in self.engines.events(call):
            if not forwarded.begun:
                forwarded.headers = self._headers(turn, grant)
                forwarded.begun = True
                grant.began = monotonic()
                await reply.begin(forwarded.headers)
            forwarded.take(event)
            write_started = monotonic()
            if event == chat.END_MARK:
                turn.lines.append(turn.cost(grant.name, forwarded.usage()))
                # A caller that disconnects after this point must not be billed again.
                forwarded.billed = True
                await self._bill(turn)
            await reply.write(event)
            forwarded.forwarding_seconds += monotonic() - write_started

    async def _on_broken_stream(
        self,
        turn: ChatTurn,
        running: Dispatched,
        grant: Grant,
        reply: Reply,
        error: EndpointError,
    ) -> Streamed:
        """End a broken stream with an error event that says it is incomplete."""
        await self.note_failure(turn, grant, error)
        running.unknown()
        message = f"the answer broke off: {error.reason}"
        await reply.write(
            chat.stream_error(message, "answer_incomplete", chat.RAN_UNKNOWN)
        )
        return Streamed(whole=False)
