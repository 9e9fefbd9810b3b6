# Licensed under the Apache License 2.0: see LICENSE for details.

"""Failed and late requests of a time, grouped by cause, for people."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from walnutquay.history.beliefs import Beliefs
from walnutquay.history.causes import Cause, CauseFinder, Finding
from walnutquay.history.lines import LogLine
from walnutquay.history.requests import RequestHistory, histories

# Request ids that are shown for each cause.
EXAMPLES = 3


@dataclass(frozen=True, slots=True)
class Judged:
    """A request and what is thought of it.

    :param history: the request.
    :param finding: why it failed or was late; None where it was answered in time.
    """

    history: RequestHistory
    finding: Finding | None


def judge(lines: Iterable[LogLine]) -> list[Judged]:
    """:param lines: lines in order.

    :returns: all requests that came within them, in order.
    """
    lines = list(lines)
    finder = CauseFinder(Beliefs(lines))
    found = sorted(histories(lines).values(), key=lambda history: history.came)
    return [Judged(history, finder.find(history)) for history in found]


def failures_text(judged: Iterable[Judged]) -> str:
    """:param judged: requests.

    :returns: how many of each cause there are, with examples.
    """
    judged = list(judged)
    groups: dict[Cause, list[Judged]] = {}
    for one in judged:
        if one.finding is not None:
            groups.setdefault(one.finding.cause, []).append(one)
    text = [f"{len(judged)} requests with lines"]
    for cause, members in sorted(groups.items(), key=lambda item: -len(item[1])):
        text.append(f"{len(members):6}  {cause.value}")
        for one in members[:EXAMPLES]:
            assert one.finding is not None
            history = one.history
            text.append(f"          {history.request}  {history.vm}  {one.finding.why}")
    return "\n".join(text)


def request_text(
    history: RequestHistory, others: Iterable[RequestHistory], beliefs: Beliefs
) -> str:
    """Tell the way of one request, and what its VM believed.

    :param history: the request.
    :param others: other requests of its session.
    :param beliefs: what the VMs believed.
    """
    text = [line.text() for line in history.lines]
    text.append("")
    text.extend(_belief_text(history, beliefs))
    finding = CauseFinder(beliefs).find(history)
    if finding is None:
        text.append("cause: none, it was answered in time")
    else:
        text.append(f"cause: {finding.cause.value}: {finding.why}")
        text.append(f"  told by  {finding.line.text()}")
    for other in others:
        end = other.end
        told = end.kind.value if end is not None else "without an end"
        text.append(f"same session: {other.request} at {other.vm}, {told}")
    return "\n".join(text)


def _belief_text(history: RequestHistory, beliefs: Beliefs) -> list[str]:
    first = history.lines[0]
    belief = beliefs.at(history.vm, first.at)
    text = [f"what {history.vm} believed when it came:"]
    if belief.configuration is not None:
        age = first.seconds - belief.configuration.seconds
        version = belief.configuration.version
        text.append(f"  configuration {version}, in force for {age:.1f} s")
    if belief.store is not None:
        age = first.seconds - belief.store.seconds
        text.append(f"  the store had not answered for {age:.1f} s")
    for service, version in belief.trials.items():
        text.append(f"  version {version} of {service} was on trial")
    last = history.lines[-1]
    link = beliefs.at(history.vm, last.at).link
    if link is not None:
        age = last.seconds - link.seconds
        text.append(f"  its own network link had been full for {age:.1f} s at the end")
    for line in history.lines:
        if line.endpoint:
            state = beliefs.at(line.vm, line.at).state_of(line.endpoint)
            text.append(f"  {line.endpoint} was {state} at its line {line.kind.value}")
    return text
