# Licensed under the Apache License 2.0: see LICENSE for details.

"""The adapter to model engines: complete answers, streams and their resumption.

Each dispatch has an id of its own that the engine returns in its answer.  An answer
with another id belongs to another request and is never forwarded.
"""

from __future__ import annotations

from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Any

import orjson

from walnutquay.exceptions import EndpointError, NotStartedError
from walnutquay.protocol import chat
from walnutquay.state.store.parts import Endpoint
from walnutquay.transport.client import READ_BYTES, HttpClient, read_whole
from walnutquay.transport.timers import monotonic

HEADER_REQUEST_ID = "x-request-id"
HEADER_PRIORITY = "x-priority"
CHAT_PATH = "/v1/chat/completions"
# The number of attempts to resume an interrupted stream, at the same engine.
RESUME_TRIES = 2


@dataclass(frozen=True, slots=True)
class EngineCall:
    """One dispatch to an engine.

    :param dispatch: the dispatch's id.
    :param endpoint: the engine.
    :param body: the chat body, with the version as ``model``.
    :param priority: ``patient`` or ``quick``.
    :param deadline: when the answer is due; monotonic seconds.
    :param idle: the maximum time that the engine may be silent; seconds.
    """

    dispatch: str
    endpoint: Endpoint
    body: bytes
    priority: str
    deadline: float
    idle: float

    def headers(self) -> dict[str, str]:
        """Return the request headers."""
        return {
            "content-type": chat.JSON_TYPE,
            HEADER_REQUEST_ID: self.dispatch,
            HEADER_PRIORITY: self.priority,
        }

    def remaining_seconds(self) -> float:
        """Return the seconds until the deadline, but at least a small positive time."""
        return max(0.05, self.deadline - monotonic())


@dataclass(frozen=True, slots=True)
class EngineAnswer:
    """A complete answer of an engine.

    :param status: HTTP status: 200, or 4xx if the engine refuses the body.
    :param body: the body of the answer.
    :param usage: the tokens used.
    """

    status: int
    body: bytes
    usage: chat.Usage = chat.NO_USAGE


class EngineRefusalError(EndpointError):
    """The engine refused the request body; its error is returned to the caller.

    :param status: HTTP status, 4xx.
    :param body: the body of the engine's error.
    :param call: the dispatch.
    """

    def __init__(self, status: int, body: bytes, call: EngineCall) -> None:
        super().__init__(
            f"the engine refuses the body ({status})",
            step="answer",
            peer=call.endpoint.name,
        )
        self.answer = EngineAnswer(status, body)


