# Licensed under the Apache License 2.0: see LICENSE for details.

"""What a VM knows of endpoints, and the choice among them."""

from __future__ import annotations

import math
import random
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

import xxhash

from walnutquay.state.process.ids import EndpointName, LeavingSource
from walnutquay.state.requests.durations import SLOW_FACTOR, DurationTable
from walnutquay.state.store.parts import Endpoint

# After this many failures in a row an endpoint is left out for a while.
FAILURES_TO_EJECT = 3
EJECT_SECONDS = 2.0
EJECT_MAX_SECONDS = 60.0
# However many endpoints fail, this share of them stays in use.
FLOOR_SHARE = 0.5
# A report older than this says nothing about the load of now.
REPORT_SECONDS = 5.0
# An endpoint that says it is full gets nothing from this VM for this long.
FULL_SECONDS = 0.1
# Kinds of work begin with the version or service, up to this.
KIND_SEPARATOR = "/"
# Endpoints of one version or service that one VM uses.
SUBSET = 32
# A prompt's favourite endpoint is passed over if it is busier than this many times
# the mean, but not while less of its slots are taken than this share.
LOAD_BOUND = 1.25
MIN_SHARE_BUSY = 0.25
# So many endpoints in a prompt's rank are tried before it goes to any.
MAX_FAVOURITES = 3
# The weight of each new answer in what is thought of an endpoint's speed.
SPEED_WEIGHT = 0.15
# What a failed request counts as: an answer that took so many times as long as usual.
FAILED_RATIO = 6.0
# An endpoint that gets little work is thought as fast as the others again in time.
SPEED_FORGOTTEN_SECONDS = 20.0
# What an endpoint in another data hall counts as: so many requests more.
OTHER_HALL_PENALTY = 4


@dataclass(slots=True)
class EndpointState:
    """What one VM knows of one endpoint.

    :param in_flight: requests of this VM that are running there.
    :param reported: running and waiting requests by its last report.
    :param reported_at: when that report came; monotonic seconds.
    :param failures: failures in a row.
    :param ejected_at: when it was last left out.
    :param ejected_until: left out until then; monotonic seconds.
    :param full_until: it said that it had no room; monotonic seconds.
    :param ejections: how often in a row it has been left out.
    :param slowness: how many times as long as usual its answers take.
    :param slowness_at: when that was last learnt; monotonic seconds.
    :param incarnation: the incarnation that it last reported.
    :param leaving: who said that it is leaving, and which incarnation it was.
    """

    in_flight: int = 0
    reported: int = 0
    reported_at: float = float("-inf")
    failures: int = 0
    ejected_until: float = float("-inf")
    ejected_at: float = float("-inf")
    full_until: float = float("-inf")
    ejections: int = 0
    slowness: float = 1.0
    slowness_at: float = float("-inf")
    incarnation: str = ""
    leaving: dict[LeavingSource, str] = field(default_factory=dict)

    def has_free_slot(self, slots: int, now: float) -> bool:
        """:param slots: requests that it runs at once.

        :param now: monotonic seconds.
        :returns: whether this VM may send it one more.
        """
        return self.in_flight < slots and self.full_until <= now

    def slow_by(self, now: float) -> float:
        """:param now: monotonic seconds.

        :returns: how many times as long as usual its answers are thought to take.
        """
        if self.slowness_at == float("-inf"):
            return 1.0
        age = max(0.0, now - self.slowness_at)
        left = math.exp(-age / SPEED_FORGOTTEN_SECONDS)
        return 1.0 + (self.slowness - 1.0) * left

    def learn_speed(self, ratio: float, now: float) -> None:
        """:param ratio: how many times as long as usual an answer took.

        :param now: monotonic seconds.
        """
        slowness = self.slow_by(now)
        self.slowness = slowness + SPEED_WEIGHT * (ratio - slowness)
        self.slowness_at = now

    def load(self, now: float) -> int:
        """Estimate its load.

        :param now: monotonic seconds.
        :returns: requests that run or wait there.
        """
        if now - self.reported_at > REPORT_SECONDS:
            return self.in_flight
        return max(self.in_flight, self.reported)


def subset(endpoints: list[Endpoint], vm: str, hall: str) -> list[Endpoint]:
    """Choose the endpoints that one VM uses of many.

    Reports, connections and the work of a choice stay bounded by it, however
    many endpoints there are; different VMs choose differently.  Endpoints of
    the VM's own data hall go first.

    :param endpoints: those that run one version or service.
    :param vm: the VM's name.
    :param hall: its data hall.
    :returns: all of them where they are few.
    """
    if len(endpoints) <= SUBSET:
        return endpoints

    def rank(endpoint: Endpoint) -> tuple[bool, int]:
        text = f"{vm}\n{endpoint.name}".encode()
        return endpoint.hall != hall, xxhash.xxh3_64_intdigest(text)

    return sorted(endpoints, key=rank)[:SUBSET]


