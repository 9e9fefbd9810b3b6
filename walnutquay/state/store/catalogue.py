# Licensed under the Apache License 2.0: see LICENSE for details.

"""The operators' configuration of the platform: routes, services, keys and limits."""

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
from walnutquay.state.process.keys import key_hash
from walnutquay.state.store.parts import Organisation

# Stands for callers without a known key, on routes that need none.  No organisation
# can have its name: names have at least one character.
ANONYMOUS = Organisation.model_construct(name="")


class RouteKind(Enum):
    """How often the requests of a route may run, and whether answers are streamed."""

    # May run any number of times.
    SAFE = "safe"
    # May run at most once.
    UNSAFE = "unsafe"
    # Answered by a series of events.
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class Destination:
    """A service that receives a share of a route's requests.

    :param service: the service.
    :param weight: its share, relative to the other destinations.
    """

    service: ServiceName
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """The requests for one host and path prefix, and how they are served.

    :param name: the route's name.
    :param host: the host that callers name, in lower case.
    :param prefix: the prefix that the path must have.
    :param kind: how often its requests may run, and whether answers are streamed.
    :param destinations: the services that serve it.
    :param timeout_seconds: the longest time for which a request may be held.
    :param objective_seconds: the time within which an answer (for a stream: its first
        event) has its full value.
    :param pause_seconds: the longest acceptable pause between two events of a stream.
    :param priority: the priority; 0 is the most urgent.
    :param attempts: the number of endpoints that one request may be sent to.
    :param public: whether callers need no key.
    :param cached: whether prompts share prefixes that endpoints cache.
    :param resumable: whether a stream may continue at another endpoint.
    :param models: the models that may answer, smallest first; empty if the caller
        names the model.
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
        """Choose a service according to the weights of the destinations.

        :param draw: a random number from 0 up to but not including 1.
        :returns: the service.
        """
        remaining = draw * sum(item.weight for item in self.destinations)
        for item in self.destinations:
            remaining -= item.weight
            if remaining < 0:
                return item.service
        return self.destinations[-1].service


@dataclass(frozen=True, slots=True)
class EngineModel:
    """A model that the engines of a service can run.

    :param name: its name.
    :param cost: the price of a thousand generated tokens.
    """

    name: ModelName
    cost: float


@dataclass(frozen=True, slots=True)
class RoutedService:
    """A service that routes may have as a destination.

    :param name: its name.
    :param connections: the number of connections that each endpoint accepts from all
        VMs together.
    :param engine: whether its endpoints run models.
    :param memory_tokens: the number of tokens that fit in an engine's memory; 0 for
        endpoints that run no models.
    :param models: the models that its engines run.
    :param cold_seconds: the time after its start for which an endpoint is cold.
    :param cold_per_second: the rate at which a cold endpoint can serve requests, per
        second; 0 if it is not configured.
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
    """Limits on the size of callers' requests and on the time that they take.

    :param header_bytes: the maximum size of all headers.
    :param body_bytes: the maximum size of a body.
    :param header_seconds: the time within which the headers must be received.
    :param idle_seconds: the time for which an idle connection is kept open.
    """

    header_bytes: int = 16 << 10
    body_bytes: int = 4 << 20
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


@dataclass(frozen=True)
class Catalogue:
    """One immutable version of the operators' whole configuration.

    :param version: the operators' version number, which only increases.
    :param routes: the routes.
    :param services: the services by name.
    :param organisations: the organisations by name, with the hashes of their keys.
    :param limits: the limits on callers' requests.
    :param needs_keys: whether requests on routes that are not public need a key; also
        where there is no organisation to have one.
    """

    version: int = 0
    routes: tuple[Route, ...] = ()
    services: dict[ServiceName, RoutedService] = field(default_factory=dict)
    organisations: dict[str, Organisation] = field(default_factory=dict)
    limits: CallerLimits = field(default_factory=CallerLimits)
    needs_keys: bool = False

    @cached_property
    def by_key_hash(self) -> dict[str, Organisation]:
        """The organisations by the hashes of their callers' keys."""
        all_organisations = self.organisations.values()
        return {key: item for item in all_organisations for key in item.keys}

    def organisation_with(self, key: str) -> Organisation | None:
        """Return the organisation to which a key belongs, or None.

        :param key: the key that a caller presented; empty if none.
        """
        return self.by_key_hash.get(key_hash(key)) if key else None

    @cached_property
    def routes_of_host(self) -> dict[str, list[Route]]:
        """The routes by host, each list sorted by prefix length, longest first."""
        by_host: dict[str, list[Route]] = {}
        for route in self.routes:
            by_host.setdefault(route.host, []).append(route)
        for routes in by_host.values():
            routes.sort(key=lambda route: -len(route.prefix))
        return by_host

    def route_for(self, host: str, path: str) -> Route | None:
        """Find the route of a request.

        :param host: the host that the caller named.
        :param path: the path, with or without a query.
        :returns: the matching route with the longest prefix, or None.
        """
        path = path.partition("?")[0]
        for route in self.routes_of_host.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None
