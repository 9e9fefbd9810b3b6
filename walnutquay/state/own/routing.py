# Licensed under the Apache License 2.0: see LICENSE for details.

"""The choice and order of the versions that may serve a request.

An organisation's policy program orders the versions, but only those that
:func:`check_allowed` permits are used.  This is checked when a request is planned and
again right before each dispatch, so that a configuration change also applies to
requests that were waiting when it came into force.
"""

from __future__ import annotations

from dataclasses import dataclass

import xxhash
from expression import Error, Ok, Result

from walnutquay.state.own.configuration import Configuration
from walnutquay.state.own.policies import PolicyPrograms, PolicyRequest
from walnutquay.state.own.sessions import Pin
from walnutquay.state.process.ids import (
    OnWithdrawn,
    RolloutState,
    SessionId,
    VersionName,
    VersionState,
)
from walnutquay.state.requests.refusals import Refusal, RefusalCode
from walnutquay.state.store.parts import Cascade, Organisation, Rollout, Version

HASH_RANGE = 1 << 64
# The time after which to retry if a version is unconfirmed, as it may be confirmed by
# then, or if a cascade has no usable version; seconds.
UNCONFIRMED_RETRY_SECONDS = 5.0


@dataclass(frozen=True, slots=True)
class RoutingRequest:
    """The properties of a request that matter for routing.

    :param organisation: the organisation that sent the request.
    :param requested_name: the cascade or version that the caller named.
    :param request_class: the caller's class of request.
    :param size: ``small``, ``medium`` or ``large``.
    :param stream: whether the answer is streamed.
    :param session: the session's id.
    :param pin: the versions that the session is bound to; None before its first turn.
    """

    organisation: Organisation
    requested_name: str
    request_class: str
    size: str
    stream: bool
    session: SessionId
    pin: Pin | None = None


@dataclass(frozen=True, slots=True)
class Plan:
    """The versions to try for a request.

    :param steps: the versions in the order in which they are tried.
    :param quality: the rating of an answer below which the next step is tried.
    :param cascade: the requested cascade; empty if a version was requested.
    :param sample: the share of the other answers that are rated, to learn from them.
    :param session_restarted: whether the session's binding is dropped because its
        version is withdrawn and the organisation prefers a new session.
    """

    steps: tuple[Version, ...]
    quality: float = 0.0
    cascade: str = ""
    sample: float = 0.0
    session_restarted: bool = False


@dataclass(frozen=True, slots=True)
class LocalRestrictions:
    """Restrictions on versions that this VM applies on its own.

    :param unconfirmed_for: seconds since the platform, or a peer that had queried it,
        last confirmed that this VM's configuration is the newest.
    :param rejected: versions that get no new sessions after failures observed by this
        VM or its peers.
    """

    unconfirmed_for: float = 0.0
    rejected: frozenset[str] = frozenset()


def session_fraction(session: SessionId, rollout: Rollout) -> float:
    """Return a session's hash, to be compared with a roll-out's share.

    :param session: the session's id.
    :param rollout: the roll-out.
    :returns: a number in [0, 1), the same on every VM.
    """
    text = f"{rollout.name}/{session}".encode()
    return xxhash.xxh3_64_intdigest(text) / HASH_RANGE


def rollout_share(rollout: Rollout) -> float:
    """Return the share of new sessions that a roll-out's new version gets.

    :param rollout: the roll-out.
    """
    if rollout.state is RolloutState.WITHDRAWN:
        return 0.0
    if rollout.state is RolloutState.DONE:
        return 1.0
    return rollout.stages[rollout.stage]


def check_allowed(
    configuration: Configuration,
    organisation: str,
    version: str,
    bound: bool,
    restrictions: LocalRestrictions,
) -> Refusal | None:
    """Check whether a version may serve a request now.

    No other rule overrides a refusal.

    :param configuration: the configuration that is in force now.
    :param organisation: the organisation that sent the request.
    :param version: the version to run.
    :param bound: whether the session is already bound to the version.
    :param restrictions: the restrictions that this VM applies on its own.
    :returns: the refusal, or None if the version may serve the request.
    """
    owner = configuration.organisations.get(organisation)
    if owner is None or version not in owner.versions:
        return Refusal(
            RefusalCode.NOT_ALLOWED, f"{organisation} may not use version {version}"
        )
    entry = configuration.versions[version]
    if entry.state is VersionState.WITHDRAWN:
        return Refusal(
            RefusalCode.VERSION_WITHDRAWN, f"version {version} has been withdrawn"
        )
    if entry.state is VersionState.DRAINING and not bound:
        return Refusal(
            RefusalCode.NO_VERSION, f"version {version} takes no new sessions"
        )
    if entry.unconfirmed_for and restrictions.unconfirmed_for > entry.unconfirmed_for:
        return Refusal(
            RefusalCode.UNCONFIRMED,
            f"version {version} could not be confirmed for too long",
            UNCONFIRMED_RETRY_SECONDS,
        )
    if version in restrictions.rejected and not bound:
        return Refusal(
            RefusalCode.NO_VERSION, f"version {version} is held back after failures"
        )
    return None