class Engines:
    """Sends requests to engines and reads their answers.

    :param client: the HTTP client.
    """

    def __init__(self, client: HttpClient) -> None:
        self.client = client

    async def fetch_answer(self, call: EngineCall) -> EngineAnswer:
        """Send a request and return the complete answer.

        If the answer is interrupted, it is fetched again, once.

        :param call: the dispatch.
        :raises NotStartedError: if the engine cannot have started the request.
        :raises EndpointError: if the engine may have started the request, and the
            answer could not be fetched.
        """
        try:
            return await self._post(call)
        except NotStartedError:
            raise
        except EndpointError as error:
            answer = await self._fetch_again(call)
            if answer is None:
                raise error from None
            return answer

    async def _post(self, call: EngineCall) -> EngineAnswer:
        url = call.endpoint.address + CHAT_PATH
        async with self.client.request(
            "POST",
            url,
            peer=call.endpoint.name,
            data=call.body,
            headers=call.headers(),
            timeout=call.remaining_seconds(),
        ) as answer:
            self._check(call, answer.status, answer.headers)
            return _parse_answer(
                call, answer.status, await read_whole(answer, call.endpoint.name)
            )

    async def _fetch_again(self, call: EngineCall) -> EngineAnswer | None:
        """Fetch the answer to a dispatch again, as the engine may have kept it."""
        url = f"{call.endpoint.address}/v1/requests/{call.dispatch}"
        try:
            async with self.client.request(
                "GET",
                url,
                peer=call.endpoint.name,
                timeout=call.remaining_seconds(),
                idle=call.idle,
            ) as answer:
                if answer.status != 200:
                    return None
                self._check(call, answer.status, answer.headers)
                return _parse_answer(
                    call, answer.status, await read_whole(answer, call.endpoint.name)
                )
        except EndpointError:
            return None

    def _check(self, call: EngineCall, status: int, headers: Any) -> None:
        if headers.get(HEADER_REQUEST_ID) != call.dispatch:
            raise EndpointError(
                "the answer belongs to another request",
                step="answer",
                peer=call.endpoint.name,
            )
        if status >= 500:
            raise EndpointError(
                f"the engine failed ({status})", step="answer", peer=call.endpoint.name
            )

    async def events(self, call: EngineCall) -> AsyncIterator[bytes]:
        """Stream an answer, event by event, up to and including the end mark.

        An interrupted stream is resumed where it was interrupted if the engine can
        resume it, so that its bytes are those of an uninterrupted stream.

        :param call: the dispatch.
        :raises NotStartedError: if the engine cannot have started the request.
        :raises EngineRefusalError: if the engine refuses the body.
        :raises EndpointError: if the stream ends before its end mark and could not be
            resumed.
        """
        forwarded = 0
        # The first error is the one raised: a failed resumption is not the cause.
        first_error: EndpointError | None = None
        url = call.endpoint.address + CHAT_PATH
        for attempt in range(RESUME_TRIES + 1):
            method = "GET" if forwarded or attempt else "POST"
            if method == "GET":
                url = (
                    f"{call.endpoint.address}/v1/requests/{call.dispatch}/events"
                    f"?from={forwarded}"
                )
            try:
                async for event in self._stream(call, method, url):
                    forwarded += 1
                    yield event
                    if event == chat.END_MARK:
                        return
                raise EndpointError(
                    "the stream ended before its end mark",
                    step="stream",
                    peer=call.endpoint.name,
                )
            except NotStartedError as error:
                if first_error is None:
                    raise
                # The engine started the request at an earlier attempt, whatever this
                # error says.
                raise first_error from error
            except EngineRefusalError:
                raise
            except EndpointError as error:
                first_error = first_error or error
                if attempt == RESUME_TRIES or call.deadline <= monotonic():
                    raise first_error from (None if first_error is error else error)

    async def _stream(
        self, call: EngineCall, method: str, url: str
    ) -> AsyncIterator[bytes]:
        parser = chat.StreamParser(peer=call.endpoint.name)
        async with self.client.request(
            method,
            url,
            peer=call.endpoint.name,
            data=call.body if method == "POST" else None,
            headers=call.headers(),
            timeout=call.remaining_seconds(),
            idle=call.idle,
        ) as answer:
            self._check(call, answer.status, answer.headers)
            if answer.status != 200:
                raise EngineRefusalError(
                    answer.status, await read_whole(answer, call.endpoint.name), call
                )
            async for data in answer.content.iter_chunked(READ_BYTES):
                for event in parser.feed(data):
                    yield event


def _parse_answer(call: EngineCall, status: int, body: bytes) -> EngineAnswer:
    """Return the answer after checking that it is complete.

    A complete answer is valid JSON in which each choice has a finish reason.

    :raises EndpointError: if it is incomplete.
    """
    if status != 200:
        return EngineAnswer(status, body)
    try:
        parsed = orjson.loads(body)
        finished = all(choice["finish_reason"] for choice in parsed["choices"])
    except (orjson.JSONDecodeError, KeyError, TypeError) as error:
        raise EndpointError(
            f"the answer is not whole: {error}", step="answer", peer=call.endpoint.name
        ) from error
    if not finished:
        raise EndpointError(
            "the answer has no end", step="answer", peer=call.endpoint.name
        )
    return EngineAnswer(status, body, chat.usage_of(parsed))
