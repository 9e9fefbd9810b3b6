# Licensed under the Apache License 2.0: see LICENSE for details.

"""The sections of the daemons' settings, with every option and its default."""

from __future__ import annotations

from enum import Enum
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, SecretStr, StringConstraints

from walnutquay.state.routed.overloadscope import Coverage
from walnutquay.state.store.parts import KeyHash, Name, Share

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
    unsent_bytes: Count = 32 << 20
    """Bytes of answers on the operators' routes that callers have not read yet; answers
    beyond them are passed on as they come."""
    body_bytes: Count = 24 << 20
    """Bytes of the bodies of requests on the operators' routes; what finds no room is
    refused at once, and has not run."""
    head_bytes: Count = 8 << 20
    """Bytes of the heads of requests that have not come to their end, over all
    connections; beyond them, those that have sent more than others are refused."""
    pins: Count = 50_000
    """Pins of sessions whose callers send no token."""


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


class OverloadSection(Section):
    """What happens where callers ask for more than the endpoints bear."""

    services: Coverage | None = None
    """For which services VMs share out scarce slots, refuse at once what cannot be
    served, and move requests that are held in vain: `never`, `paced` (those whose
    endpoints tell how long work takes there) or `always` (all whose endpoints tell
    their load). Without a value the platform's rules decide."""
    rules: tuple[str, ...] = ()
    """The platform's names of the rules in force."""
