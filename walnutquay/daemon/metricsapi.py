# Licensed under the Apache License 2.0: see LICENSE for details.

"""Counters, latencies and beliefs of one VM, in the usual text form."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator

from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response, StreamResponse

from walnutquay.coordination.fleet.peers import FleetPeers
from walnutquay.coordination.process.context import Context
from walnutquay.coordination.routed.path import RoutedPath
from walnutquay.coordination.routed.slotsharing import SlotSharing
from walnutquay.coordination.routed.turn import RoutedArrival
from walnutquay.coordination.store.knowledge import Knowledge
from walnutquay.coordination.trials.versions import VersionTrials
from walnutquay.state.process.metrics import PERCENTILES, summary
from walnutquay.state.process.revisions import NOTHING_STORED
from walnutquay.state.trials.counts import Measure
from walnutquay.transport.gateway import GatewayLimits, GatewayServer
from walnutquay.transport.lines import LineWriter
from walnutquay.transport.timers import monotonic

PREFIX = "walnutquay"
# An age that is not known is told as this; a number, for alarms to compare.
UNKNOWN_AGE = -1.0
# How often connections are checked for overdue request heads.
HEAD_CHECK_SECONDS = 1.0
HEADER_BYTES = 8 << 10
PATH = "/metrics"


class MetricsApi:
    """Serves the figures of one VM.

    :param context: what this process shares.
    :param knowledge: what is known from the store.
    :param path: the path of requests.
    :param versions: the trials of versions.
    :param peers: the other VMs.
    """

    def __init__(
        self,
        context: Context,
        knowledge: Knowledge,
        path: RoutedPath,
        versions: VersionTrials,
        peers: FleetPeers,
    ) -> None:
        self.context = context
        self.knowledge = knowledge
        self.path = path
        self.versions = versions
        self.peers = peers
        sharing = path.admission.sharing
        self.sharing = sharing if isinstance(sharing, SlotSharing) else None
        # Where log lines go, if this process writes them.
        self.writer: LineWriter | None = None
        self.server = GatewayServer(self.handle, GatewayLimits(HEADER_BYTES))

    def start(self) -> None:
        """Start closing connections whose request head is overdue."""
        close = self.server.close_overdue
        self.context.timers.every("metrics-heads", HEAD_CHECK_SECONDS, close)

    async def handle(self, request: BaseRequest) -> StreamResponse:
        """Answer with all figures.

        :param request: anybody's request.
        """
        if request.path != PATH:
            return Response(status=404, text="not found\n")
        return Response(text="\n".join(self.lines()) + "\n")

    def lines(self) -> Iterator[str]:
        """Yield the figures, a line each, in the text exposition format."""
        metrics = self.context.metrics
        for name, value in sorted(metrics.counters.items()):
            yield f"{PREFIX}_{name}_total {value}"
        for name, histogram in sorted(metrics.histograms.items()):
            found = summary(histogram)
            for percentile in PERCENTILES:
                quantile = f'{{quantile="{percentile / 100:g}"}}'
                value = found[f"p{percentile:g}"]
                yield f"{PREFIX}_{name}_seconds{quantile} {value:.6f}"
            yield f"{PREFIX}_{name}_seconds_count {found['count']:.0f}"
        yield from self._beliefs()

    def _beliefs(self) -> Iterator[str]:
        catalogue = self.knowledge.catalogue.current
        yield f"{PREFIX}_ready {int(self.knowledge.ready)}"
        version = catalogue.version if catalogue else 0
        yield f"{PREFIX}_configuration_version {version}"
        yield f"{PREFIX}_era {self.knowledge.eras.current}"
        for follower in self.knowledge.followers():
            age = follower.age()
            known = age if age != float("inf") else UNKNOWN_AGE
            label = f'{{kind="{follower.feed.kind}"}}'
            revision = follower.revision or NOTHING_STORED
            yield f"{PREFIX}_store_revision{label} {revision.number}"
            yield f"{PREFIX}_knowledge_age_seconds{label} {known:.3f}"
            if follower.feed.unreadable:
                yield f"{PREFIX}_unreadable{label} {len(follower.feed.unreadable)}"
        yield f"{PREFIX}_entry_vms {self.peers.size}"
        yield f"{PREFIX}_requests_in_flight {self.path.in_flight}"
        yield from self._link()
        yield from self._waiting()
        dropped = self.writer.dropped if self.writer is not None else 0
        yield f"{PREFIX}_log_lines_dropped_total {dropped}"
        yield from self._endpoints()
        yield from self._emptied()
        yield from self._rate_limits()
        yield from self._backoffs()
        yield from self._waiting_for_slots()
        yield from self._shared_slots()
        yield from self._crashes()
        for service, budget in self.path.budgets.by_service.items():
            yield f'{PREFIX}_retries_left{{service="{service}"}} {budget.left:.1f}'
        for service, task in self.versions.tasks.items():
            label = f'service="{service}",version="{task.trial.order.version}"'
            kept = task.trial.kept
            yield f"{PREFIX}_trial_kept{{{label}}} {len(kept.own)}"
            yield f"{PREFIX}_trial_kept_heard{{{label}}} {len(kept.received)}"
            yield f"{PREFIX}_trial_open{{{label}}} {int(task.trial.open)}"
            for measure in Measure:
                counts = task.trial.outcome_counts().total(measure)
                labels = f'{{{label},measure="{measure.value}"}}'
                yield f"{PREFIX}_trial_good{labels} {counts.good}"
                yield f"{PREFIX}_trial_bad{labels} {counts.bad}"

    def _link(self) -> Iterator[str]:
        """Tell what this VM's network link carries."""
        now = monotonic()
        link = self.context.link
        yield f"{PREFIX}_link_wait_seconds {link.wait(now):.3f}"
        rates = {"sent": link.sent, "received": link.received}
        for direction, rate in rates.items():
            label = f'{{direction="{direction}"}}'
            yield f"{PREFIX}_link_bytes_per_second{label} {rate.per_second(now):.0f}"

    def _waiting(self) -> Iterator[str]:
        """Tell whose requests wait for an outcome here, and since when the oldest."""
        now = monotonic()
        ages: dict[tuple[str, str], list[float]] = {}
        for arrival in self.path.under_way.values():
            assert isinstance(arrival, RoutedArrival)
            key = (arrival.organisation.name, arrival.route.name)
            ages.setdefault(key, []).append(now - arrival.arrived_at)
        for (organisation, route), waiting in sorted(ages.items()):
            label = f'organisation="{escaped(organisation)}",route="{escaped(route)}"'
            yield f"{PREFIX}_requests_waiting{{{label}}} {len(waiting)}"
            yield f"{PREFIX}_oldest_request_seconds{{{label}}} {max(waiting):.3f}"

    def _crashes(self) -> Iterator[str]:
        """Tell how many requests are held to end endpoints, or were there."""
        book = self.path.parts.crashes.book
        yield f"{PREFIX}_requests_suspected {len(book.crashes_by_request)}"
        for target, blocked in sorted(book.blocked.items()):
            label = f'service="{target.service}",version="{escaped(target.version)}"'
            yield f"{PREFIX}_requests_blocked{{{label}}} {len(blocked)}"
        yield f"{PREFIX}_parts_suspected {len(book.parts.crashes_by_part)}"
        for target, verdicts in sorted(book.blocked_parts.items()):
            label = f'service="{target.service}",version="{escaped(target.version)}"'
            yield f"{PREFIX}_parts_blocked{{{label}}} {len(verdicts)}"

    def _emptied(self) -> Iterator[str]:
        """Tell which data halls are emptied, and what this VM still has there."""
        registry = self.knowledge.instances.registry
        for hall in sorted(self.knowledge.halls.emptied.orders):
            running = sum(
                self.path.parts.table.state_of(item.name).in_flight
                for item in registry.known.values()
                if item.hall == hall
            )
            yield f'{PREFIX}_emptied_hall_running{{hall="{escaped(hall)}"}} {running}'

    def _rate_limits(self) -> Iterator[str]:
        """Yield the rate limits of endpoints, and what this VM has used of them."""
        now = monotonic()
        rates = self.path.admission.rates
        for name, limit in sorted(rates.limits.table.limited(now).items()):
            label = f'{{endpoint="{escaped(name)}"}}'
            yield f"{PREFIX}_rate_limit{label} {limit.per_second:g}"
            yield f"{PREFIX}_rate_limit_used{label} {rates.use(name, now):g}"

    def _backoffs(self) -> Iterator[str]:
        """Yield for how long endpoints want no requests from this VM."""
        now = monotonic()
        table = self.path.admission.limits.backoffs.table
        for name, backoff in sorted(table.active(now).items()):
            label = f'{{endpoint="{escaped(name)}"}}'
            yield f"{PREFIX}_backoff_seconds{label} {backoff.until - now:.1f}"

    def _waiting_for_slots(self) -> Iterator[str]:
        """Tell whose requests of this VM wait for a scarce slot, and for how long."""
        if self.sharing is None:
            return
        now = monotonic()
        ages: dict[tuple[str, str, int], list[float]] = {}
        for asking in self.sharing.under_way.values():
            need = asking.need
            key = (asking.service, need.organisation, need.priority)
            ages.setdefault(key, []).append(now - asking.since)
        hall = escaped(self.context.hall)
        for (service, organisation, priority), waiting in sorted(ages.items()):
            label = (
                f'service="{service}",organisation="{escaped(organisation)}",'
                f'priority="{priority}",hall="{hall}"'
            )
            yield f"{PREFIX}_slot_waiting{{{label}}} {len(waiting)}"
            yield f"{PREFIX}_slot_oldest_wait_seconds{{{label}}} {max(waiting):.3f}"

    def _shared_slots(self) -> Iterator[str]:
        """Tell of the slots that this VM shares out: who has them, and refusals."""
        if self.sharing is None:
            return
        now = monotonic()
        for service, kept in sorted(self.sharing.keeper.kept.items()):
            found = kept.queue.summary(now)
            scarce = int(kept.queue.is_scarce(now))
            label = f'service="{escaped(service)}"'
            yield f"{PREFIX}_slot_keeper_scarce{{{label}}} {scarce}"
            yield f"{PREFIX}_slot_keeper_waiting{{{label}}} {found.waiting_count}"
            yield f"{PREFIX}_slot_keeper_granted_total{{{label}}} {found.grants}"
            for reason, count in found.denials:
                labels = f'{{{label},reason="{reason.value}"}}'
                yield f"{PREFIX}_slot_keeper_denied_total{labels} {count}"
            for row in found.granted:
                labels = f'{{{label},endpoint="{escaped(row.endpoint)}"}}'
                yield f"{PREFIX}_slot_grants{labels} {row.granted}"
                yield f"{PREFIX}_slot_capacity{labels} {row.slots}"
                age = row.oldest_seconds
                yield f"{PREFIX}_slot_oldest_grant_seconds{labels} {age:.3f}"

    def _endpoints(self) -> Iterator[str]:
        now = monotonic()
        backoffs = self.path.admission.limits.backoffs
        unreachable = self.path.admission.reachability.unreachable
        places = self.path.admission.limits.places
        states: Counter[tuple[str, str]] = Counter()
        for item in self.knowledge.instances.registry.known.values():
            facts = self.path.parts.table.state_of(item.name)
            if item.leaving:
                state = "leaving"
            elif item.hall in self.knowledge.halls.emptied:
                state = "emptied"
            elif item.name in unreachable:
                forwarded = unreachable[item.name].is_forwarded()
                state = "forwarded" if forwarded else "unreached"
            elif facts.ejected_until > now:
                state = "ejected"
            elif backoffs.seconds_left(item.name, now) > 0:
                state = "backing-off"
            elif self.path.admission.cold.is_limited(item, now):
                state = "cold"
            elif self.path.admission.rates.rate(item.name, now) is not None:
                state = "limited"
            elif places.needs_place(item.name):
                state = "brittle"
            else:
                state = "ready"
            states[item.service, state] += 1
        for (service, state), count in sorted(states.items()):
            label = f'{{service="{service}",state="{state}"}}'
            yield f"{PREFIX}_endpoints{label} {count}"


def escaped(text: str) -> str:
    """:param text: a name that others gave.

    :returns: it as the value of a label.
    """
    return text.replace("\\", r"\\").replace('"', r"\"").replace("\n", r"\n")
