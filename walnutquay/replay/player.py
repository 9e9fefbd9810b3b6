# Licensed under the Apache License 2.0: see LICENSE for details.

"""Sends a trace's requests at their recorded times, whatever the answers do."""

from __future__ import annotations

import asyncio
import itertools
import time
from collections.abc import Sequence
from typing import Any

import aiohttp
import click
import orjson

from walnutquay.protocol import chat
from walnutquay.replay.report import Played, ReplayResult
from walnutquay.replay.traces import (
    ReplayOutcome,
    RequestKind,
    TraceRequest,
    body_of,
    prompt_of,
)

DEFAULT_TIMEOUT = 60.0
PROGRESS_SECONDS = 1.0


class Player:
    """Replays traces.

    :param addresses: where to send; several take turns.
    :param key: the caller's key; ``{organisation}`` in it is replaced.
    :param speed: how many times as fast as recorded.
    :param progress: whether to show progress.
    """

    def __init__(
        self,
        addresses: Sequence[str],
        key: str,
        speed: float = 1.0,
        progress: bool = False,
    ) -> None:
        self.addresses = itertools.cycle(addresses)
        self.key = key
        self.speed = speed
        self.progress = progress
        # The newest token of each session, and the turn that is under way.
        self.tokens: dict[str, str] = {}
        self.turns: dict[str, asyncio.Lock] = {}
        self.result = ReplayResult()

    async def play(self, trace: Sequence[TraceRequest]) -> ReplayResult:
        """Replay a trace, open loop: an answer that is late delays no request.

        Only the turns of one session follow each other.

        :param trace: the requests, in order of arrival.
        """
        started = time.monotonic()
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as self.session:
            tasks = []
            shown = started
            for request in trace:
                wait = started + request.at / self.speed - time.monotonic()
                if wait > 0:
                    await asyncio.sleep(wait)
                tasks.append(asyncio.ensure_future(self._play(request)))
                if self.progress and time.monotonic() > shown + PROGRESS_SECONDS:
                    shown = time.monotonic()
                    done = len(self.result.played)
                    click.echo(f"{len(tasks)} sent, {done} ended", err=True)
            await asyncio.gather(*tasks)
        self.result.seconds = time.monotonic() - started
        return self.result

    async def _play(self, request: TraceRequest) -> None:
        if not request.session:
            self.result.played.append(await self._send(request))
            return
        lock = self.turns.setdefault(request.session, asyncio.Lock())
        async with lock:
            self.result.played.append(await self._send(request))

    def _headers(self, request: TraceRequest) -> dict[str, str]:
        key = self.key.replace("{organisation}", request.organisation)
        headers = {
            "authorization": f"Bearer {key}",
            chat.HEADER_CLASS: request.request_class,
        }
        if request.deadline is not None:
            headers[chat.HEADER_DEADLINE] = str(request.deadline)
        if request.key:
            headers[chat.HEADER_KEY] = request.key
        token = self.tokens.get(request.session)
        if token:
            headers[chat.HEADER_TOKEN] = token
        elif request.session:
            headers[chat.HEADER_SESSION] = request.session
        return headers

    async def _send(self, request: TraceRequest) -> Played:
        address = next(self.addresses)
        headers = self._headers(request)
        if request.kind is RequestKind.CHAT:
            method, path = "POST", "/v1/chat/completions"
            data = orjson.dumps(_chat_body(request))
        else:
            method, path = request.method, request.path
            data = body_of(request).encode()
        started = time.monotonic()
        timeout = aiohttp.ClientTimeout(total=request.deadline or DEFAULT_TIMEOUT)
        try:
            async with self.session.request(
                method, address + path, data=data, headers=headers, timeout=timeout
            ) as answer:
                first = await answer.content.readany()
                first_at = time.monotonic() - started
                body = first + await answer.read()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            seconds = time.monotonic() - started
            reason = f"{type(error).__name__}: {error}"
            broken = ReplayOutcome.BROKEN
            return Played(request, broken, seconds, seconds, 0, {}, reason)
        seconds = time.monotonic() - started
        if chat.HEADER_TOKEN in answer.headers and request.session:
            self.tokens[request.session] = answer.headers[chat.HEADER_TOKEN]
        outcome, detail = judge(request, answer.status, body)
        served = {k.lower(): v for k, v in answer.headers.items()}
        return Played(
            request, outcome, seconds, first_at, answer.status, served, detail
        )


def _chat_body(request: TraceRequest) -> dict[str, Any]:
    body: dict[str, Any] = {
        "model": request.model,
        "messages": [{"role": "user", "content": prompt_of(request)}],
        "stream": request.stream,
    }
    if request.max_tokens is not None:
        body["max_tokens"] = request.max_tokens
    return body


def judge(request: TraceRequest, status: int, body: bytes) -> tuple[ReplayOutcome, str]:
    """Tell how a request ended.

    :param request: the request.
    :param status: the answer's status.
    :param body: the answer's body.
    :returns: the outcome, and what went wrong.
    """
    if status == 200:
        return _judge_answer(request, body)
    try:
        error = orjson.loads(body)["error"]
        ran = error.get("ran")
    except (orjson.JSONDecodeError, KeyError, TypeError, AttributeError):
        return ReplayOutcome.BROKEN, f"status {status} without an error"
    detail = f"{error.get('code')}: {error.get('message')}"
    if ran == chat.RAN_NOT:
        return ReplayOutcome.NOT_RUN, detail
    return ReplayOutcome.UNKNOWN, detail


def _judge_answer(request: TraceRequest, body: bytes) -> tuple[ReplayOutcome, str]:
    if request.kind is RequestKind.SERVICE:
        return ReplayOutcome.ANSWERED, ""
    if request.stream:
        if body.endswith(chat.END_MARK):
            return ReplayOutcome.ANSWERED, ""
        if b'"error"' in body:
            return ReplayOutcome.UNKNOWN, "the stream says that it is not whole"
        return ReplayOutcome.BROKEN, "the stream has no end mark"
    try:
        finished = orjson.loads(body)["choices"][0]["finish_reason"]
    except (orjson.JSONDecodeError, KeyError, IndexError, TypeError):
        return ReplayOutcome.BROKEN, "the answer is not whole"
    if not finished:
        return ReplayOutcome.BROKEN, "the answer has no end"
    return ReplayOutcome.ANSWERED, ""
