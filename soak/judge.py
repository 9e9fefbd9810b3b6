# Licensed under the Apache License 2.0: see LICENSE for details.

"""What must hold in a soak, from what callers got and endpoints saw."""

from __future__ import annotations

import json
from collections.abc import Iterator
from pathlib import Path

from soak.announcements import AnnouncementJudge
from soak.behaviours import CRASHING, EVENTS, crashing_part
from soak.callers import Callers, Kind, Sent
from soak.faults import Faults
from soak.fleet import (
    COLD_EXTRA,
    COLD_OVER,
    COLD_PER_SECOND,
    CONTACT_SECONDS,
    PROMISES,
    SoakFleet,
)
from standins.worker import Seen
from walnutquay.state.requests.attribution import CRASHES_TO_BLOCK

# Statuses by which a VM promises that a request has not run and will not.
PROMISES_NOT_RUN = (408, 421, 429, 503)
# Sends of a request that has ended three endpoints, later than a VM is given to know.
SENDS_AFTER = 3
# The ends after which the same holds for requests that share a part.
CRASHES_OF_PART = 5
# Its sends in all: VMs that knew of it may be killed before they have told.
MOST_SENDS = 3 * CRASHES_TO_BLOCK
# What a busy machine may take over the times that VMs keep to.
SLACK_SECONDS = 1.0
STREAM = b"".join(f"id: {n}\ndata: word {n}\n\n".encode() for n in range(1, EVENTS + 1))
# Levels of log lines that a soak must not bring about.
GRAVE = ("ERROR", "CRITICAL")
# What an endpoint that names a rate limit tolerates in any span of some seconds.
LIMIT_SPAN = 4.0
LIMIT_OVER, LIMIT_EXTRA = 1.5, 5


