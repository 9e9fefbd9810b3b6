# Licensed under the Apache License 2.0: see LICENSE for details.

"""A stand-in for a model engine with continuous batching.

Published shape: ``POST /v1/chat/completions`` (OpenAI's, plain and streamed)
with ``x-request-id`` (repeated in the answer) and ``x-priority``; ``GET
/v1/requests/<id>`` and ``GET /v1/requests/<id>/events?from=N`` fetch a kept
answer or take up a stream; ``GET /report`` gives the load, which lags; ``GET
/cache-events?after=N`` gives prefix cache events, late and with gaps; ``POST
/orders`` takes orders that carry a fence.  A full engine answers 503 with
``x-not-started``.

An answer's words follow from the version and the prompt alone, so that any two
runs of the same request are byte for byte the same but for the request's id.
"""

from __future__ import annotations

import asyncio
import heapq
import itertools
import json
import os
import random
import time
from collections import OrderedDict

from aiohttp import web

from standins.engineoptions import EngineOptions
from standins.faults import CONTROL, FaultSwitch
from standins.generation import Generation, answer_seed, is_good
from standins.prefixcache import PrefixCache

KEPT_ANSWERS = 2000
PRIORITIES = {"quick": 0, "patient": 1}
CREATED = 1_700_000_000
# The exit code of an engine that ends under a prompt, and after how many tokens.
CRASHED = 70
CRASH_TOKENS = 2


