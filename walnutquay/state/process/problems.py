# Licensed under the Apache License 2.0: see LICENSE for details.

"""What is wrong in a file that was checked against a model."""

from __future__ import annotations

import difflib
from dataclasses import dataclass
from typing import Any

from pydantic import BaseModel, ValidationError


@dataclass(frozen=True)
class Problem:
    """One thing that is wrong in a file.

    :param file: the file's name, or where the text came from.
    :param key: the dotted path of the key.
    :param reason: what is wrong with it.
    """

    file: str
    key: str
    reason: str

    def __str__(self) -> str:
        return f"{self.file}: {self.key}: {self.reason}"


def _model_at(model: type[BaseModel], path: tuple[Any, ...]) -> type[BaseModel] | None:
    """Find the model that a validation error's path leads to."""
    current: Any = model
    for step in path:
        if isinstance(step, int):
            continue
        field = getattr(current, "model_fields", {}).get(step)
        if field is None:
            return None
        current = _inner_model(field.annotation)
        if current is None:
            return None
    return current


def _inner_model(annotation: Any) -> type[BaseModel] | None:
    """Take the model out of ``tuple[Model, ...]`` and the like."""
    if isinstance(annotation, type) and issubclass(annotation, BaseModel):
        return annotation
    for inner in getattr(annotation, "__args__", ()):
        found = _inner_model(inner)
        if found is not None:
            return found
    return None


def _dotted(path: tuple[Any, ...]) -> str:
    text = ""
    for step in path:
        text += f"[{step}]" if isinstance(step, int) else f".{step}"
    return text.lstrip(".") or "(whole file)"


def problems_of(
    error: ValidationError, file: str, model: type[BaseModel]
) -> list[Problem]:
    """Say a validation error in terms of the file.

    :param error: what the library found.
    :param file: the file that was checked.
    :param model: the model it was checked against; an unknown key is answered
        with the nearest name that the model has.
    """
    found = []
    for detail in error.errors():
        path = detail["loc"]
        reason = detail["msg"]
        if detail["type"] == "extra_forbidden":
            reason = "unknown key"
            holder = _model_at(model, path[:-1])
            names = list(holder.model_fields) if holder else []
            near = difflib.get_close_matches(str(path[-1]), names, n=1, cutoff=0.4)
            if near:
                reason += f"; did you mean {near[0]!r}?"
        found.append(Problem(file, _dotted(path), reason))
    return found
