# Licensed under the Apache License 2.0: see LICENSE for details.

"""Validation of configurations; problems name the file, the key and the reason."""

from __future__ import annotations

import difflib
from collections.abc import Iterator
from typing import Any

from pydantic import ValidationError

from walnutquay.state.own.configuration import Content
from walnutquay.state.own.policies import PolicyPrograms
from walnutquay.state.process.ids import RolloutState
from walnutquay.state.process.problems import Problem, problems_of


def _duplicates(content: Content) -> Iterator[tuple[str, str]]:
    for part in type(content).model_fields:
        seen: set[str] = set()
        for index, item in enumerate(getattr(content, part)):
            if item.name in seen:
                yield f"{part}[{index}].name", f"{item.name!r} stands twice"
            seen.add(item.name)


def _undefined(key: str, names: tuple[str, ...], defined: set[str]) -> Iterator:
    for name in names:
        if name in defined:
            continue
        close_matches = difflib.get_close_matches(name, defined, n=1, cutoff=0.4)
        hint = f"; did you mean {close_matches[0]!r}?" if close_matches else ""
        yield key, f"{name!r} is not defined{hint}"


def _references(content: Content) -> Iterator[tuple[str, str]]:
    """Check that each referenced name is defined."""
    versions = {item.name for item in content.versions}
    models = {item.model for item in content.versions}
    cascades = {item.name for item in content.cascades}
    services = {item.name for item in content.services}
    pools = {item.name for item in content.pools}
    policies = {item.name for item in content.policies}
    for index, item in enumerate(content.organisations):
        where = f"organisations[{index}]"
        yield from _undefined(f"{where}.versions", item.versions, versions)
        yield from _undefined(f"{where}.cascades", item.cascades, cascades)
        yield from _undefined(f"{where}.services", item.services, services)
        if item.policy is not None:
            yield from _undefined(f"{where}.policy", (item.policy,), policies)
    for index, item in enumerate(content.cascades):
        yield from _undefined(f"cascades[{index}].steps", item.steps, models)
    for index, item in enumerate(content.services):
        if item.name in versions:
            yield f"services[{index}].name", f"a version is called {item.name!r} too"
        yield from _undefined(f"services[{index}].pool", (item.pool,), pools)
    for index, item in enumerate(content.endpoints):
        where = f"endpoints[{index}]"
        yield from _undefined(f"{where}.pool", (item.pool,), pools)
        yield from _undefined(f"{where}.versions", item.versions, versions)
        if item.service is not None:
            yield from _undefined(f"{where}.service", (item.service,), services)


def _rollouts(content: Content) -> Iterator[tuple[str, str]]:
    """Check that roll-outs refer to versions of their model and do not overlap."""
    models = {item.name: item.model for item in content.versions}
    active_models: set[str] = set()
    for index, item in enumerate(content.rollouts):
        where = f"rollouts[{index}]"
        for key in ("old", "new"):
            if models.get(getattr(item, key)) != item.model:
                yield f"{where}.{key}", f"not a version of model {item.model!r}"
        if item.stage >= len(item.stages):
            yield f"{where}.stage", f"there are only {len(item.stages)} stages"
        if item.state not in (RolloutState.RUNNING, RolloutState.PAUSED):
            continue
        if item.model in active_models:
            yield where, f"model {item.model!r} has another roll-out under way"
        active_models.add(item.model)


def _keys(content: Content) -> Iterator[tuple[str, str]]:
    owner: dict[str, str] = {}
    for index, item in enumerate(content.organisations):
        for key in item.keys:
            if key in owner:
                yield (
                    f"organisations[{index}].keys",
                    f"this key is {owner[key]!r}'s already",
                )
            owner[key] = item.name


def _policies(content: Content) -> Iterator[tuple[str, str]]:
    for index, item in enumerate(content.policies):
        reason = PolicyPrograms.check(item)
        if reason is not None:
            yield f"policies[{index}].source", reason


def check_content(content: Content, file: str) -> list[Problem]:
    """Check what the types of the models alone cannot validate.

    :param content: a configuration whose keys and types are valid.
    :param file: the file name to give in problems.
    :returns: the problems found; empty if there are none.
    """
    checks = (_duplicates, _references, _rollouts, _keys, _policies)
    return [
        Problem(file, key, reason) for check in checks for key, reason in check(content)
    ]


def parse_content(plain: dict[str, Any], file: str) -> tuple[Content, list[Problem]]:
    """Parse and check a configuration from a file or an operator's request.

    :param plain: the parsed TOML or JSON.
    :param file: the file name to give in problems.
    :returns: the content and the problems; the content is empty if its keys or types
        are invalid.
    """
    try:
        content = Content.model_validate(plain)
    except ValidationError as error:
        return Content(), problems_of(error, file, Content)
    return content, check_content(content, file)
