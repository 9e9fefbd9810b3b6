# Licensed under the Apache License 2.0: see LICENSE for details.

"""What each VM believed at a time, from the lines in which its beliefs changed."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterable
from dataclasses import dataclass, field

from walnutquay.history.lines import LogLine
from walnutquay.state.process.events import EventKind

# Lines that are of no request and change nothing that is believed.
REPEATED = frozenset({EventKind.SHARES})
UNREACHED = "not reached"
ENDPOINT_STATES = {
    EventKind.ENDPOINT_LISTED: "listed",
    EventKind.ENDPOINT_LEAVING: "leaving",
    EventKind.ENDPOINT_GONE: "gone",
    EventKind.ENDPOINT_UNREACHED: UNREACHED,
    EventKind.ENDPOINT_REACHED: "listed",
    EventKind.ENDPOINT_BACKOFF: "backing off",
    EventKind.ENDPOINT_BACKOFF_OVER: "listed",
}
# Words with which a line of an order tells that the trial of its version goes on.
ON_TRIAL = (": new", ": running")


@dataclass(slots=True)
class Belief:
    """What one VM believed.

    :param configuration: the configuration in force, and since when.
    :param store: the line that says that the store does not answer; None if it does.
    :param endpoints: the last line of each endpoint.
    :param trials: versions on trial, by what the order's line begins with.
    :param started: the line of the process's start.
    :param stopping: the line that says that the VM stops.
    :param link: the line that says that the VM's network link is full; None if it is
        not known to be.
    """

    configuration: LogLine | None = None
    store: LogLine | None = None
    endpoints: dict[str, LogLine] = field(default_factory=dict)
    trials: dict[str, str] = field(default_factory=dict)
    started: LogLine | None = None
    stopping: LogLine | None = None
    link: LogLine | None = None

    def take(self, line: LogLine) -> None:
        """:param line: a line of this VM."""
        if line.kind is EventKind.STARTED:
            self.__init__(started=line)  # type: ignore[misc]
        elif line.kind is EventKind.CONFIGURED:
            self.configuration = line
        elif line.kind is EventKind.PLATFORM_DOWN:
            self.store = self.store or line
        elif line.kind is EventKind.PLATFORM_UP:
            self.store = None
        elif line.kind is EventKind.LINK_FULL:
            self.link = line
        elif line.kind is EventKind.LINK_FREE:
            self.link = None
        elif line.kind in ENDPOINT_STATES:
            self.endpoints[line.endpoint] = line
        elif line.kind is EventKind.ORDERED:
            self._take_order(line)
        elif line.kind is EventKind.STOPPING:
            self.stopping = line

    def _take_order(self, line: LogLine) -> None:
        service = line.detail.partition(":")[0]
        if any(word in line.detail for word in ON_TRIAL):
            self.trials[service] = line.version
        else:
            self.trials.pop(service, None)

    def state_of(self, endpoint: str) -> str:
        """:param endpoint: an endpoint.

        :returns: what was believed of it, in a word.
        """
        line = self.endpoints.get(endpoint)
        return ENDPOINT_STATES[line.kind] if line is not None else "not known"


class Beliefs:
    """The lines in which beliefs changed, by VM.

    :param lines: all lines, in order.
    """

    def __init__(self, lines: Iterable[LogLine]) -> None:
        self.by_vm: dict[str, list[LogLine]] = {}
        # When each VM wrote its last line of any kind; seconds since 1970.
        self.last_seen: dict[str, float] = {}
        for line in lines:
            self.last_seen[line.vm] = line.seconds
            if not line.request and line.kind not in REPEATED:
                self.by_vm.setdefault(line.vm, []).append(line)

    def at(self, vm: str, moment: tuple[int, int]) -> Belief:
        """:param vm: a VM.

        :param moment: a line's time.
        :returns: what the VM believed then.
        """
        belief = Belief()
        for line in self._until(vm, moment):
            belief.take(line)
        return belief

    def _until(self, vm: str, moment: tuple[int, int]) -> list[LogLine]:
        lines = self.by_vm.get(vm, [])
        return lines[: bisect_right(lines, moment, key=lambda line: line.at)]

    def restarted_after(self, vm: str, moment: tuple[int, int]) -> LogLine | None:
        """:param vm: a VM.

        :param moment: a line's time.
        :returns: the line of its process's next start, if there is one.
        """
        lines = self.by_vm.get(vm, [])
        first = bisect_right(lines, moment, key=lambda line: line.at)
        starts = [line for line in lines[first:] if line.kind is EventKind.STARTED]
        return starts[0] if starts else None

    def newest_configuration(self, moment: tuple[int, int]) -> LogLine | None:
        """:param moment: a line's time.

        :returns: the newest configuration that any VM had put in force by then.
        """
        found = [
            line
            for vm in self.by_vm
            for line in self._until(vm, moment)
            if line.kind is EventKind.CONFIGURED
        ]
        return max(found, key=lambda line: int(line.version), default=None)

    def changes(self, begin: float, end: float) -> list[LogLine]:
        """:param begin: seconds since 1970.

        :param end: seconds since 1970.
        :returns: the lines of this span in which a belief changed, in order.
        """
        found = [
            line
            for lines in self.by_vm.values()
            for line in lines
            if begin <= line.seconds <= end
        ]
        return sorted(found, key=lambda line: line.at)
