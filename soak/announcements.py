# Licensed under the Apache License 2.0: see LICENSE for details.

"""Whether VMs kept to what endpoints had announced to them in their answers."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping

from soak.callers import Sent
from soak.endpoints import Endpoint
from soak.fleet import PROMISES, Vm
from standins.worker import Seen
from walnutquay.platform import names

# From so long after an endpoint has asked a VM for a pause, it may get so many requests
# from that VM until the pause is over; seconds.
REACTION_SECONDS = 0.5
MAX_IN_PAUSE = 2


class AnnouncementJudge:
    """Finds requests that should not have been sent.

    :param endpoints: all endpoints that there were.
    :param sent: what callers sent, by the id of the request.
    """

    def __init__(self, endpoints: Iterable[Endpoint], sent: Mapping[str, Sent]) -> None:
        self.endpoints = list(endpoints)
        self.sent = sent

    def draining(self) -> Iterator[str]:
        """Yield the requests to endpoints that had told their VM that they drain.

        They may get what callers sent until some time after the VM has passed on an
        answer that says so.  A VM that has started again or was frozen is excused.
        """
        for endpoint in self.endpoints:
            arrivals = [*endpoint.worker.runs, *endpoint.worker.turned_away]
            told = self._told(endpoint, arrivals)
            for seen in arrivals:
                sent = self.sent[seen.headers["request-id"]]
                at = told.get((sent.vm.name, seen.start))
                if at is None or sent.sent_at <= at + PROMISES["drain_seconds"]:
                    continue
                if not _was_interrupted(sent.vm, at, seen.at):
                    late = seen.at - at
                    yield (
                        f"{endpoint.worker.name} was sent {sent.request} by "
                        f"{sent.vm.name} {late:.1f} s after it had said that it leaves"
                    )

    def _told(
        self, endpoint: Endpoint, arrivals: list[Seen]
    ) -> dict[tuple[str, int], float]:
        """Return when each VM had first passed on that a start is draining."""
        told: dict[tuple[str, int], float] = {}
        seal = f"seal-of-{endpoint.worker.name}"
        for seen in arrivals:
            sent = self.sent[seen.headers["request-id"]]
            says = seen.announced.get(names.LEAVING) == "1"
            if says and sent.status and sent.seal == seal:
                key = (sent.vm.name, seen.start)
                told[key] = min(told.get(key, sent.ended_at), sent.ended_at)
        return told

    def pauses(self) -> Iterator[str]:
        """Yield the pauses in which an endpoint got more requests than it may."""
        for endpoint in self.endpoints:
            arrivals = [*endpoint.worker.runs, *endpoint.worker.turned_away]
            for refused in endpoint.worker.turned_away:
                pause = refused.announced.get(names.RETRY_AFTER)
                if pause is None:
                    continue
                vm = self.sent[refused.headers["request-id"]].vm
                begin = refused.at + REACTION_SECONDS
                end = refused.at + float(pause)
                count = sum(
                    begin < seen.at < end
                    and seen.start == refused.start
                    and self.sent[seen.headers["request-id"]].vm is vm
                    for seen in arrivals
                )
                if count > MAX_IN_PAUSE and not _was_interrupted(vm, refused.at, end):
                    yield (
                        f"{endpoint.worker.name} had asked {vm.name} for a pause of "
                        f"{pause} s and got {count} requests in it"
                    )


def _was_interrupted(vm: Vm, begin: float, end: float) -> bool:
    """Return whether a VM started again or was frozen within a time."""
    return any(since < end and until > begin for since, until in vm.interrupted)
