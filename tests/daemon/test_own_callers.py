# Licensed under the Apache License 2.0: see LICENSE for details.

"""Connections of our own interface's callers over their whole state."""

from __future__ import annotations

import asyncio
import itertools
import json
import logging
import unittest
from types import SimpleNamespace

import hypothesis
from hypothesis import strategies as st

from standins.answers import End, ReadAnswer
from tests.daemon.callerplans import (
    HALF_CLOSING,
    SMUGGLED,
    Ask,
    Ending,
    Framing,
    Plan,
    SentAsk,
)
from tests.daemon.playedplans import PlayedPlan
from tests.daemon.test_caller_connections import EXAMPLES, SEED, settings
from tests.rawcaller import RawCaller
from walnutquay.coordination.requests.outcomes import (
    ChatArrival,
    Outcome,
    ServiceArrival,
    Streamed,
    Whole,
)
from walnutquay.daemon.callers import CallersApi
from walnutquay.protocol.chat import END_MARK
from walnutquay.sections import CallersSection
from walnutquay.state.own.claims import WholeAnswer
from walnutquay.state.process.keys import key_hash
from walnutquay.state.store.parts import Organisation
from walnutquay.transport.loops import new_loop

KEY = "key-of-org-a"
HOST = "127.0.0.1"
SERVICE = "echo"
# Which request an answer is to.
HEADER_WHOSE = "x-whose"
EVENTS = [f"data: word {number}\n\n".encode() for number in range(3)]
STREAM = b"".join([*EVENTS, END_MARK])
SERVICE_STATUSES = {"good": 200, "failed": 500, "empty": 204, "unchanged": 304}
CHAT_STATUSES = {"good": 200, "bad body": 400, "broken": 500}
STREAMED = ("good", "cut", "broken")


class OwnPaths:
    """Paths whose answers say whose they are; for any thread."""

    def __init__(self) -> None:
        self.numbers = itertools.count(1)
        self.sent: dict[str, SentAsk] = {}
        # What came of each, as the paths got it.
        self.came: dict[str, list[tuple[str, bytes]]] = {}

    def make(self, ask: Ask) -> SentAsk:
        """:returns: a request with a name that no other one has."""
        name = f"q{next(self.numbers)}"
        made = self.sent[name] = _chat(ask, name) or _call(ask, name)
        return made

    async def call(self, arrival: ServiceArrival) -> Outcome:
        """Answer a call of a service."""
        name = arrival.path.strip("/")
        self.came.setdefault(name, []).append((arrival.method, arrival.body))
        await asyncio.sleep(0)
        ask = self.sent[name].ask
        status = SERVICE_STATUSES[ask.answers[0]]
        body = b"the answer to " + name.encode()
        return Whole(WholeAnswer(status, "text/plain", body, ((HEADER_WHOSE, name),)))

    async def chat(self, arrival: ChatArrival) -> Outcome:
        """Answer a chat request."""
        name = arrival.call.model
        self.came.setdefault(name, []).append(("POST", arrival.body))
        answer = self.sent[name].ask.answers[0]
        reply = arrival.reply
        if reply is None:
            if answer == "broken":
                raise RuntimeError("a fault of the path")
            headers = ((HEADER_WHOSE, name),)
            return Whole(WholeAnswer(200, "application/json", STREAM, headers))
        await reply.begin({HEADER_WHOSE: name})
        for event in EVENTS:
            await reply.write(event)
            await asyncio.sleep(0)
        if answer == "broken":
            raise RuntimeError("a fault of the path")
        if answer == "good":
            await reply.write(END_MARK)
        return Streamed(whole=answer == "good")


