# Licensed under the Apache License 2.0: see LICENSE for details.

"""Endpoints that ended while they ran requests, and which requests those were."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from walnutquay.history.lines import LogLine
from walnutquay.state.process.events import EventKind
from walnutquay.state.requests.promptparts import SEPARATOR

# What breaks within so long of the first break at an endpoint broke by the same end;
# an endpoint is back seconds later at the soonest.
SAME_END_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class EndpointEnd:
    """An endpoint that ended.

    :param endpoint: its name.
    :param at: when its first connection broke; seconds since 1970.
    :param broken: the lines of the requests that broke there.
    """

    endpoint: str
    at: float
    broken: tuple[LogLine, ...]

    @property
    def fingerprints(self) -> set[str]:
        """What tells the requests apart that broke there."""
        return {str(line.facts["fingerprint"]) for line in self.broken}

    @property
    def parts(self) -> set[str]:
        """The parts of the prompts that broke there, without those of their own."""
        lists = (str(line.facts.get("parts") or "") for line in self.broken)
        return {part for text in lists for part in text.split(SEPARATOR) if part}


def endpoint_ends(lines: Sequence[LogLine]) -> list[EndpointEnd]:
    """:param lines: lines of all VMs, in order.

    :returns: the endpoints that ended while they had requests, in order.
    """
    found: list[list[LogLine]] = []
    last: dict[str, list[LogLine]] = {}
    for line in lines:
        if line.kind is not EventKind.FAILED or not line.facts.get("ended"):
            continue
        same = last.get(line.endpoint)
        if same is None or line.seconds > same[0].seconds + SAME_END_SECONDS:
            same = last[line.endpoint] = []
            found.append(same)
        same.append(line)
    return [EndpointEnd(b[0].endpoint, b[0].seconds, tuple(b)) for b in found]


def ends_text(lines: Sequence[LogLine]) -> str:
    """:param lines: lines of all VMs, in order.

    :returns: the ends for people, and the requests that were at several of them.
    """
    ends = endpoint_ends(lines)
    text = [_end_text(end) for end in ends]
    text.append(f"{len(ends)} endpoints ended while they ran requests")
    counts = Counter(name for end in ends for name in end.fingerprints)
    text += _repeated(ends, ((n, c) for n, c in counts.most_common() if c > 1))
    parts = Counter(part for end in ends for part in end.parts)
    text += [_part_text(ends, n, c) for n, c in parts.most_common() if c > 1]
    return "\n".join(text)


def _end_text(end: EndpointEnd) -> str:
    vms = len({line.vm for line in end.broken})
    return f"{end.at:.3f}  {end.endpoint}: {len(end.broken)} requests at {vms} VMs"


def _part_text(ends: Sequence[EndpointEnd], part: str, count: int) -> str:
    """Tell of a part at how many ends it was, and in how many requests."""
    having = {
        line.facts["fingerprint"]
        for end in ends
        for line in end.broken
        if part in str(line.facts.get("parts") or "").split(SEPARATOR)
    }
    return f"part {part} was at {count} ends, in {len(having)} requests"


def _repeated(
    ends: Sequence[EndpointEnd], counts: Iterable[tuple[str, int]]
) -> Iterable[str]:
    for name, count in counts:
        lines = [
            line
            for end in ends
            for line in end.broken
            if line.facts["fingerprint"] == name
        ]
        ran = [int(line.number("ran_ms")) for line in lines if line.facts.get("ran_ms")]
        span = f"{min(ran)} to {max(ran)} ms" if ran else "no time that is known"
        ids = ", ".join(sorted({line.request for line in lines}))
        yield f"request {name} was at {count} ends, had run {span}: {ids}"
