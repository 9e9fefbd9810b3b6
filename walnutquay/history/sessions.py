# Licensed under the Apache License 2.0: see LICENSE for details.

"""Sessions whose requests ran on different versions, found in log lines."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from walnutquay.history.lines import LogLine
from walnutquay.state.process.events import EventKind

# Facts of a sent request that tell why it went to its version, in this order.
CHOSEN_BY = ("chosen_by", "share", "trial_ms", "session_age_ms")


@dataclass(frozen=True, slots=True)
class VersionChange:
    """Two requests of one session, one after the other, that ran on two versions.

    :param before: the line that says where the first was sent.
    :param after: the same of the second.
    """

    before: LogLine
    after: LogLine

    @property
    def same_vm(self) -> bool:
        """Whether one VM sent both, and so knew of the first."""
        return self.before.vm == self.after.vm

    def text(self) -> str:
        """:returns: the change for people, on three lines."""
        where = "the same VM" if self.same_vm else "another VM"
        seconds = self.after.seconds - self.before.seconds
        title = f"session {self.before.session}: {seconds:.3f} s later, {where}"
        return "\n".join([title, _sent(self.before), _sent(self.after)])


def _sent(line: LogLine) -> str:
    """Give a sent request on one line."""
    facts = [f"{name}={line.facts[name]}" for name in CHOSEN_BY if name in line.facts]
    words = [line.vm, line.request, str(line.facts.get("runs", "")), line.endpoint]
    return "    " + "  ".join([f"{line.seconds:.3f}", *words, *facts])


def version_changes(lines: Iterable[LogLine]) -> list[VersionChange]:
    """:param lines: lines in order.

    :returns: the changes of version within sessions, by the time of the second request.
    """
    last: dict[tuple[str, str], LogLine] = {}
    found = []
    for line in lines:
        if line.kind is not EventKind.DISPATCHED or not line.session:
            continue
        # A line names the service as its version.
        key = (line.session, line.version)
        before = last.get(key)
        if before is not None and before.facts.get("runs") != line.facts.get("runs"):
            found.append(VersionChange(before, line))
        last[key] = line
    return found
