# Licensed under the Apache License 2.0: see LICENSE for details.

"""Traces made from a seed, after the workloads of the two first users."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from enum import Enum

from walnutquay.replay.traces import ReplayOutcome, RequestKind, TraceRequest

ORGANISATIONS = 10
# Organisation n has a weight of 1 / (n + 1) ** SKEW: a few are large.
SKEW = 1.2
# Sessions of each organisation that are under way at once.
SESSIONS = 8
# Share of the calls that may not be repeated whose caller repeats them all the same,
# under the same key, so many seconds later.
REPEATED = 0.1
REPEAT_SECONDS = 1.5


class Workload(Enum):
    """Whose workload a trace is after."""

    PANELWERK = "panelwerk"
    QUOTE_DESK = "quote-desk"


@dataclass(frozen=True, slots=True)
class Kind:
    """One class of request.

    :param name: the class.
    :param weight: its share of all requests.
    :param model: the cascade that it names; empty for a call of a service.
    :param prompt_chars: mean length of its prompt.
    :param shared_chars: how much of that is shared among its requests.
    :param max_tokens: mean length of its answer.
    :param stream: whether it is streamed.
    :param sessions: whether its requests belong to sessions.
    :param method: the method of a call.
    :param path: the path of a call.
    :param deadline: seconds within which its caller wants it.
    """

    name: str
    weight: float
    model: str = ""
    prompt_chars: int = 0
    shared_chars: int = 0
    max_tokens: int = 0
    stream: bool = False
    sessions: bool = False
    method: str = "GET"
    path: str = ""
    deadline: float = 20.0


KINDS: dict[Workload, Sequence[Kind]] = {
    Workload.PANELWERK: (
        Kind("tag", 0.36, "panel", 2400, 1200, 6, deadline=5.0),
        Kind("balloon", 0.16, "panel", 1000, 300, 16, stream=True),
        Kind("recap", 0.22, "recap", 6000, 3000, 32, stream=True, sessions=True),
        Kind("library", 0.19, path="/services/app/library", deadline=4.0),
        Kind("bookmark", 0.07, method="POST", path="/services/app/marks", deadline=4.0),
    ),
    Workload.QUOTE_DESK: (
        Kind("quote", 0.30, "quote", 2400, 1200, 12, sessions=True),
        Kind("lane", 0.22, "quote", 4000, 1200, 24, stream=True),
        Kind("tender", 0.22, "tender", 6000, 3000, 32, stream=True, sessions=True),
        Kind("tariff", 0.16, path="/services/tariff/rates", deadline=3.0),
        Kind(
            "booking", 0.10, method="POST", path="/services/tariff/book", deadline=3.0
        ),
    ),
}


class WorkloadGenerator:
    """Makes a trace; the same arguments make the same trace.

    :param workload: whose.
    :param seed: the seed of all chance.
    :param rate: requests a second.
    """

    def __init__(self, workload: Workload, seed: int, rate: float) -> None:
        self.workload = workload
        self.rng = random.Random(f"{workload.value}/{seed}")
        self.rate = rate
        self.organisations = [f"{workload.value}-{n}" for n in range(ORGANISATIONS)]
        self.weights = [1 / (n + 1) ** SKEW for n in range(ORGANISATIONS)]
        self.kinds = KINDS[workload]
        self.number = 0

    def requests(self, seconds: float) -> Iterator[TraceRequest]:
        """Yield requests in order of arrival.

        :param seconds: how long the trace is.
        """
        at = self.rng.expovariate(self.rate)
        repeats: list[TraceRequest] = []
        while at < seconds:
            while repeats and repeats[0].at <= at:
                yield repeats.pop(0)
            request = self._request(round(at, 4))
            yield request
            if request.key and self.rng.random() < REPEATED:
                later = round(at + REPEAT_SECONDS, 4)
                repeats.append(
                    request.model_copy(update={"at": later, "name": "repeat"})
                )
            at += self.rng.expovariate(self.rate)
        yield from repeats

    def _request(self, at: float) -> TraceRequest:
        self.number += 1
        kind = self.rng.choices(self.kinds, [k.weight for k in self.kinds])[0]
        organisation = self.rng.choices(self.organisations, self.weights)[0]
        make: Callable[..., TraceRequest] = self._chat if kind.model else self._call
        return make(kind, at, organisation)

    def _chat(self, kind: Kind, at: float, organisation: str) -> TraceRequest:
        session = ""
        prefix = kind.name
        if kind.sessions:
            session = f"{organisation}-{kind.name}-{self.rng.randrange(SESSIONS)}"
            prefix = session
        chars = round(self.rng.gauss(kind.prompt_chars, kind.prompt_chars / 5))
        return TraceRequest(
            at=at,
            organisation=organisation,
            request_class=kind.name,
            kind=RequestKind.CHAT,
            expect=(ReplayOutcome.ANSWERED,),
            name=f"{kind.name} {self.number}",
            model=kind.model,
            prefix=prefix,
            prefix_chars=kind.shared_chars,
            prompt_chars=max(kind.shared_chars + 100, chars),
            max_tokens=max(1, round(self.rng.expovariate(1 / kind.max_tokens))),
            stream=kind.stream,
            session=session,
            deadline=kind.deadline,
        )

    def _call(self, kind: Kind, at: float, organisation: str) -> TraceRequest:
        unsafe = kind.method != "GET"
        return TraceRequest(
            at=at,
            organisation=organisation,
            request_class=kind.name,
            kind=RequestKind.SERVICE,
            name=f"{kind.name} {self.number}",
            method=kind.method,
            path=f"{kind.path}/{self.rng.randrange(500)}",
            body=f'{{"order": {self.number}}}' if unsafe else "",
            key=f"{self.workload.value}-{self.number}" if unsafe else "",
            deadline=kind.deadline,
        )
