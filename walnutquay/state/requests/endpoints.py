# Licensed under the Apache License 2.0: see LICENSE for details.

"""The state of endpoints as one VM sees them, and the choice of an endpoint."""

from __future__ import annotations

import random
from collections import defaultdict
from collections.abc import Iterable

import xxhash

from walnutquay.state.process.ids import EndpointName, LeavingSource
from walnutquay.state.requests.durations import SLOW_FACTOR, DurationTable
from walnutquay.state.requests.endpointstate import EndpointState, endpoint_speeds
from walnutquay.state.requests.pace import PaceTrust
from walnutquay.state.store.parts import Endpoint

# An endpoint is ejected for a while after this many consecutive failures.
FAILURES_TO_EJECT = 3
EJECT_SECONDS = 2.0
EJECT_MAX_SECONDS = 60.0
# This share of the endpoints stays in use, however many of them fail.
MIN_USABLE_SHARE = 0.5
# This VM sends nothing for this long to an endpoint that reports that it is full.
FULL_SECONDS = 0.1
# A kind of work starts with the version or service, followed by this separator.
KIND_SEPARATOR = "/"
# The number of endpoints of one version or service that one VM uses.
SUBSET = 32
# A prompt's preferred endpoint is skipped if its load is at least this many times the
# mean, but not while the share of its slots in use is below the minimum.
LOAD_BOUND = 1.25
MIN_SHARE_BUSY = 0.25
# This many endpoints of a prompt's ranking are tried before falling back to any other.
MAX_PREFERRED = 3
# A failed request counts as an answer that took this many times the baseline duration.
FAILED_RATIO = 6.0
# An endpoint in another data hall is treated as if it had this many more requests.
OTHER_HALL_PENALTY = 4


def subset(endpoints: list[Endpoint], vm: str, hall: str) -> list[Endpoint]:
    """Choose the subset of many endpoints that one VM uses.

    The subset bounds the reports, the connections and the cost of choosing an
    endpoint, however many endpoints there are; different VMs choose different
    subsets.  Endpoints in the VM's own data hall come first.

    :param endpoints: the endpoints that run one version or service.
    :param vm: the VM's name.
    :param hall: the VM's data hall.
    :returns: the subset; all endpoints if there are few.
    """
    if len(endpoints) <= SUBSET:
        return endpoints

    def rank(endpoint: Endpoint) -> tuple[bool, int]:
        text = f"{vm}\n{endpoint.name}".encode()
        return endpoint.hall != hall, xxhash.xxh3_64_intdigest(text)

    return sorted(endpoints, key=rank)[:SUBSET]