def _versions_for_model(
    configuration: Configuration,
    request: RoutingRequest,
    model: str,
    restrictions: LocalRestrictions,
) -> list[Version]:
    """Return the versions of a model that may serve a new session, in order."""
    versions = configuration.versions_of_model.get(model, [])
    usable = [
        version
        for version in versions
        if version.state is VersionState.ACTIVE
        and check_allowed(
            configuration, request.organisation.name, version.name, False, restrictions
        )
        is None
    ]
    rollout = configuration.rollouts_of_model.get(model)
    if rollout is None:
        return usable
    gets_new = session_fraction(request.session, rollout) < rollout_share(rollout)
    preferred, other = (
        (rollout.new, rollout.old) if gets_new else (rollout.old, rollout.new)
    )
    # The old version may replace the new one, never the other way round: the share
    # limits the exposure to the new version.
    may_use = {preferred, other} if gets_new else {preferred}
    rank = {preferred: 0, other: 1}
    permitted = [version for version in usable if version.name in may_use]
    return sorted(permitted, key=lambda version: rank[version.name])


def plan(
    configuration: Configuration,
    programs: PolicyPrograms,
    request: RoutingRequest,
    restrictions: LocalRestrictions,
) -> Result[Plan, Refusal]:
    """Choose and order the versions that may serve a request.

    :param configuration: the configuration that is in force.
    :param programs: the policy programs of that configuration.
    :param request: the request.
    :param restrictions: the restrictions that this VM applies on its own.
    :returns: the plan, or the refusal if no version may serve the request.
    """
    organisation = request.organisation
    cascade = configuration.cascades.get(request.requested_name)
    if cascade is not None:
        if cascade.name not in organisation.cascades:
            return Error(
                Refusal(
                    RefusalCode.NOT_ALLOWED,
                    f"{organisation.name} may not use cascade {cascade.name}",
                )
            )
        return _plan_cascade(configuration, programs, request, cascade, restrictions)
    version = configuration.versions.get(request.requested_name)
    if version is not None:
        return _plan_version(configuration, request, version, restrictions)
    return Error(
        Refusal(
            RefusalCode.UNKNOWN_MODEL,
            f"no cascade or version is called {request.requested_name!r}",
        )
    )


def _plan_version(
    configuration: Configuration,
    request: RoutingRequest,
    version: Version,
    restrictions: LocalRestrictions,
) -> Result[Plan, Refusal]:
    """Plan a request that names a version."""
    pin = request.pin
    pinned = pin.version_of(version.model) if pin is not None else None
    if pinned is not None and pinned != version.name:
        return Error(
            Refusal(
                RefusalCode.NOT_ALLOWED,
                f"the session is bound to version {pinned} of {version.model}",
            )
        )
    bound = pinned is not None
    refusal = check_allowed(
        configuration, request.organisation.name, version.name, bound, restrictions
    )
    return Error(refusal) if refusal is not None else Ok(Plan((version,)))


def _plan_cascade(
    configuration: Configuration,
    programs: PolicyPrograms,
    request: RoutingRequest,
    cascade: Cascade,
    restrictions: LocalRestrictions,
) -> Result[Plan, Refusal]:
    """Plan a request that names a cascade."""
    restarted = False
    steps: list[Version] = []
    for model in cascade.steps:
        choice = _versions_for_step(configuration, request, model, restrictions)
        if choice.is_error():
            refusal = choice.error
            if not _may_restart(request.organisation, refusal):
                return Error(refusal)
            restarted = True
            candidates = _versions_for_model(
                configuration, request, model, restrictions
            )
            steps.extend(candidates[:1])
        else:
            steps.extend(choice.ok)
    if not steps:
        return Error(
            Refusal(
                RefusalCode.NO_VERSION,
                f"no version of cascade {cascade.name} takes work now",
                UNCONFIRMED_RETRY_SECONDS,
            )
        )
    policy_request = PolicyRequest(
        request.organisation.name,
        request.request_class,
        request.requested_name,
        request.size,
        request.stream,
    )
    order = programs.order(request.organisation.policy, policy_request, tuple(steps))
    by_name = {version.name: version for version in steps}
    ordered = tuple(by_name[name] for name in order)
    if not ordered:
        return Error(
            Refusal(RefusalCode.NOT_ALLOWED, "the policy leaves no version to use")
        )
    return Ok(Plan(ordered, cascade.quality, cascade.name, cascade.sample, restarted))


def _versions_for_step(
    configuration: Configuration,
    request: RoutingRequest,
    model: str,
    restrictions: LocalRestrictions,
) -> Result[list[Version], Refusal]:
    """Return the version for a cascade step; none if the model has no usable one."""
    pin = request.pin
    pinned = pin.version_of(model) if pin is not None else None
    if pinned is None:
        candidates = _versions_for_model(configuration, request, model, restrictions)
        return Ok(candidates[:1])
    version = configuration.versions.get(VersionName(pinned))
    if version is None:
        gone = f"version {pinned} has been withdrawn"
        return Error(Refusal(RefusalCode.VERSION_WITHDRAWN, gone))
    refusal = check_allowed(
        configuration, request.organisation.name, pinned, True, restrictions
    )
    return Error(refusal) if refusal is not None else Ok([version])


def _may_restart(organisation: Organisation, refusal: Refusal) -> bool:
    return (
        refusal.code is RefusalCode.VERSION_WITHDRAWN
        and organisation.on_withdrawn is OnWithdrawn.NEW_SESSION
    )