class EndpointTable:
    """The endpoints as one VM sees them; it chooses and learns.

    :param hall: the data hall that this VM stands in.
    :param rng: the source of chance.
    """

    def __init__(self, hall: str, rng: random.Random) -> None:
        self.hall = hall
        self.rng = rng
        self.states: defaultdict[str, EndpointState] = defaultdict(EndpointState)
        # How long each kind of work usually takes, over all endpoints.
        self.pace = DurationTable()
        # When any endpoint last answered for each version or service.
        self.answered_at: dict[str, float] = {}

    def state_of(self, name: str) -> EndpointState:
        """:param name: an endpoint's name."""
        return self.states[name]

    def forget(self, name: str) -> None:
        """:param name: an endpoint that has ended."""
        self.states.pop(name, None)

    def forget_except(self, names: Iterable[str]) -> None:
        """:param names: the endpoints that are configured now."""
        kept = set(names)
        for name in [name for name in self.states if name not in kept]:
            if not self.states[name].in_flight:
                del self.states[name]

    def is_leaving(self, endpoint: Endpoint) -> bool:
        """:param endpoint: a configured endpoint.

        :returns: whether anybody has said that it is leaving.
        """
        return endpoint.leaving or bool(self.state_of(endpoint.name).leaving)

    def mark_leaving(
        self, name: EndpointName, source: LeavingSource, incarnation: str = ""
    ) -> bool:
        """Note that an endpoint is leaving; the first word wins.

        :param name: the endpoint.
        :param source: who says so.
        :param incarnation: the endpoint's incarnation that is leaving; empty
            where the source does not know it.
        :returns: whether this was news.
        """
        facts = self.state_of(name)
        if incarnation and incarnation < facts.incarnation:
            return False
        news = not facts.leaving
        facts.leaving.setdefault(source, incarnation or facts.incarnation)
        return news

    def report(
        self, name: EndpointName, load: int, incarnation: str, now: float
    ) -> None:
        """Take in an endpoint's own report.

        Only a newer incarnation takes back that an endpoint is leaving: a
        report may be older than the news.

        :param name: the endpoint.
        :param load: requests that run or wait there.
        :param incarnation: the endpoint's incarnation.
        :param now: monotonic seconds.
        """
        facts = self.state_of(name)
        if facts.incarnation and incarnation > facts.incarnation:
            facts.leaving.clear()
        facts.incarnation = max(facts.incarnation, incarnation)
        facts.reported = load
        facts.reported_at = now

    def succeeded(
        self, name: EndpointName, kind: str = "", seconds: float = 0.0, now: float = 0.0
    ) -> None:
        """Learn from an answer.

        :param name: the endpoint that answered.
        :param kind: the kind of work, by which its time is compared: the version or
            service, a slash, and more; empty where the time says nothing.
        :param seconds: how long it took.
        :param now: monotonic seconds.
        """
        facts = self.state_of(name)
        facts.failures = 0
        facts.ejections = 0
        if not kind:
            return
        self.answered_at[kind.partition(KIND_SEPARATOR)[0]] = now
        ratio = self.pace.ratio(kind, seconds)
        if ratio is not None:
            facts.learn_speed(min(ratio, FAILED_RATIO), now)
        self.pace.learn(kind, seconds)

    def failed(self, name: EndpointName, now: float, target: str = "") -> None:
        """Count a failure; several in a row leave the endpoint out for a while.

        The time grows from one to the next, unless nothing has answered since:
        then the fault is not the endpoint's, and it is tried again soon.

        :param name: the endpoint.
        :param now: monotonic seconds.
        :param target: the version or service that failed; empty if not known.
        """
        facts = self.state_of(name)
        facts.failures += 1
        facts.learn_speed(FAILED_RATIO, now)
        if facts.failures < FAILURES_TO_EJECT:
            return
        answered_at = self.answered_at.get(target, now)
        if facts.ejections and answered_at < facts.ejected_at:
            facts.ejections -= 1
        seconds = min(EJECT_SECONDS * 2**facts.ejections, EJECT_MAX_SECONDS)
        facts.ejected_at = now
        facts.ejected_until = now + seconds
        facts.ejections += 1
        facts.failures = 0
        # Once the time is over it is tried again like any other.
        facts.slowness_at = float("-inf")

    def full(self, name: EndpointName, now: float) -> None:
        """Note that an endpoint refused work for want of room.

        :param name: the endpoint.
        :param now: monotonic seconds.
        """
        self.state_of(name).full_until = now + FULL_SECONDS

    def usable(
        self, endpoints: list[Endpoint], now: float, tried: frozenset[str]
    ) -> list[Endpoint]:
        """Leave out those that are leaving, have failed the request, or are ejected.

        :param endpoints: those that have the version or service.
        :param now: monotonic seconds.
        :param tried: endpoints that have failed this request.
        """
        facts = self.states
        staying = [
            endpoint
            for endpoint in endpoints
            if endpoint.name not in tried
            and not endpoint.leaving
            and not facts[endpoint.name].leaving
        ]
        return self._not_ejected(staying, now)

    def accepting(
        self, endpoints: list[Endpoint], now: float, tried: frozenset[str]
    ) -> list[Endpoint]:
        """Leave out those that are not usable, or have just said that they are full.

        :param endpoints: those that have the version or service.
        :param now: monotonic seconds.
        :param tried: endpoints that have failed this request.
        """
        facts = self.states
        usable = self.usable(endpoints, now, tried)
        return [item for item in usable if facts[item.name].full_until <= now]

    def choose(
        self,
        endpoints: list[Endpoint],
        now: float,
        hint: str = "",
        tried: frozenset[str] = frozenset(),
        prefix: str = "",
    ) -> Endpoint | None:
        """Choose where to send a request.

        The hinted endpoint is taken where it has room.  Then prompts that begin
        alike go to the same endpoint, whichever VM sends them, unless it has
        clearly more to do than the others.  Otherwise it is the better of two
        drawn at random, by estimated load.

        :param endpoints: those that have the version or service.
        :param now: monotonic seconds.
        :param hint: the endpoint that is likely to have the prompt cached.
        :param tried: endpoints that have failed this request.
        :param prefix: what stands for the prompt's beginning; empty for none.
        :returns: the endpoint, or None where none has room.
        """
        accepting = [
            endpoint
            for endpoint in self.usable(endpoints, now, tried)
            if self.state_of(endpoint.name).has_free_slot(endpoint.slots, now)
        ]
        if not accepting:
            return None
        for endpoint in accepting:
            if endpoint.name == hint and self._has_room(endpoint, now):
                return endpoint
        if prefix:
            favourite = self._favourite(accepting, prefix, now)
            if favourite is not None:
                return favourite
        pair = self.rng.sample(accepting, min(2, len(accepting)))
        return min(pair, key=lambda endpoint: self._weight(endpoint, now))

    def _favourite(
        self, endpoints: list[Endpoint], prefix: str, now: float
    ) -> Endpoint | None:
        """Choose the endpoint that is likely to have a prompt's beginning cached.

        It follows from the names alone, so all VMs agree without a word; cache
        events come late and with gaps.  Its load is bounded by that of the others
        (V. Mirrokni, M. Thorup, M. Zadimoghaddam, "Consistent Hashing with Bounded
        Loads", 2016), and then it is the next one in rank.
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
        for endpoint, load in ranked[:MAX_FAVOURITES]:
            fits = load < bound and endpoint.hall == self.hall
            if fits and self._has_room(endpoint, now):
                return endpoint
        return None

    def usable_count(self, endpoints: list[Endpoint]) -> int:
        """:param endpoints: endpoints of one version or service.

        :returns: how many are not leaving.
        """
        return sum(not self.is_leaving(endpoint) for endpoint in endpoints)

    def _not_ejected(self, endpoints: list[Endpoint], now: float) -> list[Endpoint]:
        facts = self.states
        fine = [e for e in endpoints if facts[e.name].ejected_until <= now]
        if len(fine) >= FLOOR_SHARE * len(endpoints):
            return fine
        by_end = sorted(endpoints, key=lambda e: self.state_of(e.name).ejected_until)
        floor = max(1, round(FLOOR_SHARE * len(endpoints)))
        return by_end[:floor]

    def _has_room(self, endpoint: Endpoint, now: float) -> bool:
        """Whether it is worth going to for what it has cached."""
        facts = self.state_of(endpoint.name)
        fast = facts.slow_by(now) < SLOW_FACTOR
        return fast and facts.load(now) < endpoint.slots

    def _weight(self, endpoint: Endpoint, now: float) -> float:
        facts = self.state_of(endpoint.name)
        penalty = 0 if endpoint.hall == self.hall else OTHER_HALL_PENALTY
        # With the request itself: an idle endpoint that is slow is slow all the same.
        load = (facts.load(now) + 1) * facts.slow_by(now)
        return (load + penalty) / endpoint.slots
