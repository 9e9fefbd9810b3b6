# Licensed under the Apache License 2.0: see LICENSE for details.

"""The decision which versions may serve a request, and in which order.

A policy program proposes; :func:`check_allowed` disposes.  It is asked when a
request is planned and again right before each dispatch, so that a change which
comes into force meanwhile counts for work that waited.
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
# A version that cannot be confirmed may be confirmed again this much later.
UNCONFIRMED_RETRY = 5.0


@dataclass(frozen=True, slots=True)
class RoutingRequest:
    """What routing needs to know of a request.

    :param organisation: whose request it is.
    :param asked: the cascade, model or version that the caller named.
    :param request_class: the caller's class of request.
    :param size: ``small``, ``medium`` or ``large``.
    :param stream: whether the answer is streamed.
    :param session: the session's id.
    :param pin: what the session is bound to, if it has had a turn.
    """

    organisation: Organisation
    asked: str
    request_class: str
    size: str
    stream: bool
    session: SessionId
    pin: Pin | None = None


@dataclass(frozen=True, slots=True)
class Plan:
    """The versions to try.

    :param steps: versions, the first to try first.
    :param quality: an answer rated below this goes on to the next step.
    :param cascade: the cascade that was asked for; empty if it was a version.
    :param sample: the share of other answers that are rated to learn from them.
    :param session_restarted: whether the session's old binding was dropped
        because its version is withdrawn and the organisation wants that.
    """

    steps: tuple[Version, ...]
    quality: float = 0.0
    cascade: str = ""
    sample: float = 0.0
    session_restarted: bool = False


@dataclass(frozen=True, slots=True)
class LocalRestrictions:
    """What this VM holds against versions by itself.

    :param unconfirmed_for: seconds since this VM last heard, from the platform
        or a peer that did, that its configuration is the newest.
    :param rejected: versions that are held back after failures seen here or by
        peers.
    """

    unconfirmed_for: float = 0.0
    rejected: frozenset[str] = frozenset()


def session_fraction(session: SessionId, rollout: Rollout) -> float:
    """Place a session on the scale of a roll-out's share.

    :param session: the session's id.
    :param rollout: the roll-out.
    :returns: a number from 0 up to, but not including, 1; the same on each VM.
    """
    text = f"{rollout.name}/{session}".encode()
    return xxhash.xxh3_64_intdigest(text) / HASH_RANGE


def rollout_share(rollout: Rollout) -> float:
    """:param rollout: a roll-out.

    :returns: the share of new sessions that its new version gets now.
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
    doubts: LocalRestrictions,
) -> Refusal | None:
    """Say whether a version may be given work now; the last word on it.

    :param configuration: what is in force at this moment.
    :param organisation: whose request it is.
    :param version: the version that is to run.
    :param bound: whether the session was bound to this version before.
    :param doubts: what this VM holds against versions by itself.
    :returns: why not, or None.
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
    if entry.unconfirmed_for and doubts.unconfirmed_for > entry.unconfirmed_for:
        return Refusal(
            RefusalCode.UNCONFIRMED,
            f"version {version} could not be confirmed for too long",
            UNCONFIRMED_RETRY,
        )
    if version in doubts.rejected and not bound:
        return Refusal(
            RefusalCode.NO_VERSION, f"version {version} is held back after failures"
        )
    return None


def _version_for_model(
    configuration: Configuration,
    question: RoutingRequest,
    model: str,
    doubts: LocalRestrictions,
) -> list[Version]:
    """List the versions of one model that may serve, the preferred one first."""
    versions = configuration.versions_of_model.get(model, [])
    usable = [
        version
        for version in versions
        if version.state is VersionState.ACTIVE
        and check_allowed(
            configuration, question.organisation.name, version.name, False, doubts
        )
        is None
    ]
    rollout = configuration.rollouts_of_model.get(model)
    if rollout is None:
        return usable
    takes_new = session_fraction(question.session, rollout) < rollout_share(rollout)
    preferred, other = (
        (rollout.new, rollout.old) if takes_new else (rollout.old, rollout.new)
    )
    # The old version may stand in for the new one, never the other way round:
    # a share is a bound on the exposure to the new version.
    may_use = {preferred, other} if takes_new else {preferred}
    rank = {preferred: 0, other: 1}
    chosen = [version for version in usable if version.name in may_use]
    return sorted(chosen, key=lambda version: rank[version.name])


def plan(
    configuration: Configuration,
    programs: PolicyPrograms,
    question: RoutingRequest,
    doubts: LocalRestrictions,
) -> Result[Plan, Refusal]:
    """Decide which versions may serve a request, and in which order.

    :param configuration: what is in force.
    :param programs: the policy programs of that configuration.
    :param question: the request.
    :param doubts: what this VM holds against versions by itself.
    :returns: the plan, or why there is none.
    """
    organisation = question.organisation
    cascade = configuration.cascades.get(question.asked)
    if cascade is not None:
        if cascade.name not in organisation.cascades:
            return Error(
                Refusal(
                    RefusalCode.NOT_ALLOWED,
                    f"{organisation.name} may not use cascade {cascade.name}",
                )
            )
        return _plan_cascade(configuration, programs, question, cascade, doubts)
    version = configuration.versions.get(question.asked)
    if version is not None:
        return _plan_version(configuration, question, version, doubts)
    return Error(
        Refusal(
            RefusalCode.UNKNOWN_MODEL,
            f"no cascade or version is called {question.asked!r}",
        )
    )


def _plan_version(
    configuration: Configuration,
    question: RoutingRequest,
    version: Version,
    doubts: LocalRestrictions,
) -> Result[Plan, Refusal]:
    """Plan a request that names its version."""
    pin = question.pin
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
        configuration, question.organisation.name, version.name, bound, doubts
    )
    return Error(refusal) if refusal is not None else Ok(Plan((version,)))


def _plan_cascade(
    configuration: Configuration,
    programs: PolicyPrograms,
    question: RoutingRequest,
    cascade: Cascade,
    doubts: LocalRestrictions,
) -> Result[Plan, Refusal]:
    """Plan a request that names a cascade."""
    restarted = False
    steps: list[Version] = []
    for model in cascade.steps:
        choice = _step(configuration, question, model, doubts)
        if choice.is_error():
            refusal = choice.error
            if not _may_restart(question.organisation, refusal):
                return Error(refusal)
            restarted = True
            candidates = _version_for_model(configuration, question, model, doubts)
            steps.extend(candidates[:1])
        else:
            steps.extend(choice.ok)
    if not steps:
        return Error(
            Refusal(
                RefusalCode.NO_VERSION,
                f"no version of cascade {cascade.name} takes work now",
                UNCONFIRMED_RETRY,
            )
        )
    request = PolicyRequest(
        question.organisation.name,
        question.request_class,
        question.asked,
        question.size,
        question.stream,
    )
    order = programs.order(question.organisation.policy, request, tuple(steps))
    by_name = {version.name: version for version in steps}
    ordered = tuple(by_name[name] for name in order)
    if not ordered:
        return Error(
            Refusal(RefusalCode.NOT_ALLOWED, "the policy leaves no version to use")
        )
    return Ok(Plan(ordered, cascade.quality, cascade.name, cascade.sample, restarted))


def _step(
    configuration: Configuration,
    question: RoutingRequest,
    model: str,
    doubts: LocalRestrictions,
) -> Result[list[Version], Refusal]:
    """Choose the version of one cascade step; none where the model has none."""
    pin = question.pin
    pinned = pin.version_of(model) if pin is not None else None
    if pinned is None:
        candidates = _version_for_model(configuration, question, model, doubts)
        return Ok(candidates[:1])
    version = configuration.versions.get(VersionName(pinned))
    if version is None:
        gone = f"version {pinned} has been withdrawn"
        return Error(Refusal(RefusalCode.VERSION_WITHDRAWN, gone))
    refusal = check_allowed(
        configuration, question.organisation.name, pinned, True, doubts
    )
    return Error(refusal) if refusal is not None else Ok([version])


def _may_restart(organisation: Organisation, refusal: Refusal) -> bool:
    return (
        refusal.code is RefusalCode.VERSION_WITHDRAWN
        and organisation.on_withdrawn is OnWithdrawn.NEW_SESSION
    )