class Judge:
    """Finds broken promises.

    :param fleet: what was played on.
    :param callers: who sent requests.
    :param faults: what was brought about.
    """

    def __init__(self, fleet: SoakFleet, callers: Callers, faults: Faults) -> None:
        self.fleet = fleet
        self.faults = faults
        self.strays = callers.strays()
        self.sent = {one.request: one for one in callers.sent}
        endpoints = (*fleet.endpoints.values(), *fleet.gone)
        self.announcements = AnnouncementJudge(endpoints, self.sent)
        # What ran, by the id of the request.
        self.runs: dict[str, list[Seen]] = {}
        for worker in fleet.workers():
            for seen in worker.runs:
                self.runs.setdefault(seen.headers["request-id"], []).append(seen)

    def broken(self) -> list[str]:
        """:returns: what has not held, in words."""
        found = [words for sent in self.sent.values() for words in self._request(sent)]
        found += self._crashing()
        found += self._crashing_parts()
        found += self.announcements.draining()
        found += self._ends()
        found += [f"{vm} sent unasked {data[:80]!r}" for vm, data in self.strays]
        return found + list(self._lines())

    def timed(self) -> list[str]:
        """:returns: what has not held in its time, at VMs that nothing disturbed."""
        return [
            *self._keys(),
            *self._leaving(),
            *self._emptied(),
            *self._cold(),
            *self._limits(),
            *self.announcements.pauses(),
        ]

    # Requests.

    def _request(self, sent: Sent) -> Iterator[str]:
        runs = self.runs.get(sent.request, [])
        if sent.kind is Kind.UNSAFE and len(runs) > 1:
            yield f"{sent.request} ran {len(runs)} times"
        if sent.status in PROMISES_NOT_RUN and runs:
            yield f"{sent.request} was told {sent.status} and has run"
        if sent.junk:
            yield f"{sent.request} got no answer: {sent.junk}"
        if sent.named not in ("", sent.request):
            yield f"{sent.request} got the answer to {sent.named}"
        if sent.status == 200:
            yield from self._answer(sent, runs)
        elif sent.seal:
            yield f"{sent.request} got {sent.status} with a signature"
        for seen in runs:
            if seen.body != sent.body:
                yield f"{sent.request} ran with another body"
            if sent.key not in _keys_of(seen.headers["tenant"], self.fleet):
                yield f"{sent.request} ran for {seen.headers['tenant']}"

    def _answer(self, sent: Sent, runs: list[Seen]) -> Iterator[str]:
        if not runs:
            yield f"{sent.request} was answered and has not run"
        if not sent.seal:
            yield f"{sent.request} has an answer without a signature"
        right = STREAM if sent.kind is Kind.STREAM else sent.request.encode()
        if sent.whole and sent.answer != right:
            yield f"{sent.request} got {sent.answer!r} as a whole answer"
        if not right.startswith(sent.answer):
            yield f"{sent.request} got {sent.answer!r}"

    # Requests that end engines.

    def _crashing(self) -> Iterator[str]:
        paths: dict[str, list[Seen]] = {}
        for runs in self.runs.values():
            for seen in runs:
                if seen.body == CRASHING:
                    paths.setdefault(seen.target, []).append(seen)
        for path, runs in paths.items():
            runs.sort(key=lambda seen: seen.at)
            if len(runs) <= CRASHES_TO_BLOCK:
                continue
            if len(runs) > MOST_SENDS:
                yield f"{path} was sent {len(runs)} times"
            known = runs[CRASHES_TO_BLOCK - 1].at + CONTACT_SECONDS
            later = [seen for seen in runs if seen.at > known and self._in_touch(seen)]
            if len(later) > SENDS_AFTER:
                yield f"{path} was sent {len(later)} times after three ends"

    def _crashing_parts(self) -> Iterator[str]:
        parts: dict[str, list[tuple[float, str, int, Seen]]] = {}
        for worker in self.fleet.workers():
            for seen in worker.runs:
                part = crashing_part(seen)
                if part:
                    row = (seen.at, worker.address, seen.start, seen)
                    parts.setdefault(part, []).append(row)
        for part, rows in parts.items():
            rows.sort(key=lambda row: row[0])
            # One start of an engine ends once, however many requests it has.
            ends = dict.fromkeys((address, start) for _, address, start, _ in rows)
            if len(ends) < CRASHES_OF_PART:
                continue
            fifth = list(ends)[CRASHES_OF_PART - 1]
            known = next(row[0] for row in rows if (row[1], row[2]) == fifth)
            limit = known + CONTACT_SECONDS
            later = [s for at, _, _, s in rows if at > limit and self._in_touch(s)]
            if len(later) > SENDS_AFTER:
                yield f"{part} was sent {len(later)} times after five ends"

    def _in_touch(self, seen: Seen) -> bool:
        """Whether nothing disturbed the VM that sent it, nor shortly before."""
        return self.sent[seen.headers["request-id"]].vm.in_touch(seen.at)

    # Times.

    def _keys(self) -> Iterator[str]:
        for sent in self.sent.values():
            taken = self.faults.revoked.get(sent.key, float("inf"))
            late = taken + PROMISES["config_seconds"] + SLACK_SECONDS
            runs = self.runs.get(sent.request, [])
            if sent.sent_at > late and any(self._in_touch(seen) for seen in runs):
                yield f"{sent.request} ran by a key that was taken away"

    def _leaving(self) -> Iterator[str]:
        for endpoint in (*self.fleet.endpoints.values(), *self.fleet.gone):
            if endpoint.leaving_since is None:
                continue
            late = endpoint.leaving_since + PROMISES["drain_seconds"] + SLACK_SECONDS
            for seen in endpoint.worker.runs:
                same = seen.start == endpoint.leaving_start
                if seen.at > late and same and self._in_touch(seen):
                    yield f"{endpoint.worker.name} was sent a request after its end"

    def _emptied(self) -> Iterator[str]:
        late = PROMISES["empty_seconds"] + SLACK_SECONDS
        for hall, since, until in self.fleet.emptied:
            for endpoint in (*self.fleet.endpoints.values(), *self.fleet.gone):
                for seen in endpoint.worker.runs:
                    in_time = not since + late < seen.at < until
                    if endpoint.hall == hall and not in_time and self._in_touch(seen):
                        yield f"{endpoint.worker.name} in {hall}, which is emptied"

    def _cold(self) -> Iterator[str]:
        most = COLD_OVER * COLD_PER_SECOND + COLD_EXTRA
        for endpoint in (*self.fleet.endpoints.values(), *self.fleet.gone):
            for since, until in endpoint.cold:
                known = since + SLACK_SECONDS
                times = sorted(
                    seen.at
                    for seen in endpoint.worker.runs
                    if known < seen.at < until and self._in_touch(seen)
                )
                count = max((_within(times, at, 1.0) for at in times), default=0)
                if count > most:
                    yield f"{endpoint.worker.name} got {count} in a second while cold"

    def _limits(self) -> Iterator[str]:
        for endpoint in (*self.fleet.endpoints.values(), *self.fleet.gone):
            for since, until, limit in endpoint.limits:
                known = since + CONTACT_SECONDS
                times = [
                    seen.at
                    for seen in endpoint.worker.runs
                    if known < seen.at < until and self._in_touch(seen)
                ]
                count = max((_within(times, at, LIMIT_SPAN) for at in times), default=0)
                if count > LIMIT_OVER * limit * LIMIT_SPAN + LIMIT_EXTRA:
                    name = endpoint.worker.name
                    yield f"{name} got {count} in 4 s at a limit of {limit:g} a second"

    # Processes.

    def _ends(self) -> list[str]:
        return [
            f"{vm.name} ended by itself: {code}"
            for vm in self.fleet.vms
            for code in vm.own_ends
        ]

    def _lines(self) -> Iterator[str]:
        for vm in self.fleet.vms:
            yield from (f"{vm.name}: {words}" for words in _grave(vm.log))


def _within(times: list[float], begin: float, seconds: float) -> int:
    return sum(begin <= at < begin + seconds for at in times)


def _keys_of(organisation: str, fleet: SoakFleet) -> set[str]:
    """Give all keys that an organisation ever had."""
    former = fleet.former_keys if organisation == "org-b" else set()
    return former | set(fleet.keys[organisation])


def _grave(path: Path) -> Iterator[str]:
    """Yield the lines of a log that tell of something nobody foresaw."""
    for line in path.read_text(errors="replace").splitlines():
        if "Traceback" in line:
            yield line
            continue
        try:
            plain = json.loads(line)
        except ValueError:
            continue
        expected = str(plain.get("message", "")).startswith(EXPECTED)
        if plain.get("level") in GRAVE and not expected:
            yield str(plain.get("message"))[:300]


# What VMs say at that level of objects that others wrote.
EXPECTED = ("an object of the store has no name", "entry-vms/")
