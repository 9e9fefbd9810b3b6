# Licensed under the Apache License 2.0: see LICENSE for details.

"""The daemon's settings: every option, its default and its origin."""

from __future__ import annotations

import os
import tomllib
from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Any, Generic, TypeVar

from pydantic import ValidationError

from walnutquay.exceptions import SettingsError
from walnutquay.sections import (
    AdministrationSection,
    CallersSection,
    FleetSection,
    ListenerSection,
    LogSection,
    MemorySection,
    OverloadSection,
    PeerLinkSection,
    PeersSection,
    PlatformSection,
    PromisesSection,
    RaterSection,
    Section,
    StopSection,
    StoreSection,
    VmSection,
)
from walnutquay.state.process.problems import problems_of

# `WALNUTQUAY_PLATFORM__URL` sets `url` in `[platform]`.
ENV_PREFIX = "WALNUTQUAY_"
ENV_SEPARATOR = "__"


class Options(Section):
    """All sections."""

    vm: VmSection
    callers: CallersSection = CallersSection()
    administration: AdministrationSection
    peers: PeersSection = PeersSection()
    fleet: FleetSection
    platform: PlatformSection
    rater: RaterSection = RaterSection()
    stop: StopSection = StopSection()
    log: LogSection = LogSection()
    memory: MemorySection = MemorySection()


class GatewayOptions(Section):
    """All sections of the daemon that serves the platform's callers."""

    vm: VmSection
    callers: ListenerSection
    ready: ListenerSection
    metrics: ListenerSection
    peers: PeerLinkSection
    store: StoreSection
    promises: PromisesSection = PromisesSection()
    overload: OverloadSection = OverloadSection()
    log: LogSection = LogSection()
    memory: MemorySection = MemorySection()


AnyOptions = TypeVar("AnyOptions", bound=Section)


class Settings(Generic[AnyOptions]):
    """The settings of one daemon.

    Use :meth:`load`; then ``settings.options.callers.port`` and the like, and
    :meth:`origin` to learn where a value came from.
    """

    def __init__(self, options: AnyOptions, origins: dict[str, str]) -> None:
        self.options = options
        # Where each value that is no default came from, by dotted key.
        self.origins = origins

    @classmethod
    def load(
        cls,
        path: Path,
        environment: Mapping[str, str] | None = None,
        model: type[AnyOptions] = Options,
    ) -> Settings[AnyOptions]:
        """Read a file and the environment over it.

        :param path: a TOML file.
        :param environment: variables; those of this process if None.
        :param model: the sections that the daemon has.
        :raises SettingsError: naming file, key and reason.
        """
        plain = _read_toml(path)
        origins = {key: str(path) for key in _leaves(plain)}
        variables = os.environ if environment is None else environment
        for name, key, value in _from_environment(variables):
            _put(plain, key, value)
            origins[key] = f"${name}"
        try:
            options = model.model_validate(plain)
        except ValidationError as error:
            problems = problems_of(error, str(path), model)
            raise SettingsError("\n".join(map(str, problems))) from error
        return cls(options, origins)

    def origin(self, key: str) -> str:
        """:param key: a dotted key, such as ``callers.port``.

        :returns: the file or variable that set it, or ``default``.
        """
        return self.origins.get(key, "default")

    def rows(self) -> Iterator[tuple[str, str, str]]:
        """Yield key, value and origin of every option; secrets are hidden."""
        plain = self.options.model_dump(mode="json")
        for key, value in _leaves(plain).items():
            yield key, str(value), self.origin(key)


def host_and_port(address: str) -> tuple[str, int]:
    """:param address: an address, as `IP:port`.

    :returns: its two parts.
    """
    host, _, port = address.partition(":")
    return host, int(port)


def _read_toml(path: Path) -> dict[str, Any]:
    try:
        return tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise SettingsError(f"{path}: cannot be read: {error.strerror}") from error
    except tomllib.TOMLDecodeError as error:
        raise SettingsError(f"{path}: is not TOML: {error}") from error


def _leaves(plain: Mapping[str, Any], prefix: str = "") -> dict[str, Any]:
    found: dict[str, Any] = {}
    for name, value in plain.items():
        key = f"{prefix}{name}"
        if isinstance(value, Mapping):
            found.update(_leaves(value, f"{key}."))
        else:
            found[key] = value
    return found


def _from_environment(
    environment: Mapping[str, str],
) -> Iterator[tuple[str, str, object]]:
    for name, text in sorted(environment.items()):
        if not name.startswith(ENV_PREFIX) or ENV_SEPARATOR not in name:
            continue
        key = name[len(ENV_PREFIX) :].lower().replace(ENV_SEPARATOR, ".")
        value: object = text.split(",") if key == "fleet.keys" else text
        yield name, key, value


def _put(plain: dict[str, Any], key: str, value: object) -> None:
    *sections, last = key.split(".")
    for section in sections:
        plain = plain.setdefault(section, {})
    plain[last] = value