def _head(ask: Ask, target: str, body: bytes) -> bytes:
    lines = [
        f"{ask.method} {target} HTTP/{ask.version}",
        f"Host: {HOST}",
        f"Authorization: Bearer {KEY}",
    ]
    if ask.connection:
        lines.append(f"Connection: {ask.connection}")
    if ask.framing is Framing.CHUNKS:
        lines.append("Transfer-Encoding: chunked")
        body = b"".join(b"1\r\n%c\r\n" % byte for byte in body) + b"0\r\n\r\n"
    elif body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


def _call(ask: Ask, name: str) -> SentAsk:
    body = b"" if ask.framing is Framing.NONE else SMUGGLED + name.encode()
    target = f"/services/{SERVICE}/{name}"
    if ask.route == "nowhere":
        target = f"/nowhere/{name}"
    return SentAsk(ask, name, target, body, _head(ask, target, body))


def _chat(ask: Ask, name: str) -> SentAsk | None:
    if ask.route not in ("chat", "stream"):
        return None
    messages = [{"role": "user", "content": SMUGGLED.decode()}]
    call = {"model": name, "messages": messages, "stream": ask.route == "stream"}
    body = b"{" if ask.answers[0] == "bad body" else json.dumps(call).encode()
    target = "/v1/chat/completions"
    return SentAsk(ask, name, target, body, _head(ask, target, body))


@st.composite
def an_ask(draw: st.DrawFn) -> Ask:
    """Draw a request."""
    route = draw(st.sampled_from(("call", "call", "chat", "stream", "nowhere")))
    answers = {"chat": tuple(CHAT_STATUSES), "stream": STREAMED}
    chats = route in answers
    methods = ("POST",) if chats else ("GET", "POST", "HEAD", "PUT", "OPTIONS")
    framings = (Framing.LENGTH, Framing.CHUNKS) if chats else tuple(Framing)
    # Others are refused.
    versions = ("1.1",) if route == "stream" else ("1.1", "1.1", "1.0")
    version = draw(st.sampled_from(versions))
    framing = draw(st.sampled_from(framings))
    if version == "1.0" and framing is Framing.CHUNKS:
        framing = Framing.LENGTH
    return Ask(
        route,
        draw(st.sampled_from(methods)),
        (draw(st.sampled_from(answers.get(route, tuple(SERVICE_STATUSES)))),),
        version,
        draw(st.sampled_from(("", "", "keep-alive", "close"))),
        framing,
        draw(st.booleans()),
        draw(st.integers(1, 4)),
        draw(st.booleans()),
    )


PLANS = st.builds(
    Plan,
    st.lists(an_ask(), min_size=1, max_size=4).map(tuple),
    st.sampled_from(Ending),
)


class OwnPlayedPlan(PlayedPlan):
    """Plays a plan against our own interface."""

    def check_runs(self) -> None:
        """Check what reached the paths."""
        for name, came in dict(self.endpoints.came).items():
            sent = self.endpoints.sent[name]
            for method, body in came:
                self._hold((method, body) == (sent.ask.method, sent.body), body)
        for sent in self.sent:
            times = sum(other.name == sent.name for other in self.sent)
            came = self.endpoints.came.get(sent.name, ())
            self._hold(len(came) <= times, f"{sent.name} came {len(came)} times")

    def _check(self, sent: SentAsk, answer: ReadAnswer) -> None:
        name, ask = sent.name, sent.ask
        words = f"{name} got {answer}"
        if ask.route == "nowhere":
            self._hold(answer.status == 404, words)
            return
        statuses = SERVICE_STATUSES
        if ask.route in ("chat", "stream"):
            statuses = CHAT_STATUSES
        expected = statuses.get(ask.answers[0], 200)
        if ask.route == "stream":
            expected = 200
        self._hold(answer.status == expected, words)
        if HEADER_WHOSE not in answer.headers:
            self._hold(answer.status >= 400 and name not in str(answer), words)
            return
        self._hold(answer.headers[HEADER_WHOSE] == name, words)
        body = b"the answer to " + name.encode()
        if ask.route in ("chat", "stream"):
            body = STREAM
        if ask.method == "HEAD" or answer.status in (204, 304):
            body = b""
        right = body.startswith(answer.body)
        self._hold(right and answer.whole is (answer.body == body), words)
        whole = ask.answers[0] == "good" or ask.route != "stream"
        # A caller who half closes is taken for one who has left.
        left = self.plan.ending in HALF_CLOSING and not answer.whole
        # Bytes that nobody reads behind an answer that closes reset its connection.
        overrun = answer.closes and sent is not self.sent[-1]
        cut = not answer.whole and overrun and self.caller.end is End.RESET
        self._hold(answer.whole is whole or left or cut, words)


