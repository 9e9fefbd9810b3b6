# Licensed under the Apache License 2.0: see LICENSE for details.

"""The daemon's settings: every option, its default and its origin."""

from __future__ import annotations

import os
import tomllib
from collections.abc import Iterator, Mapping
from enum import Enum
from pathlib import Path
from typing import Annotated, Any, Generic, TypeVar

from pydantic import (
    BaseModel,
    ConfigDict,
    Field,
    SecretStr,
    StringConstraints,
    ValidationError,
)

from walnutquay.exceptions import SettingsError
from walnutquay.state.process.problems import problems_of
from walnutquay.state.store.parts import KeyHash, Name, Share

# `WALNUTQUAY_PLATFORM__URL` sets `url` in `[platform]`.
ENV_PREFIX = "WALNUTQUAY_"
ENV_SEPARATOR = "__"
SHORTEST_KEY = 16

ListenAddress = Annotated[
    str, StringConstraints(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")
]
Port = Annotated[int, Field(ge=0, le=65535)]
Positive = Annotated[float, Field(gt=0.0)]
NotNegative = Annotated[float, Field(ge=0.0)]
Count = Annotated[int, Field(ge=1)]
FleetKey = Annotated[SecretStr, Field(min_length=SHORTEST_KEY)]


class Section(BaseModel):
    """The base of the sections: unknown keys are errors."""

    model_config = ConfigDict(extra="forbid", frozen=True, defer_build=True)


class VmSection(Section):
    """Which VM this is."""

    name: Name
    """The VM's name; one of its own in the whole fleet."""
    hall: Name
    """The data hall that it stands in."""
    region: Name = "default"
    """The region of the data hall: copies of bills stay within it where they can, for
    regions may lose each other."""
    regions: dict[Name, Name] = {}
    """The region of each data hall, where the platform's callers are served; a request
    that may run in some regions only runs in no hall that is missing here."""


class CallersSection(Section):
    """The port for callers."""

    host: str = "127.0.0.1"
    """IP number to listen at."""
    port: Port = 8080
    """Port; 0 takes a free one."""
    body_limit: Count = 4 << 20
    """Bytes that a body may have."""
    header_limit: Count = 16 << 10
    """Bytes that all headers may have."""
    request_seconds: Positive = 30.0
    """Seconds in which a whole request must have come."""
    answer_seconds: Positive = 120.0
    """Seconds that one answer may take where the caller names no deadline."""
    idle_seconds: Positive = 30.0
    """Seconds that an endpoint may be silent in the middle of an answer."""


class AdministrationSection(Section):
    """The port for operators."""

    host: str = "127.0.0.1"
    """IP number to listen at."""
    port: Port = 8081
    """Port; 0 takes a free one."""
    token_hash: KeyHash
    """Hash of the operators' token: `sha256:` and 64 hex digits."""


class PeersSection(Section):
    """The port for other entry VMs."""

    host: str = "127.0.0.1"
    """IP number to listen at, and to tell others."""
    port: Port = 8082
    """Port for both TCP and UDP; 0 takes a free one."""
    heartbeat_seconds: Positive = 1.0
    """Seconds between heartbeats."""


class FleetSection(Section):
    """What all entry VMs share."""

    keys: Annotated[tuple[FleetKey, ...], Field(min_length=1)]
    """Secret keys, oldest first: the last one signs, all are accepted."""
    token_days: Positive = 30.0
    """Days for which a session token is good after its last turn."""
    claim_hours: Positive = 24.0
    """Hours for which an idempotency key is remembered."""


class PlatformSection(Section):
    """The platform's store and list of VMs."""

    url: str
    """`http://IP:port` of the store."""
    vm_list_url: str
    """`http://IP:port/vms` of the list of VMs."""
    calls_per_second: Positive = 40.0
    """Calls that this VM may make a second, watches among them."""
    timeout_seconds: Positive = 2.0
    """Seconds to wait for an answer."""
    list_seconds: Positive = 2.0
    """Seconds between two looks at the list of VMs."""
    lease_seconds: Positive = 6.0
    """Seconds for which a lease on a duty runs from each renewal."""
    anti_entropy_seconds: Positive = 30.0
    """Seconds between two reads of the head by a VM that does not watch it."""


class RaterSection(Section):
    """The service that rates answers."""

    url: str = ""
    """`http://IP:port/rate`; empty rates nothing."""
    timeout_seconds: Positive = 2.0
    """Seconds to wait for a rating; without one an answer is taken as good."""
    sample: Share = 0.1
    """Share of the answers that cannot wait which are rated afterwards."""


class StopSection(Section):
    """A planned stop."""

    balancer_seconds: NotNegative = 3.0
    """Seconds for which to go on accepting after saying "not ready"."""
    finish_seconds: Positive = 600.0
    """Seconds that running requests are given to finish."""


class LogFormat(Enum):
    """How log lines look."""

    JSON = "json"
    TEXT = "text"


class LogLevel(Enum):
    """The least grave message that is logged."""

    DEBUG = "DEBUG"
    INFO = "INFO"
    WARNING = "WARNING"
    ERROR = "ERROR"


class LogSection(Section):
    """Logs, which go to standard error."""

    format: LogFormat = LogFormat.TEXT
    """`json` for programs, `text` for people."""
    level: LogLevel = LogLevel.INFO
    """`DEBUG`, `INFO`, `WARNING` or `ERROR`."""
    events: bool = False
    """Whether the events of the time line are logged too."""


class MemorySection(Section):
    """What a VM keeps in memory."""

    events: Count = 20_000
    """Events of the time line."""
    answer_bytes: Count = 32 << 20
    """Bytes of finished answers, for callers who repeat a key."""
    pins: Count = 50_000
    """Pins of sessions whose callers send no token."""


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


class ListenerSection(Section):
    """A place to listen at."""

    address: ListenAddress
    """IP number and port, as `IP:port`."""


class StoreSection(Section):
    """The platform's metadata store."""

    address: ListenAddress
    """IP number and port, as `IP:port`."""


class PeerLinkSection(Section):
    """What entry VMs tell each other."""

    address: ListenAddress
    """IP number and port to listen at, as `IP:port`."""
    seeds: str = ""
    """Addresses of some entry VMs, with commas between; their ports do not matter,
    for all VMs listen for peers at the same port."""
    fleet: str = ""
    """What keeps the packets of other fleets out; the same on all VMs of one. Empty
    takes the store's address, which must be written alike on all of them then."""
    first_start: bool = False
    """Whether the whole fleet starts for the first time: no VM knows anything yet."""


class PromisesSection(Section):
    """The limits that the platform's operators set for all its routers."""

    config_seconds: Positive = 2.0
    """How long after its acknowledgement a configuration may not be in force yet."""
    drain_seconds: Positive = 2.0
    """How long a leaving endpoint may still be sent requests."""
    empty_seconds: Positive = 5.0
    """How long the endpoints of an emptied data hall may still be sent requests."""
    cold_over: Annotated[float, Field(ge=1.0)] = 1.5
    """So many times what a cold endpoint bears may reach it in any second."""
    cold_extra: NotNegative = 5.0
    """Requests that may reach it in that second besides."""
    balancer_seconds: NotNegative = 2.6
    """From SIGTERM until no new connections are taken: the platform asks each second
    whether a VM is ready and takes it out after two misses."""
    stop_seconds: Positive = 8.0
    """From SIGTERM until the process is killed."""
    retry_share: NotNegative = 0.9
    """Repeated requests for each first one, over all VMs."""
    retry_seconds: Positive = 10.0
    """The span in which repeated requests are counted."""
    retry_extra: NotNegative = 50.0
    """Repeated requests that are allowed in that span besides."""
    trial_share: Share = 0.15
    """The share of a service's requests that a bad version may get."""
    trial_extra: NotNegative = 30.0
    """Requests that it may get besides."""
    withdraw_seconds: Positive = 5.0
    """From the fiftieth bad answer of a version until it gets no more requests."""
    session_seconds: Positive = 5.0
    """Requests of one session come within this time of each other."""


class GatewayOptions(Section):
    """All sections of the daemon that serves the platform's callers."""

    vm: VmSection
    callers: ListenerSection
    ready: ListenerSection
    metrics: ListenerSection
    peers: PeerLinkSection
    store: StoreSection
    promises: PromisesSection = PromisesSection()
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
