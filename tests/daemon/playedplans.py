# Licensed under the Apache License 2.0: see LICENSE for details.

"""Plays what a caller does with a connection, and checks what comes back."""

from __future__ import annotations

from collections.abc import Callable

from standins.answers import NotAnAnswerError, ReadAnswer
from standins.worker import Behaviour
from tests.daemon.callerplans import (
    HALF_CLOSING,
    NOT_RUN,
    Ask,
    Ending,
    Endpoints,
    Framing,
    Plan,
    SentAsk,
)
from tests.rawcaller import RawCaller


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
        # A request of which only a part is sent, if there is one.
        self.partial: SentAsk | None = None
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
        if self.partial is not None:
            begun = self.endpoints.asked.get(self.partial.name)
            self._hold(not begun, f"{begun} of a part of {self.partial.name}")
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
            self.partial = last
            self.caller.send(last.data[:40])
        elif ending is Ending.IN_BODY:
            self.partial = last
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
            end = self.caller.end.value
            raise BrokenError(f"{words}; connection {end}; {self.plan}")


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