class OwnCallersCase(unittest.IsolatedAsyncioTestCase):
    """Starts our own interface over paths that are not the real ones."""

    async def asyncSetUp(self) -> None:
        for name in ("sanic.error", "sanic.root"):
            logger = logging.getLogger(name)
            logger.disabled = True
            self.addCleanup(setattr, logger, "disabled", False)
        numbers = itertools.count(1)
        organisation = Organisation(name="org-a", services=(SERVICE,))
        configuration = SimpleNamespace(
            by_key_hash={key_hash(KEY): organisation}, services={SERVICE: object()}
        )
        self.paths = OwnPaths()
        self.api = CallersApi(
            SimpleNamespace(vm="vm-1", new_request_id=lambda: f"r{next(numbers)}"),
            CallersSection(port=0),
            SimpleNamespace(ready=True, current=configuration),
            SimpleNamespace(serve=self.paths.chat),
            SimpleNamespace(serve=self.paths.call),
            1.0,
        )
        await self.api.start()
        self.addAsyncCleanup(self.api.server.stop)

    def play(self, plan: Plan) -> None:
        """Play a plan; in a thread of its own."""
        with RawCaller(self.api.server.port) as caller:
            played = OwnPlayedPlan(self.paths, caller, plan, lambda: None)
            played.play()
        played.check_runs()


class StreamEndTest(OwnCallersCase):
    """Streams that are not whole do not end like whole ones."""

    def answer(self, outcome: str, version: str = "1.1") -> ReadAnswer | None:
        """:returns: the stream that a path ends in some way."""
        ask = Ask("stream", "POST", (outcome,), version, framing=Framing.LENGTH)
        with RawCaller(self.api.server.port) as caller:
            caller.send(self.paths.make(ask).data)
            return caller.answer("POST")

    async def test_one_that_broke_off(self):
        answer = await asyncio.to_thread(self.answer, "cut")
        self.assertFalse(answer.whole)
        self.assertEqual(answer.body, b"".join(EVENTS))

    async def test_one_that_an_error_ended(self):
        answer = await asyncio.to_thread(self.answer, "broken")
        self.assertFalse(answer.whole)
        self.assertEqual(answer.body, b"".join(EVENTS))

    async def test_one_that_its_caller_cannot_read(self):
        answer = await asyncio.to_thread(self.answer, "good", "1.0")
        self.assertEqual(answer.status, 400)
        self.assertEqual(json.loads(answer.body)["error"]["ran"], "not_run")
        self.assertEqual(self.paths.came, {})


class AsyncioTest(OwnCallersCase):
    """On asyncio's own loop."""

    async def test_each_answer_is_its_requests_own(self):
        @hypothesis.settings(settings, max_examples=EXAMPLES)
        @hypothesis.given(PLANS)
        def holds(plan: Plan) -> None:
            self.play(plan)

        if SEED is not None:
            holds = hypothesis.seed(int(SEED))(holds)
        await asyncio.to_thread(holds)


class DaemonLoopTest(AsyncioTest):
    """On the loop that the daemons use."""

    def _setupAsyncioRunner(self) -> None:  # noqa: N802
        # unittest takes a loop of one's own only from Python 3.13 on.
        self._asyncioRunner = asyncio.Runner(loop_factory=new_loop)
