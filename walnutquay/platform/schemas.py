# Licensed under the Apache License 2.0: see LICENSE for details.

"""What objects of the platform's store look like, each field by type and range.

Anybody may write an object.  Fields that are not named here are passed over, for more
may come; what is named must be as described, or the object is not used at all.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum
from ipaddress import AddressValueError, IPv4Address
from typing import Annotated, Any, TypeVar

from pydantic import (
    AfterValidator,
    BaseModel,
    BeforeValidator,
    ConfigDict,
    Field,
    StringConstraints,
    ValidationError,
    model_validator,
)
from pydantic.alias_generators import to_camel

from walnutquay.exceptions import MessageError
from walnutquay.state.store.catalogue import RouteKind

# The longest names and the largest numbers that anything can have to do with.
MAX_NAME = 500
MAX_COUNT = 1 << 31
MAX_MILLISECONDS = 1 << 53
MAX_PORT = 65_535
MAX_PORT_DIGITS = 5
# Problems of one object that are told.
PROBLEMS_TOLD = 3

Text = Annotated[str, StringConstraints(max_length=MAX_NAME)]
Name = Annotated[str, StringConstraints(min_length=1, max_length=MAX_NAME)]


def _as_host(value: str) -> str:
    """Check that a text is an IP number."""
    try:
        return str(IPv4Address(value))
    except AddressValueError as error:
        raise ValueError("it is no IP number") from error


def _as_address(value: str) -> str:
    """Check that a text is an IP number and a port."""
    host, _, port = value.partition(":")
    is_port = port.isascii() and port.isdigit() and len(port) <= MAX_PORT_DIGITS
    if not is_port or not 0 < int(port) <= MAX_PORT:
        raise ValueError("it names no port")
    return f"{_as_host(host)}:{int(port)}"


Host = Annotated[str, AfterValidator(_as_host)]
Address = Annotated[str, AfterValidator(_as_address)]
Count = Annotated[int, Field(ge=0, le=MAX_COUNT)]
Slots = Annotated[int, Field(ge=1, le=MAX_COUNT)]
UnixMs = Annotated[int, Field(ge=0, le=MAX_MILLISECONDS)]
Number = Annotated[float, Field(ge=0.0, le=MAX_MILLISECONDS, allow_inf_nan=False)]
Positive = Annotated[float, Field(gt=0.0, le=MAX_MILLISECONDS, allow_inf_nan=False)]


def _as_text(value: object) -> object:
    """Take a whole number for its digits: versions are written both ways."""
    is_whole = isinstance(value, int) and not isinstance(value, bool)
    return str(value) if is_whole else value


Version = Annotated[Name, BeforeValidator(_as_text)]


class Spec(BaseModel):
    """The base of all: nothing is converted, and fields we do not know are left.

    The platform writes names as ``coldLeftMs``.
    """

    model_config = ConfigDict(
        strict=True, frozen=True, extra="ignore", alias_generator=to_camel
    )


class EndpointState(Enum):
    """What an endpoint says of itself."""

    READY = "ready"
    LEAVING = "draining"


def _as_state(value: object) -> object:
    states = {state.value: state for state in EndpointState}
    return states.get(value, value) if isinstance(value, str) else value


class EndpointSpec(Spec):
    """An endpoint's entry."""

    service: Name
    address: Address
    zone: Name
    version: Version
    slots: Slots
    state: Annotated[EndpointState, BeforeValidator(_as_state)]
    cold_left_ms: Number
    seq: Count
    born: UnixMs | None = None


class ShareSpec(Spec):
    """A service's share of a route."""

    service: Name
    weight: Number


def _as_kind(value: object) -> object:
    kinds = {kind.value: kind for kind in RouteKind}
    return kinds.get(value, value) if isinstance(value, str) else value


class RouteSpec(Spec):
    """A route; it names one service, or several with their shares."""

    name: Name
    host: Name
    path_prefix: Annotated[str, StringConstraints(pattern="^/", max_length=MAX_NAME)]
    kind: Annotated[RouteKind, BeforeValidator(_as_kind)]
    service: Name | None = None
    backends: list[ShareSpec] | None = None
    timeout_ms: Positive = 30_000
    slo_ms: Positive = 1_000
    gap_aim_ms: Number | None = None
    priority: Count | None = None
    attempts: Count | None = None
    public: bool | None = None
    sticky: bool | None = None
    resumable: bool | None = None
    sizes: list[Name] | None = None
    allowed_regions: list[Name] | None = None

    @model_validator(mode="after")
    def _has_a_destination(self) -> RouteSpec:
        shares = sum(share.weight for share in self.backends or ())
        if self.service is None and not shares > 0:
            raise ValueError("it names no service")
        return self


class ModelSpec(Spec):
    """A model that engines run."""

    name: Name
    cost: Number | None = None


class EngineSpec(Spec):
    """What the engines of a service have."""

    kv_tokens: Count | None = None
    models: list[ModelSpec] | None = None


class ServiceSpec(Spec):
    """A service that routes name."""

    name: Name
    max_conns: Count | None = None
    cold_start_s: Number | None = None
    cold_per_s: Number | None = None
    engine: EngineSpec | None = None


class OrganisationSpec(Spec):
    """An organisation and its keys."""

    name: Name
    api_keys: list[Text] | None = None
    priority: Count | None = None
    allowed_regions: list[Name] | None = None


class LimitsSpec(Spec):
    """What callers may send, and for how long they may rest."""

    max_header_bytes: Count | None = None
    max_body_bytes: Count | None = None
    header_timeout_ms: Number | None = None
    idle_timeout_ms: Number | None = None


class CatalogueSpec(Spec):
    """The configuration."""

    version: Annotated[int, Field(ge=0, le=MAX_MILLISECONDS)]
    routes: list[RouteSpec] | None = None
    services: list[ServiceSpec] | None = None
    tenants: list[OrganisationSpec] | None = None
    limits: LimitsSpec | None = None


class OrderSpec(Spec):
    """An operator's order to bring a version in."""

    service: Name
    to_version: Version
    duration_s: Positive


class VmSpec(Spec):
    """An entry VM's own entry."""

    host: Host
    port: Annotated[int, Field(ge=1, le=MAX_PORT)]
    hall: Name


Checked = TypeVar("Checked", bound=Spec)


def read_spec(model: type[Checked], spec: Any, name: str) -> Checked:
    """Read an object's content.

    :param model: what it must look like.
    :param spec: the content, of any type.
    :param name: the object's name, for errors.
    :raises MessageError: if it does not look so; the reason names the fields.
    """
    try:
        return model.model_validate(spec)
    except ValidationError as error:
        reasons = "; ".join(_reasons(error))
        raise MessageError(reasons, step="decode", peer=name) from error
    except RecursionError as error:
        raise MessageError("it is too deep", step="decode", peer=name) from error


def _reasons(error: ValidationError) -> Iterable[str]:
    for problem in error.errors(include_url=False)[:PROBLEMS_TOLD]:
        where = ".".join(map(str, problem["loc"])) or "content"
        yield f"{where}: {problem['msg']}"