class EngineStandIn:
    """The engine.

    :param options: how it behaves.
    """

    def __init__(self, options: EngineOptions) -> None:
        self.options = options
        self.incarnation = f"{time.time_ns():020d}"
        self.rng = random.Random(options.seed)
        self.generations: OrderedDict[str, Generation] = OrderedDict()
        self.running = 0
        self.waiting: list[tuple[int, int, asyncio.Future]] = []
        self.order = itertools.count()
        self.cache = PrefixCache(
            options.cache_blocks, options.event_lag, options.event_loss, self.rng
        )
        self.reports: list[tuple[float, int, int]] = []
        self.leaving = False
        self.fence = 0
        self.orders: list[dict] = []
        # What was begun, and for which request: the judges' count.
        self.effects: list[tuple[str, str, float]] = []
        # Faults of the answers themselves; see set_answers.
        self.answers: dict = {}
        self.app = web.Application(client_max_size=16 << 20)
        self.switch = FaultSwitch(self.app)
        router = self.app.router
        router.add_post("/v1/chat/completions", self.chat)
        router.add_get("/v1/requests/{id}", self.fetch)
        router.add_get("/v1/requests/{id}/events", self.take_up)
        router.add_get("/report", self.report)
        router.add_get("/cache-events", self.give_cache_events)
        router.add_post("/orders", self.take_order)
        router.add_get(f"{CONTROL}/effects", self.give_effects)
        router.add_post(f"{CONTROL}/answers", self.set_answers)
        router.add_post(f"{CONTROL}/leave", self.leave)

    # Running.

    async def _enter(self, priority: int) -> bool:
        """Get a slot, after a wait if need be; False where the engine is full."""
        if self.running < self.options.slots:
            self.running += 1
            return True
        if len(self.waiting) >= self.options.queue:
            return False
        future = asyncio.get_running_loop().create_future()
        entry = (priority, next(self.order), future)
        heapq.heappush(self.waiting, entry)
        try:
            await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():
                self._leave_slot()
            elif entry in self.waiting:
                self.waiting.remove(entry)
                heapq.heapify(self.waiting)
            raise
        return True

    def _leave_slot(self) -> None:
        while self.waiting:
            _, _, future = heapq.heappop(self.waiting)
            if not future.done():
                future.set_result(None)
                return
        self.running -= 1

    async def _generate(self, generation: Generation, prompt: str) -> None:
        """Produce the tokens of an answer; it holds a slot meanwhile."""
        try:
            missing = 1.0 - self.cache.look_up(prompt)
            seconds = self.options.prefill * generation.prompt_tokens / 1000 * missing
            await asyncio.sleep(seconds * self.answers.get("slowness", 1.0))
            step = self.options.step * self.answers.get("slowness", 1.0)
            while generation.produced < len(generation.words):
                if generation.cancelled:
                    return
                await asyncio.sleep(step)
                generation.produced += 1
                generation.grow()
                if self._crashes(generation, prompt):
                    os._exit(CRASHED)
            generation.done = True
        finally:
            generation.grow()
            self._leave_slot()

    def _crashes(self, generation: Generation, prompt: str) -> bool:
        """Whether the process ends now, under a prompt that it has begun to answer."""
        word = self.options.crash_word
        return bool(word) and word in prompt and generation.produced >= CRASH_TOKENS

    def _words(self, version: str, prompt: str, count: int) -> list[str]:
        """Work out the answer; its first word tells how good it is."""
        quality = self.options.versions[version]
        for word, by_version in self.options.hard.items():
            if word in prompt:
                quality = by_version.get(version, quality)
        grade = "good" if is_good(version, prompt, quality) else "poor"
        rng = random.Random(answer_seed(version, prompt))
        return [grade, *(f"w{rng.randrange(1000)}" for _ in range(count - 1))]

    # The API.

    async def chat(self, request: web.Request) -> web.StreamResponse:
        """:param request: ``POST /v1/chat/completions``."""
        body = await request.json()
        request_id = request.headers.get("x-request-id", "")
        version = body["model"]
        if self.leaving or version not in self.options.versions:
            return self._not_started(request_id)
        if self._fails(version):
            self.effects.append((request_id, version, time.time()))
            return web.Response(status=500, headers={"x-request-id": request_id})
        priority = PRIORITIES.get(request.headers.get("x-priority", ""), 1)
        if not await self._enter(priority):
            return self._not_started(request_id)
        self.effects.append((request_id, version, time.time()))
        prompt = json.dumps(body["messages"], sort_keys=True)
        count = int(body.get("max_tokens") or self.options.tokens)
        words = self._words(version, prompt, count)
        generation = Generation(request_id, version, words, len(prompt) // 4)
        self._keep(generation)
        task = asyncio.ensure_future(self._generate(generation, prompt))
        try:
            if body.get("stream"):
                return await self._send_events(request, generation, 0)
            await task
            return self._whole(generation)
        except (asyncio.CancelledError, ConnectionResetError):
            generation.cancelled = not self.answers.get("finish_alone", True)
            raise

    def _fails(self, version: str) -> bool:
        share = self.answers.get("fail", {}).get(version, 0.0)
        return bool(share) and self.rng.random() < share

    def _not_started(self, request_id: str) -> web.Response:
        headers = {"x-request-id": request_id, "x-not-started": "1"}
        return web.Response(status=503, headers=headers)

    def _keep(self, generation: Generation) -> None:
        self.generations[generation.request] = generation
        while len(self.generations) > KEPT_ANSWERS:
            self.generations.popitem(last=False)

    def _headers(self, generation: Generation) -> dict[str, str]:
        request_id = generation.request
        if self.answers.get("crossed", 0) > 0:
            self.answers["crossed"] -= 1
            request_id = "req-of-somebody-else"
        return {"x-request-id": request_id}

    def _usage(self, generation: Generation) -> dict[str, int]:
        return {
            "prompt_tokens": generation.prompt_tokens,
            "completion_tokens": generation.produced,
            "total_tokens": generation.prompt_tokens + generation.produced,
        }

    def _whole(self, generation: Generation) -> web.Response:
        headers = self._headers(generation)
        crossed = headers["x-request-id"] != generation.request
        words = ["somebody", "else's"] if crossed else generation.words
        answer = {
            "id": f"chatcmpl-{headers['x-request-id']}",
            "object": "chat.completion",
            "created": CREATED,
            "model": generation.version,
            "choices": [
                {
                    "index": 0,
                    "message": {"role": "assistant", "content": " ".join(words)},
                    "finish_reason": "stop",
                }
            ],
            "usage": self._usage(generation),
        }
        data = json.dumps(answer).encode()
        if self.answers.get("truncate", 0) > 0:
            self.answers["truncate"] -= 1
            data = data[: len(data) // 2]
        return web.Response(body=data, headers=headers, content_type="application/json")

    def _event(self, generation: Generation, index: int) -> bytes:
        """Write event ``index``: the words, then the end with the usage."""
        if index > len(generation.words):
            return b"data: [DONE]\n\n"
        last = index == len(generation.words)
        chunk = {
            "id": f"chatcmpl-{generation.request}",
            "object": "chat.completion.chunk",
            "created": CREATED,
            "model": generation.version,
            "choices": [
                {
                    "index": 0,
                    "delta": {} if last else {"content": generation.words[index]},
                    "finish_reason": "stop" if last else None,
                }
            ],
        }
        if last:
            chunk["usage"] = self._usage(generation)
        return b"data: " + json.dumps(chunk).encode() + b"\n\n"

    async def _send_events(
        self, request: web.Request, generation: Generation, start: int
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers=self._headers(generation))
        response.content_type = "text/event-stream"
        await response.prepare(request)
        total = len(generation.words) + 2
        for index in range(start, total):
            while index >= generation.produced and not generation.done:
                if generation.cancelled:
                    request.transport.abort()
                    return response
                await generation.grown.wait()
            if self._breaks(index):
                request.transport.abort()
                return response
            await response.write(self._event(generation, index))
        await response.write_eof()
        return response

    def _breaks(self, index: int) -> bool:
        """Whether the stream is to break here, as the faults say."""
        left = self.answers.get("break_streams", 0)
        if left <= 0 or index < self.answers.get("break_at", 3):
            return False
        self.answers["break_streams"] = left - 1
        return True

    async def fetch(self, request: web.Request) -> web.Response:
        """:param request: ``GET /v1/requests/<id>``."""
        generation = self._kept(request)
        if generation is None:
            return web.Response(status=404)
        while not generation.done:
            if generation.cancelled:
                return web.Response(status=410)
            await generation.grown.wait()
        return self._whole(generation)

    async def take_up(self, request: web.Request) -> web.StreamResponse:
        """:param request: ``GET /v1/requests/<id>/events``."""
        generation = self._kept(request)
        if generation is None or generation.cancelled:
            return web.Response(status=404)
        return await self._send_events(
            request, generation, int(request.query.get("from", "0"))
        )

    def _kept(self, request: web.Request) -> Generation | None:
        if self.answers.get("forgets"):
            return None
        return self.generations.get(request.match_info["id"])

    async def report(self, request: web.Request) -> web.Response:
        """:param request: ``GET /report``."""
        now = time.monotonic()
        self.reports.append((now, self.running, len(self.waiting)))
        old = [r for r in self.reports if r[0] <= now - self.options.report_lag]
        self.reports = self.reports[-50:]
        _, running, waiting = old[-1] if old else (0, 0, 0)
        return web.json_response(
            {
                "name": self.options.name,
                "incarnation": self.incarnation,
                "running": running,
                "waiting": waiting,
                "slots": self.options.slots,
                "versions": sorted(self.options.versions),
                "leaving": self.leaving,
            }
        )

    async def give_cache_events(self, request: web.Request) -> web.Response:
        """:param request: ``GET /cache-events?after=N``."""
        after = int(request.query.get("after", "-1"))
        return web.json_response(self.cache.events_after(after))

    async def take_order(self, request: web.Request) -> web.Response:
        """Take an order to load or unload a version, or to leave.

        :param request: ``fence``, ``action`` and ``version``.
        """
        body = await request.json()
        fence = int(body.get("fence", 0))
        if self.options.checks_fences and fence < self.fence:
            return web.json_response({"fence": self.fence}, status=412)
        self.fence = max(self.fence, fence)
        self.orders.append(body)
        if body["action"] == "load":
            self.options.versions[body["version"]] = float(body.get("quality", 0.9))
        elif body["action"] == "unload":
            self.options.versions.pop(body["version"], None)
        elif body["action"] == "leave":
            self.leaving = True
        return web.json_response({"fence": self.fence})

    # The control path.

    async def give_effects(self, request: web.Request) -> web.Response:
        """:param request: asks what was begun here."""
        return web.json_response(
            {
                "effects": self.effects,
                "orders": self.orders,
                "cache": [self.cache.hits, self.cache.looked_up],
                "running": self.running,
            }
        )

    async def set_answers(self, request: web.Request) -> web.Response:
        """Set the faults of answers.

        :param request: any of ``crossed``, ``truncate``, ``break_streams`` (how
            many), ``break_at``, ``fail`` (share by version), ``slowness``,
            ``forgets`` and ``finish_alone``.
        """
        self.answers = await request.json()
        return web.json_response({})

    async def leave(self, request: web.Request) -> web.Response:
        """:param request: tells the engine that it is leaving."""
        self.leaving = True
        return web.json_response({})
