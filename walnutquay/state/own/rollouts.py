# Licensed under the Apache License 2.0: see LICENSE for details.

"""Actions on roll-outs, as changes of the configuration, and orders to engines."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum
from typing import Any

from pydantic import ValidationError

from walnutquay.exceptions import ConfigurationError
from walnutquay.state.own.checking import check_content
from walnutquay.state.own.configuration import Content
from walnutquay.state.process.ids import RolloutState, VersionState
from walnutquay.state.process.problems import problems_of
from walnutquay.state.store.parts import Endpoint, Rollout


class RolloutAction(Enum):
    """An action on a roll-out."""

    START = "start"
    ADVANCE = "advance"
    PAUSE = "pause"
    RESUME = "resume"
    WITHDRAW = "withdraw"


# The states of a roll-out in which each action is allowed.
ALLOWED_IN = {
    RolloutAction.ADVANCE: (RolloutState.RUNNING,),
    RolloutAction.PAUSE: (RolloutState.RUNNING,),
    RolloutAction.RESUME: (RolloutState.PAUSED,),
    RolloutAction.WITHDRAW: (
        RolloutState.RUNNING,
        RolloutState.PAUSED,
        RolloutState.DONE,
    ),
}


def change_rollout(
    content: Content, name: str, action: RolloutAction, fields: dict[str, Any]
) -> Content:
    """Return the configuration after an action on a roll-out.

    :param content: the current configuration.
    :param name: the roll-out's name.
    :param action: the action.
    :param fields: the fields of a new roll-out, such as ``model``, ``old``, ``new`` and
        ``stages``; only used for ``START``.
    :raises ConfigurationError: if the action is not possible, with the reason.
    """
    if action is RolloutAction.START:
        return _start(content, name, fields)
    by_name = {item.name: item for item in content.rollouts}
    rollout = by_name.get(name)
    if rollout is None:
        known = ", ".join(by_name) or "none"
        raise ConfigurationError(f"no roll-out is called {name!r}; there are: {known}")
    if rollout.state not in ALLOWED_IN[action]:
        raise ConfigurationError(
            f"roll-out {name} is {rollout.state.value}: it cannot be "
            f"{PAST_TENSE[action]}"
        )
    return TRANSITIONS[action](content, rollout)


def _start(content: Content, name: str, fields: dict[str, Any]) -> Content:
    if any(item.name == name for item in content.rollouts):
        raise ConfigurationError(f"there is a roll-out called {name!r} already")
    given = {key: value for key, value in fields.items() if key != "operation"}
    try:
        rollout = Rollout.model_validate({**given, "name": name})
    except ValidationError as error:
        problems = problems_of(error, name, Rollout)
        raise ConfigurationError("\n".join(map(str, problems))) from error
    changed = content.model_copy(update={"rollouts": (*content.rollouts, rollout)})
    problems = check_content(changed, name)
    if problems:
        raise ConfigurationError("\n".join(map(str, problems)))
    return changed


def _with_changes(content: Content, rollout: Rollout, **changes: Any) -> Content:
    changed = rollout.model_copy(update=changes)
    rollouts = tuple(
        changed if item.name == rollout.name else item for item in content.rollouts
    )
    return content.model_copy(update={"rollouts": rollouts})


def _advance(content: Content, rollout: Rollout) -> Content:
    if rollout.stage + 1 < len(rollout.stages):
        return _with_changes(content, rollout, stage=rollout.stage + 1)
    return _with_changes(content, rollout, state=RolloutState.DONE)


def _pause(content: Content, rollout: Rollout) -> Content:
    return _with_changes(content, rollout, state=RolloutState.PAUSED)


def _resume(content: Content, rollout: Rollout) -> Content:
    return _with_changes(content, rollout, state=RolloutState.RUNNING)


def _withdraw(content: Content, rollout: Rollout) -> Content:
    """Withdraw the new version and assign new sessions to the old one."""
    changed = _with_changes(content, rollout, state=RolloutState.WITHDRAWN)
    versions = tuple(
        item.model_copy(update={"state": VersionState.WITHDRAWN})
        if item.name == rollout.new
        else item
        for item in changed.versions
    )
    return changed.model_copy(update={"versions": versions})


TRANSITIONS: dict[RolloutAction, Callable[[Content, Rollout], Content]] = {
    RolloutAction.ADVANCE: _advance,
    RolloutAction.PAUSE: _pause,
    RolloutAction.RESUME: _resume,
    RolloutAction.WITHDRAW: _withdraw,
}


class OrderAction(Enum):
    """What an engine is ordered to do with a version."""

    LOAD = "load"
    UNLOAD = "unload"


@dataclass(frozen=True, slots=True)
class Order:
    """An order to an engine.

    :param endpoint: the engine's endpoint.
    :param action: the action.
    :param version: the version to load or unload.
    """

    endpoint: str
    action: OrderAction
    version: str


def orders_for(
    rollout: Rollout, endpoints: Iterable[Endpoint], loaded: dict[str, frozenset[str]]
) -> list[Order]:
    """Return the orders that engines still need for a roll-out.

    :param rollout: the roll-out.
    :param endpoints: the configured endpoints.
    :param loaded: the versions that each endpoint last reported as loaded.  An endpoint
        that has not reported gets no order.
    """
    is_wanted = rollout.state is not RolloutState.WITHDRAWN
    action = OrderAction.LOAD if is_wanted else OrderAction.UNLOAD
    return [
        Order(endpoint.name, action, rollout.new)
        for endpoint in endpoints
        if rollout.new in endpoint.versions
        and endpoint.name in loaded
        and (rollout.new in loaded[endpoint.name]) is not is_wanted
    ]


PAST_TENSE = {
    RolloutAction.ADVANCE: "advanced",
    RolloutAction.PAUSE: "paused",
    RolloutAction.RESUME: "resumed",
    RolloutAction.WITHDRAW: "withdrawn",
}
