# Licensed under the Apache License 2.0: see LICENSE for details.

"""Configuration files in TOML."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any

from walnutquay.exceptions import ConfigurationError

SOURCE_FILE = "source_file"


def read_configuration(path: Path) -> dict[str, Any]:
    """Read a configuration file.

    A policy may name its program by ``source_file``, a path beside the file.

    :param path: the file.
    :raises ConfigurationError: if it cannot be read.
    """
    try:
        plain = tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise ConfigurationError(f"{path}: cannot be read: {error.strerror}") from error
    except tomllib.TOMLDecodeError as error:
        raise ConfigurationError(f"{path}: is not TOML: {error}") from error
    policies = plain.get("policies", [])
    for index, policy in enumerate(policies if isinstance(policies, list) else []):
        if isinstance(policy, dict) and SOURCE_FILE in policy:
            policy["source"] = _program(path, index, policy.pop(SOURCE_FILE))
    return plain


def _program(path: Path, index: int, name: object) -> str:
    key = f"policies[{index}].{SOURCE_FILE}"
    if not isinstance(name, str):
        raise ConfigurationError(f"{path}: {key}: must be a path")
    try:
        return (path.parent / name).read_text(encoding="utf-8")
    except OSError as error:
        raise ConfigurationError(
            f"{path}: {key}: {name} cannot be read: {error.strerror}"
        ) from error
