# Licensed under the Apache License 2.0: see LICENSE for details.

"""The configuration: its parts, their hashes, and look-ups by name."""

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

# Each part of a configuration is stored as a separate object, so that a change writes
# only the parts that it affects.
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

# Endpoints are stored in this many buckets, because all of them together may exceed the
# size limit of a value in the platform, and because a change of one endpoint then
# writes a single bucket.
BUCKETED_PART = "endpoints"
BUCKET_COUNT = 16
BUCKET_SEPARATOR = "/"
# The region of data halls that are not configured.
DEFAULT_REGION = "default"

# The number of operations that the head lists, so that an operator who did not receive
# the response to a change can still find out whether the change took effect.
MAX_HEAD_OPERATIONS = 256


class Content(Part):
    """All that operators configure, validated; see :class:`Configuration`."""

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
    """Encode a part in the canonical form from which its hash is computed.

    :param items: the part's items.
    :returns: canonical JSON.
    """
    plain = [item.model_dump(mode="json") for item in items]
    return orjson.dumps(plain, option=orjson.OPT_SORT_KEYS)


def part_names() -> list[str]:
    """Return the names of all stored parts, for which a head lists hashes."""
    names = [name for name in PART_MODELS if name != BUCKETED_PART]
    return names + [
        f"{BUCKETED_PART}{BUCKET_SEPARATOR}{n:02d}" for n in range(BUCKET_COUNT)
    ]


def _bucket(name: str) -> str:
    number = xxhash.xxh3_64_intdigest(name.encode()) % BUCKET_COUNT
    return f"{BUCKETED_PART}{BUCKET_SEPARATOR}{number:02d}"


def part_hash(data: bytes) -> str:
    """Return the hash that identifies a part by its content.

    :param data: the part as encoded by :func:`encode_part`.
    :returns: 64 hex digits.
    """
    return hashlib.sha256(data).hexdigest()


class HeadOperation(Part):
    """An entry in the head for an accepted change."""

    operation: str
    revision: int


class Head(Part):
    """The object that lists the parts in force.

    A change is accepted by a conditional update that replaces the head.  Changes thus
    have a total order, and each is accepted at a single point in time.
    """

    revision: int
    parts: dict[str, str]
    operations: tuple[HeadOperation, ...] = ()

    def encode(self) -> bytes:
        """Encode the head for its object."""
        return orjson.dumps(self.model_dump(mode="json"), option=orjson.OPT_SORT_KEYS)

    @classmethod
    def decode(cls, data: bytes) -> Head:
        """Decode the result of :meth:`encode`."""
        return cls.model_validate_json(data)

    def revision_of(self, operation: str) -> int | None:
        """Return the revision that a change created.

        :param operation: the id of the change.
        :returns: the revision, or None if the head does not list the change.
        """
        for entry in self.operations:
            if entry.operation == operation:
                return entry.revision
        return None

    def successor(self, parts: dict[str, str], operation: str) -> Head:
        """Return the head that follows this one.

        :param parts: the hashes of all parts by name.
        :param operation: the id of the change.
        """
        revision = self.revision + 1
        entry = HeadOperation(operation=operation, revision=revision)
        operations = (*self.operations, entry)[-MAX_HEAD_OPERATIONS:]
        return Head(revision=revision, parts=parts, operations=operations)


def first_head() -> Head:
    """Return the head of a fleet that has never been configured."""
    empty = part_hash(encode_part(()))
    return Head(revision=NO_REVISION, parts=dict.fromkeys(part_names(), empty))


@dataclass(frozen=True)
class Configuration:
    """The configuration in force on a VM: a revision and its content.

    It is immutable; look-up tables are computed once and cached.
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
        """The data halls whose endpoints are sent no new requests."""
        return frozenset(item.name for item in self.content.halls if item.emptied)

    @cached_property
    def regions(self) -> dict[HallName, RegionName]:
        """The region of each data hall that is configured or has endpoints."""
        known = {item.hall: DEFAULT_REGION for item in self.content.endpoints}
        known |= {item.name: item.region for item in self.content.halls}
        return {HallName(hall): RegionName(name) for hall, name in known.items()}

    @cached_property
    def endpoints_of_version(self) -> dict[str, list[Endpoint]]:
        """Endpoints that have a version loaded, by version."""
        found: dict[str, list[Endpoint]] = {}
        for item in self.content.endpoints:
            for version in item.versions:
                found.setdefault(version, []).append(item)
        return found

    @cached_property
    def endpoints_of_service(self) -> dict[str, list[Endpoint]]:
        """Endpoints that run a plain service, by service."""
        found: dict[str, list[Endpoint]] = {}
        for item in self.content.endpoints:
            if item.service is not None:
                found.setdefault(item.service, []).append(item)
        return found

    def part_bytes(self) -> dict[str, bytes]:
        """Return each part in its stored form, by name."""
        items: dict[str, list[Part]] = {name: [] for name in part_names()}
        for name in PART_MODELS:
            if name != BUCKETED_PART:
                items[name] = list(getattr(self.content, name))
        for endpoint in self.content.endpoints:
            items[_bucket(endpoint.name)].append(endpoint)
        return {name: encode_part(tuple(found)) for name, found in items.items()}


def configuration_from_parts(revision: int, parts: dict[str, bytes]) -> Configuration:
    """Assemble a configuration from its stored parts.

    :param revision: the head's revision.
    :param parts: the bytes of each part by name.
    :raises pydantic.ValidationError: if a part does not match its model.
    """
    plain: dict[str, Any] = {name: [] for name in PART_MODELS}
    for name, data in sorted(parts.items()):
        plain[name.split(BUCKET_SEPARATOR)[0]].extend(orjson.loads(data))
    return Configuration(Revision(revision), Content.model_validate(plain))