class EndpointTable:
    """The endpoints as one VM sees them, with the choice among them.

    :param hall: the data hall of this VM.
    :param rng: the random number generator.
    """

    def __init__(self, hall: str, rng: random.Random) -> None:
        self.hall = hall
        self.rng = rng
        self.states: defaultdict[str, EndpointState] = defaultdict(EndpointState)
        # The baseline duration of each kind of work, over all endpoints.
        self.durations = DurationTable()
        # The same, had all endpoints worked at the nominal pace.
        self.nominal_durations = DurationTable()
        # Whether the paces that endpoints of each version or service tell are right.
        self.pace_trusts: dict[str, PaceTrust] = {}
        # The last time at which any endpoint of each version or service answered.
        self.answered_at: dict[str, float] = {}

    def state_of(self, name: str) -> EndpointState:
        """Return the state of the endpoint with a name, created if needed."""
        return self.states[name]

    def forget(self, name: str) -> None:
        """Discard the state of the endpoint with a name, which is gone."""
        self.states.pop(name, None)

    def forget_except(self, names: Iterable[str]) -> None:
        """Discard the state of endpoints that are neither configured nor in use.

        :param names: the endpoints that are configured now.
        """
        kept = set(names)
        for name in [name for name in self.states if name not in kept]:
            if not self.states[name].in_flight:
                del self.states[name]

    def is_leaving(self, endpoint: Endpoint) -> bool:
        """Return whether a source announced that a configured endpoint is leaving."""
        return endpoint.leaving or bool(self.state_of(endpoint.name).leaving)

    def mark_leaving(
        self, name: EndpointName, source: LeavingSource, incarnation: str = ""
    ) -> bool:
        """Mark an endpoint as leaving; the first announcement of a source is kept.

        :param name: the endpoint.
        :param source: the source of the announcement.
        :param incarnation: the endpoint's incarnation that is leaving; empty if the
            source does not know it.
        :returns: whether the endpoint was not yet marked as leaving.
        """
        state = self.state_of(name)
        if incarnation and incarnation < state.incarnation:
            return False
        is_new = not state.leaving
        state.leaving.setdefault(source, incarnation or state.incarnation)
        return is_new

    def report(
        self,
        name: EndpointName,
        load: int,
        incarnation: str,
        now: float,
        pace: float | None = None,
    ) -> None:
        """Apply an endpoint's own report.

        Only a newer incarnation clears the mark that an endpoint is leaving, because a
        report may be older than the announcement.

        :param name: the endpoint.
        :param load: the number of requests running or waiting at the endpoint.
        :param incarnation: the endpoint's incarnation.
        :param now: monotonic seconds.
        :param pace: how long work takes there, relative to its usual time; None if the
            endpoint does not tell.
        """
        state = self.state_of(name)
        state.pace = pace
        state.told_pace.learn(pace, now)
        if state.incarnation and incarnation > state.incarnation:
            state.leaving.clear()
        state.incarnation = max(state.incarnation, incarnation)
        state.reported = load
        state.reported_at = now

    def succeeded(
        self, name: EndpointName, kind: str = "", seconds: float = 0.0, now: float = 0.0
    ) -> None:
        """Record an answer of an endpoint.

        :param name: the endpoint that answered.
        :param kind: the kind of work whose durations are compared: the version or
            service, a slash and further details; empty to ignore the duration.
        :param seconds: the duration of the answer.
        :param now: monotonic seconds.
        """
        state = self.state_of(name)
        state.failures = 0
        state.ejections = 0
        if not kind:
            return
        target = kind.partition(KIND_SEPARATOR)[0]
        self.answered_at[target] = now
        ratio = self._duration_ratio(state, target, kind, seconds, now)
        if ratio is not None:
            state.learn_speed(min(ratio, FAILED_RATIO), now)

    def _duration_ratio(
        self, state: EndpointState, target: str, kind: str, seconds: float, now: float
    ) -> float | None:
        """Learn a duration, and return it as a multiple of the baseline.

        What the endpoint's pace explains is not included in the ratio.
        """
        ratio = self.durations.ratio(kind, seconds)
        self.durations.learn(kind, seconds)
        pace = state.told_pace.at(now)
        nominal = self.nominal_durations.ratio(kind, seconds / pace)
        self.nominal_durations.learn(kind, seconds / pace)
        if not state.told_pace.is_known(now):
            return ratio
        state.pace_trust = self.pace_trusts.setdefault(target, PaceTrust())
        if ratio is not None and not state.pace_trust.from_readings:
            state.pace_trust.learn(pace, ratio)
        return nominal if state.pace_trust.holds else ratio

    def learn_reading(
        self, name: EndpointName, target: str, ratio: float, now: float
    ) -> None:
        """Compare how long an engine read a prompt with the pace that it tells.

        :param name: the engine, with no other known work.
        :param target: its version or service.
        :param ratio: the time until the answer began, as a multiple of that in which
            such a prompt is read.
        :param now: monotonic seconds.
        """
        state = self.state_of(name)
        if ratio <= 0.0 or not state.told_pace.is_known(now):
            return
        trust = self.pace_trusts.setdefault(target, PaceTrust())
        trust.from_readings = True
        trust.learn(state.told_pace.at(now), ratio)
        state.pace_trust = trust

    def failed(self, name: EndpointName, now: float, target: str = "") -> None:
        """Record a failure, and eject the endpoint after several consecutive ones.

        Each ejection is longer than the last, unless no endpoint has answered since
        then: in that case this one is not at fault, and it is tried again soon.

        :param name: the endpoint.
        :param now: monotonic seconds.
        :param target: the version or service that failed; empty if unknown.
        """
        state = self.state_of(name)
        state.failures += 1
        state.learn_speed(FAILED_RATIO, now)
        if state.failures < FAILURES_TO_EJECT:
            return
        answered_at = self.answered_at.get(target, now)
        if state.ejections and answered_at < state.ejected_at:
            state.ejections -= 1
        seconds = min(EJECT_SECONDS * 2**state.ejections, EJECT_MAX_SECONDS)
        state.ejected_at = now
        state.ejected_until = now + seconds
        state.ejections += 1
        state.failures = 0
        # After the ejection it is chosen like any other endpoint again.
        state.slowness_at = float("-inf")

    def full(self, name: EndpointName, now: float) -> None:
        """Record that an endpoint refused a request because it was full.

        :param name: the endpoint.
        :param now: monotonic seconds.
        """
        self.state_of(name).full_until = now + FULL_SECONDS

    def usable(
        self, endpoints: list[Endpoint], now: float, tried: frozenset[str]
    ) -> list[Endpoint]:
        """Filter out endpoints that are leaving, failed the request or are ejected.

        :param endpoints: the endpoints that run the version or service.
        :param now: monotonic seconds.
        :param tried: endpoints that have failed this request.
        """
        states = self.states
        staying = [
            endpoint
            for endpoint in endpoints
            if endpoint.name not in tried
            and not endpoint.leaving
            and not states[endpoint.name].leaving
        ]
        return self._not_ejected(staying, now)

    def accepting(
        self, endpoints: list[Endpoint], now: float, tried: frozenset[str]
    ) -> list[Endpoint]:
        """Filter out endpoints that are not usable or have just reported being full.

        :param endpoints: the endpoints that run the version or service.
        :param now: monotonic seconds.
        :param tried: endpoints that have failed this request.
        """
        states = self.states
        usable = self.usable(endpoints, now, tried)
        return [item for item in usable if states[item.name].full_until <= now]

    def choose(
        self,
        endpoints: list[Endpoint],
        now: float,
        hint: str = "",
        tried: frozenset[str] = frozenset(),
        prefix: str = "",
    ) -> Endpoint | None:
        """Choose the endpoint for a request.

        The hinted endpoint is used if it has spare capacity.  Otherwise prompts with
        the same prefix go to the same endpoint, whichever VM sends them, unless its
        load is clearly higher than that of the others.  In all other cases it is the
        endpoint with the lower estimated load of two drawn at random.

        :param endpoints: the endpoints that run the version or service.
        :param now: monotonic seconds.
        :param hint: the endpoint that probably has the prompt cached.
        :param tried: endpoints that have failed this request.
        :param prefix: the key of the prompt's prefix; empty for none.
        :returns: the endpoint, or None if none has a free slot.
        """
        accepting = [
            endpoint
            for endpoint in self.usable(endpoints, now, tried)
            if self.state_of(endpoint.name).has_free_slot(endpoint.slots, now)
        ]
        if not accepting:
            return None
        for endpoint in accepting:
            if endpoint.name == hint and self._has_spare_capacity(endpoint, now):
                return endpoint
        if prefix:
            preferred = self._preferred_endpoint(accepting, prefix, now)
            if preferred is not None:
                return preferred
        pair = self.rng.sample(accepting, min(2, len(accepting)))
        states = [self.states[endpoint.name] for endpoint in accepting]
        found = endpoint_speeds(states, now)
        if found is None:
            return min(pair, key=lambda endpoint: self._weighted_load(endpoint, now))
        factors = {
            endpoint.name: speed.moment
            for endpoint, speed in zip(accepting, found, strict=True)
        }
        return min(
            pair, key=lambda item: self._weighted_load(item, now, factors[item.name])
        )

    def _preferred_endpoint(
        self, endpoints: list[Endpoint], prefix: str, now: float
    ) -> Endpoint | None:
        """Choose the endpoint that probably has a prompt's prefix cached.

        The choice follows from the names alone, so all VMs agree without exchanging
        messages; cache events arrive late and with gaps.  The load of the endpoint is
        bounded relative to that of the others (V. Mirrokni, M. Thorup,
        M. Zadimoghaddam, "Consistent Hashing with Bounded Loads", 2016); beyond the
        bound, the next endpoint in the ranking is used.
        """
        loads = [
            self.state_of(e.name).load(now)
            * self.state_of(e.name).slow_by(now)
            / e.slots
            for e in endpoints
        ]
        bound = max(MIN_SHARE_BUSY, LOAD_BOUND * sum(loads) / len(loads))
        ranked = sorted(
            zip(endpoints, loads, strict=True),
            key=lambda pair: xxhash.xxh3_64_intdigest(
                f"{prefix}\n{pair[0].name}".encode()
            ),
        )
        for endpoint, load in ranked[:MAX_PREFERRED]:
            fits = load < bound and endpoint.hall == self.hall
            if fits and self._has_spare_capacity(endpoint, now):
                return endpoint
        return None

    def usable_count(self, endpoints: list[Endpoint]) -> int:
        """Count the endpoints of one version or service that are not leaving."""
        return sum(not self.is_leaving(endpoint) for endpoint in endpoints)

    def _not_ejected(self, endpoints: list[Endpoint], now: float) -> list[Endpoint]:
        states = self.states
        healthy = [e for e in endpoints if states[e.name].ejected_until <= now]
        if len(healthy) >= MIN_USABLE_SHARE * len(endpoints):
            return healthy
        by_time = sorted(endpoints, key=lambda e: self.state_of(e.name).ejected_until)
        floor = max(1, round(MIN_USABLE_SHARE * len(endpoints)))
        return by_time[:floor]

    def _has_spare_capacity(self, endpoint: Endpoint, now: float) -> bool:
        """Return whether an endpoint is fast and free enough to use for its cache."""
        state = self.state_of(endpoint.name)
        fast = state.slow_by(now) < SLOW_FACTOR
        return fast and state.load(now) < endpoint.slots

    def _weighted_load(
        self, endpoint: Endpoint, now: float, speed: float | None = None
    ) -> float:
        state = self.state_of(endpoint.name)
        factor = state.slow_by(now) if speed is None else speed
        penalty = 0 if endpoint.hall == self.hall else OTHER_HALL_PENALTY
        # Count the request itself, so that an idle slow endpoint counts as slow.
        load = (state.load(now) + 1) * factor
        return (load + penalty) / endpoint.slots
