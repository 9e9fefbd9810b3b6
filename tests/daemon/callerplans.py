# Licensed under the Apache License 2.0: see LICENSE for details.

"""What a caller may do with one connection, and how endpoints may answer."""

from __future__ import annotations

import itertools
from dataclasses import dataclass
from enum import Enum

from hypothesis import strategies as st

from standins.worker import Behaviour, Seen
from tests.gatewaycase import HOST, KEY

EVENTS = 3
STREAMS = ("stream", "once")
DEADLINE_MS = 4000
# The deadline of requests that an endpoint may never answer.
SHORT_DEADLINE_MS = 200
LATE_SECONDS = 0.01
# Statuses by which a request is promised not to have run.
NOT_RUN = (400, 401, 404, 408, 413, 421, 429, 431, 503)
# A body that would be a request if it were read as one.
SMUGGLED = b"GET /unsafe/smuggled HTTP/1.1\r\nHost: app.example\r\n\r\n"

PLAIN: dict[str, dict] = {
    "good": {},
    "chunked": {"chunked": True},
    "twice": {"extra": True},
    "late": {"extra": True, "extra_after": LATE_SECONDS},
    "late, next": {"extra": True, "extra_late": True},
    "too much": {"junk": b"more than was said"},
    "too little": {"lacking": 2},
    "too few chunks": {"chunked": True, "lacking": 5},
    "cut": {"cut_after": 3},
    "no length": {"framed": False},
    "no length, cut": {"framed": False, "cut_after": 3},
    "another's": {"crossed": True},
    "refused": {"status": 503, "not_run": True},
    "failed": {"status": 500},
    "gone": {"status": 410},
    "empty": {"status": 204},
    "unchanged": {"status": 304},
    "switching": {"status": 101},
    "mute": {"mute": True},
    "unnamed": {"named": False},
    "closing": {"headers": {"Connection": "close"}},
}
# Second answers that nothing tells from those of the next requests.
SECOND_ANSWERS: dict[str, dict] = {
    "twice, unnamed": {"extra": True, "named": False},
    "late, unnamed": {"extra": True, "extra_after": LATE_SECONDS, "named": False},
    "late, next, unnamed": {"extra": True, "extra_late": True, "named": False},
}
EVENT_STREAMS: dict[str, dict] = {
    "good": {"events": EVENTS},
    "cut": {"events": EVENTS, "cut_after": 1},
    "cut within": {"events": EVENTS, "cut_after": 1, "within": 4},
    "cut at once": {"events": EVENTS, "cut_after": 0},
    "another's": {"events": EVENTS, "crossed": True},
    "slow": {"events": EVENTS, "pause": 0.01},
    "failed": {"status": 500},
    "refused": {"status": 503, "not_run": True},
    "mute": {"mute": True},
}


class Framing(Enum):
    """How a request's body is sent."""

    NONE = "none"
    LENGTH = "length"
    CHUNKS = "chunks"


class Ending(Enum):
    """What a caller does once its requests are sent."""

    # Reads all answers, and sees that nothing else comes.
    QUIET = "quiet"
    HALF_CLOSED = "half closed"
    LEFT = "left"
    RESET = "reset"
    # Half closes within one more request's head or body.
    IN_HEAD = "in the head"
    IN_BODY = "in the body"
    # Sends what is no request, or more of a body than was said.
    JUNK = "junk"
    LONG_BODY = "long body"


HALF_CLOSING = (Ending.HALF_CLOSED, Ending.IN_HEAD, Ending.IN_BODY)


@dataclass(frozen=True)
class Ask:
    """One request.

    :param route: the route's name; one that is unknown is none's.
    :param answers: how endpoints answer it, each time one is asked; the last again.
    :param early: whether the next one is sent before its answer has come.
    :param pieces: in how many pieces it is sent.
    :param again: whether it is the one before, sent once more.
    """

    route: str
    method: str
    answers: tuple[str, ...]
    version: str = "1.1"
    connection: str = ""
    framing: Framing = Framing.NONE
    early: bool = False
    pieces: int = 1
    again: bool = False


@dataclass(frozen=True)
class Plan:
    """What is done with one connection.

    :param stop_after: the request behind which the server's stop begins, if it does.
    """

    asks: tuple[Ask, ...]
    ending: Ending
    stop_after: int | None = None


