# Licensed under the Apache License 2.0: see LICENSE for details.

"""Requests that were lost with the VM that had them, found in log lines."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from walnutquay.history.lines import LogLine
from walnutquay.history.requests import RequestHistory, histories
from walnutquay.state.process.events import EventKind

# A VM that writes nothing for so long before the lines end, while others do, is taken
# for lost.  VMs that serve callers write several lines a second.
SILENT_SECONDS = 5.0


@dataclass(frozen=True, slots=True)
class LostRequest:
    """A request whose VM was lost before its end.

    :param history: its lines.
    :param lost_at: when its VM wrote its last line before it was lost; seconds since
        1970.
    """

    history: RequestHistory
    lost_at: float

    @property
    def organisation(self) -> str:
        """Whose it was; empty where the lines do not tell."""
        return self._fact("organisation")

    @property
    def endpoints(self) -> tuple[str, ...]:
        """The endpoints that it was sent to, in order: they may have run it."""
        sent = self.history.of(EventKind.DISPATCHED)
        refused = {line.endpoint for line in self.history.of(EventKind.NOT_STARTED)}
        return tuple(line.endpoint for line in sent if line.endpoint not in refused)

    @property
    def begun(self) -> bool:
        """Whether its caller had the beginning of an answer."""
        return bool(self.history.of(EventKind.BEGUN))

    def text(self) -> str:
        """:returns: the request for people, on one line."""
        sent = ", ".join(self.endpoints) or "no endpoint"
        answer = "its answer had begun" if self.begun else "no answer had begun"
        age = self.lost_at - self.history.came
        words = [self.history.request, self.organisation, self.history.route]
        return f"{'  '.join(words)}  after {age:.3f} s, sent to {sent}; {answer}"

    def _fact(self, name: str) -> str:
        line = self.history.received
        return str(line.facts.get(name, "")) if line is not None else ""


def lost_requests(lines: Sequence[LogLine]) -> list[LostRequest]:
    """Find requests without an end whose VM started anew, or fell silent for good.

    :param lines: lines of all VMs, in order.
    :returns: the requests, by VM and by the time at which they came.
    """
    if not lines:
        return []
    lives = _Lives(lines)
    found = []
    for history in histories(lines).values():
        if history.received is None or history.end is not None:
            continue
        lost_at = lives.lost_after(history.vm, history.lines[-1].seconds)
        if lost_at is not None:
            found.append(LostRequest(history, lost_at))
    found.sort(key=lambda lost: (lost.history.vm, lost.history.came))
    return found


class _Lives:
    """When the processes of each VM began, and when they wrote their last lines.

    :param lines: lines of all VMs, in order.
    """

    def __init__(self, lines: Sequence[LogLine]) -> None:
        self.end = lines[-1].seconds
        # Of each life of each VM: its first line, and its last one; seconds.
        self.lives: dict[str, list[list[float]]] = {}
        for line in lines:
            lives = self.lives.setdefault(line.vm, [])
            if not lives or line.kind is EventKind.STARTED:
                lives.append([line.seconds, line.seconds])
            lives[-1][1] = line.seconds

    def lost_after(self, vm: str, seconds: float) -> float | None:
        """:param vm: a VM.

        :param seconds: a time in one of its lives.
        :returns: when that life wrote its last line; None where it goes on.
        """
        lives = self.lives[vm]
        number = max(n for n, life in enumerate(lives) if life[0] <= seconds)
        last = lives[number][1]
        is_latest = number == len(lives) - 1
        if is_latest and last > self.end - SILENT_SECONDS:
            return None
        return last


def lost_text(lost: Iterable[LostRequest]) -> str:
    """:param lost: lost requests, by VM.

    :returns: them for people: each VM, what it had, and for how many organisations.
    """
    by_vm: dict[str, list[LostRequest]] = {}
    for request in lost:
        by_vm.setdefault(request.history.vm, []).append(request)
    text = []
    for vm, requests in by_vm.items():
        owners = len({request.organisation for request in requests})
        text.append(f"{vm}: {len(requests)} requests of {owners} organisations")
        text += [f"    {request.text()}" for request in requests]
    count = sum(map(len, by_vm.values()))
    text.append(f"{count} requests were lost with {len(by_vm)} VMs")
    return "\n".join(text)
