# Licensed under the Apache License 2.0: see LICENSE for details.

"""What a caller may do with one connection, and what must hold of what comes back."""

from __future__ import annotations

import itertools
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from hypothesis import strategies as st

from standins.answers import NotAnAnswerError, ReadAnswer
from standins.worker import Behaviour, Seen
from tests.gatewaycase import HOST, KEY
from tests.rawcaller import RawCaller

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


class BrokenError(AssertionError):
    """Something that must hold did not."""


class PlayedPlan:
    """Plays a plan on a connection, and checks what comes back.

    :param endpoints: those that answer.
    :param caller: the connection.
    :param plan: what is done.
    :param stop: begins the server's stop.
    """

    def __init__(
        self,
        endpoints: Endpoints,
        caller: RawCaller,
        plan: Plan,
        stop: Callable[[], None],
    ) -> None:
        self.endpoints = endpoints
        self.caller = caller
        self.plan = plan
        self.stop = stop
        self.sent: list[SentAsk] = []
        # One for each answer that was read.
        self.answers: list[ReadAnswer] = []
        # Whether an answer has said, or shown, that nothing follows it.
        self.over = False

    def play(self) -> None:
        """Play it, and check each answer."""
        try:
            self._play()
        except (TimeoutError, NotAnAnswerError) as error:
            raise BrokenError(f"{error!r}; {self.sent}; {self.plan}") from error

    def _play(self) -> None:
        for number, ask in enumerate(self.plan.asks):
            self._send(ask)
            if number == self.plan.stop_after:
                self.stop()
            if not ask.early:
                self._read_owed()
            if self.over:
                break
        self._finish()

    def check_runs(self) -> None:
        """Check what was run, once nothing runs any more."""
        for sent in self.sent:
            runs = [
                seen
                for _, seen, behaviour in self.endpoints.asked.get(sent.name, ())
                if not behaviour.not_run
            ]
            for seen in runs:
                got = (seen.method, seen.target, seen.body)
                self._hold(got == (sent.ask.method, sent.target, sent.body), got)
            times = sum(other.name == sent.name for other in self.sent)
            if sent.ask.route in ("unsafe", "once"):
                self._hold(len(runs) <= times, f"{sent.name} ran {len(runs)} times")
            if times == 1 and self._promised(sent):
                self._hold(not runs, f"{sent.name} ran though that was denied")
            if times == 1 and self._closed_before(sent):
                self._hold(not runs, f"{sent.name} ran, and was not answered")
        self._hold(set(self.endpoints.asked) <= set(self.endpoints.sent), "smuggled")

    def _promised(self, sent: SentAsk) -> bool:
        """Whether its caller was told that it had not run."""
        place = self.sent.index(sent)
        if place >= len(self.answers):
            return False
        answer = self.answers[place]
        return answer.status in NOT_RUN and "reply-seal" not in answer.headers

    def _closed_before(self, sent: SentAsk) -> bool:
        """Whether the server ended the connection without an answer to it."""
        reads_all = self.plan.ending in (Ending.QUIET, Ending.JUNK, Ending.LONG_BODY)
        return reads_all and self.sent.index(sent) >= len(self.answers)

    # Sending.

    def _send(self, ask: Ask) -> None:
        sent = self.sent[-1] if ask.again and self.sent else self.endpoints.make(ask)
        self.sent.append(sent)
        size = max(1, -(-len(sent.data) // ask.pieces))
        for start in range(0, len(sent.data), size):
            self.caller.send(sent.data[start : start + size])

    def _finish(self) -> None:
        ending = self.plan.ending
        if ending is Ending.LEFT:
            self.caller.socket.close()
            return
        if ending is Ending.RESET:
            self.caller.reset()
            return
        if ending is Ending.QUIET:
            self._finish_quietly()
            return
        if not self.over:
            self._send_last(ending)
        self._read_owed(all_due=False)
        self._nothing_follows()

    def _finish_quietly(self) -> None:
        """Send a last request that closes: nothing else may come before its answer."""
        self._read_owed()
        if not self.over:
            self._send(Ask("open", "GET", ("good",), connection="close"))
            self._read_owed()
        self._nothing_follows()

    def _send_last(self, ending: Ending) -> None:
        last = self.endpoints.make(
            Ask("unsafe", "POST", ("good",), framing=Framing.LENGTH)
        )
        if ending is Ending.IN_HEAD:
            self.caller.send(last.data[:40])
        elif ending is Ending.IN_BODY:
            self.caller.send(last.data[:-4])
        elif ending is Ending.JUNK:
            self.caller.send(b"these are no requests\r\n\r\n")
        elif ending is Ending.LONG_BODY:
            self.sent.append(last)
            self.caller.send(last.data + b"\r\n\x00and more\r\n\r\n")
        if ending in HALF_CLOSING:
            self.caller.half_close()

    # Reading.

    def _read_owed(self, all_due: bool = True) -> None:
        """Read the answers to all that was sent.

        :param all_due: whether the server must answer each request.
        """
        while len(self.answers) < len(self.sent) and not self.over:
            sent = self.sent[len(self.answers)]
            answer = self.caller.answer(sent.ask.method)
            if answer is None:
                self._hold(not self.caller.unread, f"a piece: {self.caller.unread!r}")
                due = all_due and self.plan.stop_after is None
                self._hold(not due, f"{sent.name} was not answered")
                self.over = True
                return
            self.answers.append(answer)
            self._check(sent, answer)
            self.over = answer.closes or not answer.whole

    def _nothing_follows(self) -> None:
        """Check what comes until the end: at most a refusal of what was no request."""
        rest = self.caller.rest()
        if rest and not self.over:
            answer = self.caller.answer()
            rest = self.caller.unread
            refused = answer is not None and answer.status == 400 and answer.closes
            self._hold(refused, f"an answer that nobody waits for: {answer}")
            self._hold(self.plan.ending is not Ending.QUIET, f"too many: {answer}")
        self._hold(not rest, f"more than answers: {rest!r}")

    def _check(self, sent: SentAsk, answer: ReadAnswer) -> None:
        said = answer.headers.get("request-id", "")
        unnamed = said == "" and any("unnamed" in one for one in sent.ask.answers)
        right = said == sent.name or unnamed
        self._hold(right, f"{sent.name} got the answer to {said!r}: {answer}")
        seal = answer.headers.get("reply-seal")
        if 200 <= answer.status < 300:
            self._hold(seal is not None, f"{sent.name}: a success without a seal")
        if seal is None:
            return
        asked = self.endpoints.asked.get(sent.name, ())
        right = any(
            seal == f"seal-of-{worker}"
            and answer.status == behaviour.status
            and _is_body(sent, behaviour, answer)
            for worker, _, behaviour in asked
        )
        self._hold(right, f"{sent.name} got {answer}, from {asked}")

    def _hold(self, condition: bool, words: object) -> None:
        if not condition:
            raise BrokenError(f"{words}; {self.plan}")


def _is_body(sent: SentAsk, behaviour: Behaviour, answer: ReadAnswer) -> bool:
    """Whether a body is the endpoint's, or the beginning of it where it was cut."""
    body = behaviour.body
    if behaviour.events is not None:
        body = b"".join(
            f"id: {number}\ndata: word {number}\n\n".encode()
            for number in range(1, behaviour.events + 1)
        )
    if sent.ask.method == "HEAD" or answer.status in (204, 304):
        body = b""
    if answer.whole:
        return answer.body == body
    return body.startswith(answer.body)
