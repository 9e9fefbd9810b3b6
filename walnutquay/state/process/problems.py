# Licensed under the Apache License 2.0: see LICENSE for details.

"""Problems found when a file is validated against a model."""

from __future__ import annotations

import difflib
from dataclasses import dataclass
from typing import Any

from pydantic import BaseModel, ValidationError


@dataclass(frozen=True)
class Problem:
    """A problem in a file.

    :param file: the name of the file, or the source of the text.
    :param key: the dotted path of the key.
    :param reason: why the value of the key is not valid.
    """

    file: str
    key: str
    reason: str

    def __str__(self) -> str:
        return f"{self.file}: {self.key}: {self.reason}"


def _model_at(model: type[BaseModel], path: tuple[Any, ...]) -> type[BaseModel] | None:
    """Return the model at the path of a validation error, or None."""
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
    """Return the model in an annotation such as ``tuple[Model, ...]``, or None."""
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
    """Convert a validation error to a list of problems in the file.

    :param error: the validation error.
    :param file: the name of the file.
    :param model: the model that the file was validated against; for an unknown key,
        the problem suggests the most similar field name of the model.
    :returns: the problems.
    """
    problems = []
    for detail in error.errors():
        path = detail["loc"]
        reason = detail["msg"]
        if detail["type"] == "extra_forbidden":
            reason = "unknown key"
            parent = _model_at(model, path[:-1])
            names = list(parent.model_fields) if parent else []
            similar = difflib.get_close_matches(str(path[-1]), names, n=1, cutoff=0.4)
            if similar:
                reason += f"; did you mean {similar[0]!r}?"
        problems.append(Problem(file, _dotted(path), reason))
    return problems
