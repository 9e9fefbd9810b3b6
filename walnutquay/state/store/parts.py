# Licensed under the Apache License 2.0: see LICENSE for details.

"""The typed models of the fleet's configuration."""

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
    """The base of each model: unknown keys are errors, values never change."""

    model_config = ConfigDict(extra="forbid", frozen=True, defer_build=True)


class Organisation(Part):
    """A caller's organisation and what it may use."""

    name: Name
    """The organisation's name, as in reports and bills."""
    keys: tuple[KeyHash, ...] = ()
    """Hashes of the keys that its callers present: `sha256:` and 64 hex digits."""
    versions: tuple[Name, ...] = ()
    """The versions that its requests may run on."""
    cascades: tuple[Name, ...] = ()
    """The cascades that its requests may name."""
    services: tuple[Name, ...] = ()
    """The plain services that it may call."""
    weight: Annotated[float, Field(gt=0.0)] = 1.0
    """Its weight in the fair share of a pool that is full."""
    priority: int | None = None
    """Its rank among organisations, 0 the most urgent; none leaves it to the route."""
    policy: Name | None = None
    """The policy program that orders its candidates; none keeps the given order."""
    regions: tuple[Name, ...] = ()
    """The regions in which its requests may run; none sets no limit."""
    on_withdrawn: OnWithdrawn = OnWithdrawn.REFUSE
    """What happens to a turn whose session's version has been withdrawn."""


class Version(Part):
    """One version of a model."""

    name: Name
    """The version's name, which endpoints know too."""
    model: Name
    """The model that this is a version of; cascades and roll-outs name models."""
    state: VersionState = VersionState.ACTIVE
    """`active`, `draining` (old sessions only) or `withdrawn` (nothing new)."""
    price_input: Price = 0.0
    """Price of a thousand input tokens."""
    price_output: Price = 0.0
    """Price of a thousand output tokens."""
    unconfirmed_for: Seconds = 0.0
    """Seconds for which a VM that cannot confirm its configuration goes on giving
    this version new work; 0 sets no limit."""


class Cascade(Part):
    """Models from cheap to costly behind one name."""

    name: Name
    """The name that callers give as `model`."""
    steps: Annotated[tuple[Name, ...], Field(min_length=1)]
    """Models, cheapest first."""
    quality: Share = 0.0
    """An answer rated below this goes on to the next step; 0 rates nothing."""
    learn: bool = True
    """Whether steps that are known not to be worth their cost are left out."""
    sample: Share = 0.05
    """The share of answers that nobody waits to have rated which are rated all the
    same, to learn from them."""
    reach: Share = 0.0
    """The share of streamed answers that is to have the quality: they begin with the
    first version known to be good enough; 0 begins with the first."""


class Rollout(Part):
    """A new version of a model that takes over from the present one."""

    name: Name
    """The roll-out's name."""
    model: Name
    """The model that is rolled out."""
    old: Name
    """The version that serves new sessions now."""
    new: Name
    """The version that is to take over."""
    stages: Annotated[tuple[Share, ...], Field(min_length=1)] = (0.05, 0.25, 1.0)
    """The share of new sessions that the new version gets at each stage."""
    stage: Annotated[int, Field(ge=0)] = 0
    """The index of the stage that is in force."""
    state: RolloutState = RolloutState.RUNNING
    """`running`, `paused`, `done` or `withdrawn`."""
    automatic: bool = False
    """Whether a stage whose tests find the new version good goes on to the next by
    itself."""


class Policy(Part):
    """A short Starlark program that orders and filters candidates."""

    name: Name
    """The policy's name."""
    source: Annotated[str, StringConstraints(max_length=65536)]
    """The program; it defines `route(request, candidates)`."""


class Pool(Part):
    """Endpoints that share a queue."""

    name: Name
    """The pool's name."""
    work: WorkKind
    """`patient` for model work, `quick` for app calls."""
    queue_length: Annotated[int, Field(ge=0)] = 64
    """Requests that may wait on each VM for an endpoint of this pool."""
    queue_seconds: Seconds = 10.0
    """Seconds that a request may wait before it is refused."""


class Endpoint(Part):
    """One worker that runs versions or a plain service."""

    name: Name
    """The endpoint's name."""
    pool: Name
    """The pool that it belongs to."""
    hall: Name
    """The data hall that it stands in."""
    address: str
    """`http://IP:port` of the worker."""
    versions: tuple[Name, ...] = ()
    """The versions that it has loaded."""
    service: Name | None = None
    """The plain service that it runs."""
    slots: Annotated[int, Field(ge=1)] = 8
    """Requests that it runs at once."""
    leaving: bool = False
    """Whether it is being taken away: it then gets no new work."""
    checks_fences: bool = False
    """Whether it refuses orders that carry an older fence."""


class Hall(Part):
    """A data hall whose endpoints are treated unlike others."""

    name: Name
    """The data hall, as endpoints name it."""
    emptied: bool = False
    """Whether its endpoints get nothing more; what runs there runs on."""
    region: Name = "default"
    """The region that it stands in."""


class Service(Part):
    """A plain service beside the model engines."""

    name: Name
    """The name in the path `/services/<name>/`."""
    pool: Name
    """The pool whose endpoints run it."""
    repeatable: tuple[str, ...] = ("GET", "HEAD", "OPTIONS")
    """The methods whose calls may be repeated after a failure."""
    timeout_seconds: Annotated[float, Field(gt=0.0)] = 10.0
    """Seconds that one call may take."""
    price_call: Price = 0.0
    """Price of one call."""
