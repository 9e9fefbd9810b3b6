# Licensed under the Apache License 2.0: see LICENSE for details.

"""A whole configuration: its parts, their hashes, and look-ups by name."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field
from functools import cached_property
from typing import Any

import orjson
import xxhash
from pydantic import BaseModel

from walnutquay.state.process.ids import (
    NO_REVISION,
    HallName,
    RegionName,
    Revision,
)
from walnutquay.state.store.parts import (
    Cascade,
    Endpoint,
    Hall,
    Organisation,
    Part,
    Policy,
    Pool,
    Rollout,
    Service,
    Version,
)

# Each part of a configuration is kept as an object of its own; a change
# writes only the parts that it touches.
PART_MODELS: dict[str, type[Part]] = {
    "organisations": Organisation,
    "versions": Version,
    "cascades": Cascade,
    "rollouts": Rollout,
    "policies": Policy,
    "pools": Pool,
    "endpoints": Endpoint,
    "services": Service,
    "halls": Hall,
}

# Endpoints are kept in this many buckets, for all of them together may be larger
# than one of the platform's values, and a change then moves one bucket only.
BUCKETED = "endpoints"
BUCKETS = 16
BUCKET_MARK = "/"
# The region of data halls of which nothing is said.
DEFAULT_REGION = "default"

# Operations that the head remembers, so that an operator whose answer was
# lost can still learn whether the change took effect.
HEAD_OPERATIONS = 256


class Content(Part):
    """Everything that operators set, checked; see :class:`Configuration`."""

    organisations: tuple[Organisation, ...] = ()
    versions: tuple[Version, ...] = ()
    cascades: tuple[Cascade, ...] = ()
    rollouts: tuple[Rollout, ...] = ()
    policies: tuple[Policy, ...] = ()
    pools: tuple[Pool, ...] = ()
    endpoints: tuple[Endpoint, ...] = ()
    services: tuple[Service, ...] = ()
    halls: tuple[Hall, ...] = ()


def encode_part(items: tuple[BaseModel, ...]) -> bytes:
    """Write one part in the one form that its hash is taken from.

    :param items: the part's items.
    :returns: canonical JSON.
    """
    plain = [item.model_dump(mode="json") for item in items]
    return orjson.dumps(plain, option=orjson.OPT_SORT_KEYS)


def part_names() -> list[str]:
    """:returns: the names that a head gives hashes for."""
    names = [name for name in PART_MODELS if name != BUCKETED]
    return names + [f"{BUCKETED}{BUCKET_MARK}{n:02d}" for n in range(BUCKETS)]


def _bucket(name: str) -> str:
    number = xxhash.xxh3_64_intdigest(name.encode()) % BUCKETS
    return f"{BUCKETED}{BUCKET_MARK}{number:02d}"


def part_hash(data: bytes) -> str:
    """Name a part by what it holds.

    :param data: the part as :func:`encode_part` wrote it.
    :returns: 64 hex digits.
    """
    return hashlib.sha256(data).hexdigest()


class HeadOperation(Part):
    """An accepted change, as the head remembers it."""

    operation: str
    revision: int


class Head(Part):
    """The one object that says which parts are in force.

    Whoever replaces it by a conditional update has had a change accepted:
    there is one order of changes and one point at which each is accepted.
    """

    revision: int
    parts: dict[str, str]
    operations: tuple[HeadOperation, ...] = ()

    def encode(self) -> bytes:
        """:returns: the head as it is stored."""
        return orjson.dumps(self.model_dump(mode="json"), option=orjson.OPT_SORT_KEYS)

    @classmethod
    def decode(cls, data: bytes) -> Head:
        """:param data: what :meth:`encode` wrote."""
        return cls.model_validate_json(data)

    def revision_of(self, operation: str) -> int | None:
        """Tell whether a change took effect.

        :param operation: the change's own id.
        :returns: the revision it made, or None where the head does not know it.
        """
        for entry in self.operations:
            if entry.operation == operation:
                return entry.revision
        return None

    def successor(self, parts: dict[str, str], operation: str) -> Head:
        """Make the head that follows this one.

        :param parts: hash by part name, all of them.
        :param operation: the id of the change.
        """
        revision = self.revision + 1
        entry = HeadOperation(operation=operation, revision=revision)
        operations = (*self.operations, entry)[-HEAD_OPERATIONS:]
        return Head(revision=revision, parts=parts, operations=operations)


def first_head() -> Head:
    """:returns: the head of a fleet that was never configured."""
    empty = part_hash(encode_part(()))
    return Head(revision=NO_REVISION, parts=dict.fromkeys(part_names(), empty))


@dataclass(frozen=True)
class Configuration:
    """What a VM has in force: a revision and the content that belongs to it.

    It never changes; look-ups are worked out once and kept.
    """

    revision: Revision = NO_REVISION
    content: Content = field(default_factory=Content)

    @cached_property
    def organisations(self) -> dict[str, Organisation]:
        """Organisation by name."""
        return {item.name: item for item in self.content.organisations}

    @cached_property
    def by_key_hash(self) -> dict[str, Organisation]:
        """Organisation by the hash of a caller's key."""
        return {key: item for item in self.content.organisations for key in item.keys}

    @cached_property
    def versions(self) -> dict[str, Version]:
        """Version by name."""
        return {item.name: item for item in self.content.versions}

    @cached_property
    def versions_of_model(self) -> dict[str, list[Version]]:
        """Versions by model, in the order of the configuration."""
        found: dict[str, list[Version]] = {}
        for item in self.content.versions:
            found.setdefault(item.model, []).append(item)
        return found

    @cached_property
    def cascades(self) -> dict[str, Cascade]:
        """Cascade by name."""
        return {item.name: item for item in self.content.cascades}

    @cached_property
    def rollouts(self) -> dict[str, Rollout]:
        """Roll-out by name."""
        return {item.name: item for item in self.content.rollouts}

    @cached_property
    def rollouts_of_model(self) -> dict[str, Rollout]:
        """The last roll-out of each model."""
        return {item.model: item for item in self.content.rollouts}

    @cached_property
    def policies(self) -> dict[str, Policy]:
        """Policy by name."""
        return {item.name: item for item in self.content.policies}

    @cached_property
    def pools(self) -> dict[str, Pool]:
        """Pool by name."""
        return {item.name: item for item in self.content.pools}

    @cached_property
    def services(self) -> dict[str, Service]:
        """Service by name."""
        return {item.name: item for item in self.content.services}

    @cached_property
    def endpoints(self) -> dict[str, Endpoint]:
        """Endpoint by name."""
        return {item.name: item for item in self.content.endpoints}

    @cached_property
    def emptied_halls(self) -> frozenset[str]:
        """The data halls whose endpoints get nothing more."""
        return frozenset(item.name for item in self.content.halls if item.emptied)

    @cached_property
    def regions(self) -> dict[HallName, RegionName]:
        """The region of each data hall that endpoints stand in."""
        known = {item.hall: DEFAULT_REGION for item in self.content.endpoints}
        known |= {item.name: item.region for item in self.content.halls}
        return {HallName(hall): RegionName(name) for hall, name in known.items()}

    @cached_property
    def endpoints_of_version(self) -> dict[str, list[Endpoint]]:
        """Endpoints that have a version loaded."""
        found: dict[str, list[Endpoint]] = {}
        for item in self.content.endpoints:
            for version in item.versions:
                found.setdefault(version, []).append(item)
        return found

    @cached_property
    def endpoints_of_service(self) -> dict[str, list[Endpoint]]:
        """Endpoints that run a plain service."""
        found: dict[str, list[Endpoint]] = {}
        for item in self.content.endpoints:
            if item.service is not None:
                found.setdefault(item.service, []).append(item)
        return found

    def part_bytes(self) -> dict[str, bytes]:
        """:returns: each part as it is stored, by name."""
        items: dict[str, list[Part]] = {name: [] for name in part_names()}
        for name in PART_MODELS:
            if name != BUCKETED:
                items[name] = list(getattr(self.content, name))
        for endpoint in self.content.endpoints:
            items[_bucket(endpoint.name)].append(endpoint)
        return {name: encode_part(tuple(found)) for name, found in items.items()}


def configuration_from_parts(revision: int, parts: dict[str, bytes]) -> Configuration:
    """Put a configuration together from its stored parts.

    :param revision: the head's revision.
    :param parts: each part's bytes by name.
    :raises pydantic.ValidationError: if a part is not what the models say.
    """
    plain: dict[str, Any] = {name: [] for name in PART_MODELS}
    for name, data in sorted(parts.items()):
        plain[name.split(BUCKET_MARK)[0]].extend(orjson.loads(data))
    return Configuration(Revision(revision), Content.model_validate(plain))
