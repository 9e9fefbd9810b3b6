# Licensed under the Apache License 2.0: see LICENSE for details.

"""What operators have set on the platform: routes, services, keys and limits."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from functools import cached_property

from walnutquay.state.process.ids import (
    ModelName,
    RegionName,
    RouteName,
    ServiceName,
)
from walnutquay.state.store.parts import Organisation

# Whose requests those without a key are, on routes that need none.
PUBLIC = Organisation.model_construct(name="public")


class RouteKind(Enum):
    """What may be done with the requests of a route."""

    # May run any number of times.
    SAFE = "safe"
    # May run once at most.
    UNSAFE = "unsafe"
    # Answered by a series of events.
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class Destination:
    """A service that gets a share of a route's requests.

    :param service: the service.
    :param weight: its share, relative to the other destinations.
    """

    service: ServiceName
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Requests of one host and path prefix, and how they are to be served.

    :param name: the route's name.
    :param host: the host that callers name, in lower case.
    :param prefix: what the path begins with.
    :param kind: what may be done with its requests.
    :param destinations: the services that serve it.
    :param timeout_seconds: how long a request may be held at the most.
    :param objective_seconds: an answer (of a stream: its first event) within
        this time is worth the most.
    :param pause_seconds: the longest pause between two events of a good stream.
    :param priority: 0 is the most urgent.
    :param attempts: how many endpoints one request may be sent to.
    :param public: whether callers need no key.
    :param cached: whether prompts share beginnings that endpoints keep.
    :param resumable: whether a stream may go on at another endpoint.
    :param models: models that may answer, smallest first; empty where the
        caller names the one.
    :param regions: the regions in which its requests may run; empty for all.
    """

    name: RouteName
    host: str
    prefix: str
    kind: RouteKind
    destinations: tuple[Destination, ...]
    timeout_seconds: float
    objective_seconds: float
    pause_seconds: float = 0.0
    priority: int = 0
    attempts: int = 1
    public: bool = False
    cached: bool = False
    resumable: bool = False
    models: tuple[ModelName, ...] = ()
    regions: tuple[RegionName, ...] = ()

    @property
    def repeatable(self) -> bool:
        """Whether a request may run at a second endpoint."""
        return self.kind is RouteKind.SAFE or self.resumable

    def destination(self, draw: float) -> ServiceName:
        """Choose a service by the destinations' weights.

        :param draw: from 0 up to but not including 1.
        """
        left = draw * sum(item.weight for item in self.destinations)
        for item in self.destinations:
            left -= item.weight
            if left < 0:
                return item.service
        return self.destinations[-1].service


@dataclass(frozen=True, slots=True)
class EngineModel:
    """A model that the engines of a service can run.

    :param name: its name.
    :param cost: price of a thousand tokens made.
    """

    name: ModelName
    cost: float


@dataclass(frozen=True, slots=True)
class RoutedService:
    """A service that routes name.

    :param name: its name.
    :param connections: connections that each endpoint takes, of all VMs together.
    :param engine: whether its endpoints run models.
    :param memory_tokens: tokens that an engine's memory holds; 0 for others.
    :param models: the models that its engines run.
    :param cold_seconds: for how long an endpoint that has started is cold.
    :param cold_per_second: requests a second that a cold one bears; 0 where nothing
        is said.
    """

    name: ServiceName
    connections: int
    engine: bool = False
    memory_tokens: int = 0
    models: tuple[EngineModel, ...] = ()
    cold_seconds: float = 0.0
    cold_per_second: float = 0.0


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What callers may send, and for how long they may rest.

    :param header_bytes: bytes of all headers.
    :param body_bytes: bytes of a body.
    :param header_seconds: seconds in which the headers must have come.
    :param idle_seconds: seconds for which an idle connection is kept.
    """

    header_bytes: int = 16 << 10
    body_bytes: int = 4 << 20
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


@dataclass(frozen=True)
class Catalogue:
    """One version of all that operators have set; it never changes.

    :param version: the operator's version, which only grows.
    :param routes: the routes.
    :param services: the services.
    :param organisations: the organisations with the hashes of their keys; empty
        where no keys are used.
    :param limits: what callers may send.
    """

    version: int = 0
    routes: tuple[Route, ...] = ()
    services: dict[ServiceName, RoutedService] = field(default_factory=dict)
    organisations: dict[str, Organisation] = field(default_factory=dict)
    limits: CallerLimits = field(default_factory=CallerLimits)

    @cached_property
    def by_key_hash(self) -> dict[str, Organisation]:
        """Organisation by the hash of a caller's key."""
        everyone = self.organisations.values()
        return {key: item for item in everyone for key in item.keys}

    @cached_property
    def routes_of_host(self) -> dict[str, list[Route]]:
        """Routes by host, those with the longest prefix first."""
        found: dict[str, list[Route]] = {}
        for route in self.routes:
            found.setdefault(route.host, []).append(route)
        for routes in found.values():
            routes.sort(key=lambda route: -len(route.prefix))
        return found

    def route_for(self, host: str, path: str) -> Route | None:
        """Find the route of a request.

        :param host: the host that the caller named.
        :param path: the path, with or without a query.
        :returns: the one with the longest prefix, or None.
        """
        path = path.partition("?")[0]
        for route in self.routes_of_host.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None
