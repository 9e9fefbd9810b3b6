# Licensed under the Apache License 2.0: see LICENSE for details.

"""Writes docs/reference.md from the typed models: ``python -m lab.pages.reference``."""

from __future__ import annotations

import ast
import inspect
import itertools
import textwrap
from collections.abc import Iterator
from enum import Enum
from pathlib import Path
from typing import Any

from pydantic import BaseModel
from pydantic_core import PydanticUndefined

from walnutquay.sections import Section
from walnutquay.settings import GatewayOptions, Options
from walnutquay.state.own.configuration import PART_MODELS

PAGE = Path(__file__).parents[2] / "docs" / "reference.md"
HEAD = """# Reference

Made from the typed models by `python -m lab.pages.reference`; a test checks that it is
so.

"""


def _default(value: Any) -> str:
    if value is PydanticUndefined:
        return "needed"
    if isinstance(value, Enum):
        value = value.value
    if isinstance(value, tuple):
        value = list(value)
    return f"`{value!r}`" if value not in (None, "", []) else "none"


def _meanings(model: type[BaseModel]) -> dict[str, str]:
    """Give the docstrings of a model's attributes, those that it inherits too.

    Read from the source: daemons that had them collected would start later.
    """
    found: dict[str, str] = {}
    for base in reversed(model.__mro__):
        if issubclass(base, BaseModel) and base is not BaseModel:
            source = textwrap.dedent(inspect.getsource(base))
            found.update(_attribute_docstrings(ast.parse(source).body[0]))
    return found


def _attribute_docstrings(definition: ast.stmt) -> Iterator[tuple[str, str]]:
    """Yield each attribute of a class definition that a docstring follows."""
    assert isinstance(definition, ast.ClassDef)
    for statement, following in itertools.pairwise(definition.body):
        if not isinstance(statement, ast.AnnAssign):
            continue
        assert isinstance(statement.target, ast.Name)
        match following:
            case ast.Expr(value=ast.Constant(value=str(text))):
                yield statement.target.id, text


def _table(model: type[BaseModel]) -> str:
    lines = ["| key | default | meaning |", "| --- | --- | --- |"]
    meanings = _meanings(model)
    for name, field in model.model_fields.items():
        meaning = " ".join(meanings.get(name, "").split())
        lines.append(f"| `{name}` | {_default(field.default)} | {meaning} |")
    return "\n".join(lines) + "\n"


def _sections(options: type[Section], known: tuple[str, ...]) -> Iterator[str]:
    """Yield the tables of sections, without those told of already."""
    for name, field in options.model_fields.items():
        section = field.annotation
        assert isinstance(section, type)
        if name in known and section is Options.model_fields[name].annotation:
            continue
        yield f"### `[{name}]`\n\n{section.__doc__}\n\n{_table(section)}"


def page() -> str:
    """:returns: the page."""
    pieces = [HEAD, "## Settings of `walnutquay entry`\n", *_sections(Options, ())]
    pieces.append("## Settings of `walnutquay gateway`, where they are others\n")
    pieces.extend(_sections(GatewayOptions, tuple(Options.model_fields)))
    pieces.append("## Configuration of the fleet\n")
    for name, model in PART_MODELS.items():
        pieces.append(f"### `[[{name}]]`\n\n{model.__doc__}\n\n{_table(model)}")
    return "\n".join(pieces)


if __name__ == "__main__":
    PAGE.write_text(page(), encoding="utf-8")