@st.composite
def an_ask(draw: st.DrawFn, plain: tuple[str, ...] = tuple(PLAIN)) -> Ask:
    """Draw a request.

    :param plain: how it may be answered where it is not for a stream.
    """
    route = draw(st.sampled_from(("safe", "unsafe", "open", "nowhere", *STREAMS)))
    behaviours = tuple(EVENT_STREAMS) if route in STREAMS else plain
    return Ask(
        route,
        draw(st.sampled_from(("GET", "POST", "HEAD", "PUT", "OPTIONS"))),
        tuple(draw(st.lists(st.sampled_from(behaviours), min_size=1, max_size=2))),
        draw(st.sampled_from(("1.1", "1.1", "1.0"))),
        draw(st.sampled_from(("", "", "keep-alive", "close"))),
        draw(st.sampled_from(Framing)),
        draw(st.booleans()),
        draw(st.integers(1, 4)),
        draw(st.booleans()),
    )


PLANS = st.builds(
    Plan,
    st.lists(an_ask(), min_size=1, max_size=4).map(tuple),
    st.sampled_from(Ending),
)
SECOND_ANSWER_PLANS = st.builds(
    Plan,
    st.lists(an_ask(("good", *SECOND_ANSWERS)), min_size=2, max_size=4).map(tuple),
    st.sampled_from(Ending),
)
STOPPED_PLANS = st.builds(
    Plan,
    st.lists(an_ask(), min_size=1, max_size=4).map(tuple),
    st.sampled_from(Ending),
    st.integers(0, 3),
)


@dataclass
class SentAsk:
    """A request that was sent.

    :param name: its id.
    :param data: its bytes.
    """

    ask: Ask
    name: str
    target: str
    body: bytes
    data: bytes


class Endpoints:
    """How requests are answered, by their ids, and what was run; for any thread."""

    def __init__(self) -> None:
        self.numbers = itertools.count(1)
        self.sent: dict[str, SentAsk] = {}
        # By id: who was asked, what it saw, and how it answered.
        self.asked: dict[str, list[tuple[str, Seen, Behaviour]]] = {}

    def choose(self, worker: str, seen: Seen) -> Behaviour | None:
        """:returns: how an endpoint answers a request."""
        name = seen.headers.get("request-id", "")
        sent = self.sent.get(name)
        asked = self.asked.setdefault(name, [])
        if sent is None:
            behaviour = Behaviour()
        else:
            answers = sent.ask.answers
            behaviour = _behaviour(sent, answers[min(len(asked), len(answers) - 1)])
        asked.append((worker, seen, behaviour))
        return behaviour

    def make(self, ask: Ask) -> SentAsk:
        """:returns: a request with an id that no other one has."""
        name = f"q{next(self.numbers)}"
        body = b"" if ask.framing is Framing.NONE else SMUGGLED + name.encode()
        target = f"/{ask.route}/{name}"
        data = _request(ask, name, target, body)
        made = self.sent[name] = SentAsk(ask, name, target, body, data)
        return made


def _behaviour(sent: SentAsk, answer: str) -> Behaviour:
    if sent.ask.route in STREAMS:
        return Behaviour(**EVENT_STREAMS[answer], body=b"failed " + sent.name.encode())
    plain = {**PLAIN, **SECOND_ANSWERS}
    return Behaviour(**plain[answer], body=b"the answer to " + sent.name.encode())


def _request(ask: Ask, name: str, target: str, body: bytes) -> bytes:
    mute = "mute" in ask.answers
    lines = [
        f"{ask.method} {target} HTTP/{ask.version}",
        f"Host: {HOST}",
        f"Request-Id: {name}",
        f"Deadline: {SHORT_DEADLINE_MS if mute else DEADLINE_MS}",
        f"Authorization: Bearer {KEY}",
        "Model: tiny",
    ]
    if ask.connection:
        lines.append(f"Connection: {ask.connection}")
    chunked = ask.framing is Framing.CHUNKS and ask.version == "1.1"
    if chunked:
        lines.append("Transfer-Encoding: chunked")
        body = b"".join(b"1\r\n%c\r\n" % byte for byte in body) + b"0\r\n\r\n"
    elif ask.framing is not Framing.NONE:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body
