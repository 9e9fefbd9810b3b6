# Licensed under the Apache License 2.0: see LICENSE for details.

"""Typed models of the parts of the fleet's configuration."""

from __future__ import annotations

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, StringConstraints

from walnutquay.state.process.ids import (
    OnWithdrawn,
    RolloutState,
    VersionState,
    WorkKind,
)

Name = Annotated[
    str, StringConstraints(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$", strict=True)
]
KeyHash = Annotated[str, StringConstraints(pattern=r"^sha256:[0-9a-f]{64}$")]
Share = Annotated[float, Field(ge=0.0, le=1.0)]
Price = Annotated[float, Field(ge=0.0)]
Seconds = Annotated[float, Field(ge=0.0)]


class Part(BaseModel):
    """The immutable base of each model, which rejects unknown keys."""

    model_config = ConfigDict(extra="forbid", frozen=True, defer_build=True)


class Organisation(Part):
    """A caller's organisation and what it may use."""

    name: Name
    """The organisation's name, as used in reports and bills."""
    keys: tuple[KeyHash, ...] = ()
    """Hashes of the keys that its callers present: `sha256:` and 64 hex digits each."""
    versions: tuple[Name, ...] = ()
    """The versions that its requests may run on."""
    cascades: tuple[Name, ...] = ()
    """The cascades that its requests may use."""
    services: tuple[Name, ...] = ()
    """The plain services that it may call."""
    weight: Annotated[float, Field(gt=0.0, allow_inf_nan=False)] = 1.0
    """Its weight in the fair sharing of a full pool."""
    priority: int | None = None
    """Its priority, 0 being the most urgent; if unset, the route's priority applies."""
    policy: Name | None = None
    """The policy program that orders its candidates; if unset, their order is kept."""
    regions: tuple[Name, ...] = ()
    """The regions in which its requests may run; if empty, there is no limit."""
    on_withdrawn: OnWithdrawn = OnWithdrawn.REFUSE
    """How to handle a turn whose session's version has been withdrawn."""


class Version(Part):
    """One version of a model."""

    name: Name
    """The version's name, which endpoints use too."""
    model: Name
    """The model that this is a version of; cascades and roll-outs refer to models."""
    state: VersionState = VersionState.ACTIVE
    """`active`, `draining` (existing sessions only) or `withdrawn` (nothing new)."""
    price_input: Price = 0.0
    """The price of a thousand input tokens."""
    price_output: Price = 0.0
    """The price of a thousand output tokens."""
    unconfirmed_for: Seconds = 0.0
    """Seconds for which a VM that cannot confirm its configuration continues to send
    new requests to this version; 0 sets no limit."""


class Cascade(Part):
    """Models in order of cost that are offered under one name."""

    name: Name
    """The name that callers give as `model`."""
    steps: Annotated[tuple[Name, ...], Field(min_length=1)]
    """The models, cheapest first."""
    quality: Share = 0.0
    """The rating below which a request is escalated to the next step; 0 disables
    rating."""
    learn: bool = True
    """Whether to skip steps that have proved not to be worth their cost."""
    sample: Share = 0.05
    """The share of answers to rate, in order to learn from them, among those that need
    not be rated before they are sent."""
    reach: Share = 0.0
    """The share of streamed answers that must reach the quality: they start with the
    first version known to be good enough; 0 starts them with the first version."""


class Rollout(Part):
    """The gradual replacement of a model's version by a new one."""

    name: Name
    """The roll-out's name."""
    model: Name
    """The model of which a new version is rolled out."""
    old: Name
    """The version that currently serves new sessions."""
    new: Name
    """The version that replaces it."""
    stages: Annotated[tuple[Share, ...], Field(min_length=1)] = (0.05, 0.25, 1.0)
    """The share of new sessions that are assigned to the new version at each stage."""
    stage: Annotated[int, Field(ge=0)] = 0
    """The index of the current stage."""
    state: RolloutState = RolloutState.RUNNING
    """`running`, `paused`, `done` or `withdrawn`."""
    automatic: bool = False
    """Whether to advance to the next stage automatically when the tests of a stage find
    the new version good."""


class Policy(Part):
    """A short Starlark program that orders and filters candidates."""

    name: Name
    """The policy's name."""
    source: Annotated[str, StringConstraints(max_length=65536)]
    """The source of the program, which defines `route(request, candidates)`."""


class Pool(Part):
    """Endpoints that share a queue."""

    name: Name
    """The pool's name."""
    work: WorkKind
    """`patient` for model requests, `quick` for calls of plain services."""
    queue_length: Annotated[int, Field(ge=0)] = 64
    """The number of requests that may wait on each VM for an endpoint of this pool."""
    queue_seconds: Seconds = 10.0
    """Seconds for which a request may wait before it is refused."""


class Endpoint(Part):
    """A worker that runs versions of models or a plain service."""

    name: Name
    """The endpoint's name."""
    pool: Name
    """The pool that it belongs to."""
    hall: Name
    """The data hall in which it runs."""
    address: str
    """The address of the worker: `http://IP:port`."""
    versions: tuple[Name, ...] = ()
    """The versions that it has loaded."""
    service: Name | None = None
    """The plain service that it runs."""
    slots: Annotated[int, Field(ge=1)] = 8
    """The number of requests that it runs concurrently."""
    leaving: bool = False
    """Whether it is being shut down and must not be sent new requests."""
    checks_fences: bool = False
    """Whether it refuses orders with an older fence."""


class Hall(Part):
    """A data hall whose endpoints are treated differently from others."""

    name: Name
    """The data hall's name, as endpoints give it."""
    emptied: bool = False
    """Whether its endpoints are sent no new requests; those in progress continue."""
    region: Name = "default"
    """The region to which it belongs."""


class Service(Part):
    """A plain service, which runs no models."""

    name: Name
    """The name in the path `/services/<name>/`."""
    pool: Name
    """The pool whose endpoints run it."""
    repeatable: tuple[str, ...] = ("GET", "HEAD", "OPTIONS")
    """The methods whose calls may be repeated after a failure."""
    timeout_seconds: Annotated[float, Field(gt=0.0)] = 10.0
    """Seconds for which one call may last."""
    price_call: Price = 0.0
    """The price of one call."""
