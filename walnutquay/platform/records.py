# Licensed under the Apache License 2.0: see LICENSE for details.

"""Objects of the platform's store, decoded into our types and encoded back."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from walnutquay.exceptions import MessageError
from walnutquay.platform.names import CONFIGURATION_NAME
from walnutquay.platform.schemas import (
    MAX_NAME,
    CatalogueSpec,
    EndpointSpec,
    EndpointState,
    EngineSpec,
    LimitsSpec,
    OrderSpec,
    OrganisationSpec,
    RouteSpec,
    ServiceSpec,
    VmSpec,
    read_spec,
)
from walnutquay.state.fleet.membership import Address, VmLocation
from walnutquay.state.process.ids import (
    EndpointName,
    HallName,
    ModelName,
    RegionName,
    RouteName,
    ServiceName,
    VersionName,
)
from walnutquay.state.process.keys import key_hash
from walnutquay.state.process.revisions import StoreRevision
from walnutquay.state.store.catalogue import (
    CallerLimits,
    Catalogue,
    Destination,
    EngineModel,
    Route,
    RoutedService,
)
from walnutquay.state.store.halls import EmptiedHall
from walnutquay.state.store.instances import Instance
from walnutquay.state.store.orders import OrderState, RolloutOrder
from walnutquay.state.store.parts import Organisation

MILLISECONDS = 1000.0
# Where an object leaves the number out.
DEFAULT_CONNECTIONS = 100
# Times of day that are later are none: some 30,000 years from now.
MAX_SECONDS = 1e12

ORDER_STATES = {
    "active": OrderState.RUNNING,
    "complete": OrderState.DONE,
    "rolled_back": OrderState.WITHDRAWN,
}
# A field of our own in an order's status: when it was first seen.
STARTED_FIELD = "startedAt"
ORDER_WORDS = {state: word for word, state in ORDER_STATES.items()}


def decode_catalogue(spec: Any) -> Catalogue:
    """:param spec: the content of the configuration object.

    :raises MessageError: if it is not what the platform describes.
    """
    read = read_spec(CatalogueSpec, spec, CONFIGURATION_NAME)
    organisations = [_organisation(item) for item in read.tenants or ()]
    return Catalogue(
        version=read.version,
        routes=tuple(_route(item) for item in read.routes or ()),
        services={
            ServiceName(item.name): _service(item) for item in read.services or ()
        },
        organisations={item.name: item for item in organisations},
        limits=_limits(read.limits or LimitsSpec()),
        needs_keys=read.tenants is not None,
    )


def _route(item: RouteSpec) -> Route:
    # A route names one service, or several with weights.
    shares = [(share.service, share.weight) for share in item.backends or ()]
    return Route(
        name=RouteName(item.name),
        host=item.host.lower(),
        prefix=item.path_prefix,
        kind=item.kind,
        destinations=tuple(
            Destination(ServiceName(service), weight)
            for service, weight in shares or [(item.service or "", 1.0)]
        ),
        timeout_seconds=item.timeout_ms / MILLISECONDS,
        objective_seconds=item.slo_ms / MILLISECONDS,
        pause_seconds=(item.gap_aim_ms or 0) / MILLISECONDS,
        priority=item.priority or 0,
        attempts=item.attempts or 1,
        public=bool(item.public),
        # The platform calls a route sticky whose prompts share beginnings.
        cached=bool(item.sticky),
        resumable=bool(item.resumable),
        models=tuple(ModelName(name) for name in item.sizes or ()),
        regions=tuple(RegionName(name) for name in item.allowed_regions or ()),
    )


def _service(item: ServiceSpec) -> RoutedService:
    engine = item.engine or EngineSpec()
    return RoutedService(
        name=ServiceName(item.name),
        connections=item.max_conns or DEFAULT_CONNECTIONS,
        engine=item.engine is not None,
        cold_seconds=item.cold_start_s or 0.0,
        cold_per_second=item.cold_per_s or 0.0,
        memory_tokens=engine.kv_tokens or 0,
        models=tuple(
            EngineModel(ModelName(model.name), model.cost or 0.0)
            for model in engine.models or ()
        ),
    )


def _organisation(item: OrganisationSpec) -> Organisation:
    # Not checked again: the names that our own interface allows do not bind the
    # platform's, and one other name would hold back the whole configuration.
    return Organisation.model_construct(
        name=item.name,
        keys=tuple(key_hash(key) for key in item.api_keys or ()),
        priority=item.priority,
        regions=tuple(item.allowed_regions or ()),
    )


def _limits(item: LimitsSpec) -> CallerLimits:
    usual = CallerLimits()
    return CallerLimits(
        header_bytes=item.max_header_bytes or usual.header_bytes,
        body_bytes=item.max_body_bytes or usual.body_bytes,
        header_seconds=_seconds(item.header_timeout_ms, usual.header_seconds),
        idle_seconds=_seconds(item.idle_timeout_ms, usual.idle_seconds),
    )


def _seconds(milliseconds: float | None, usual: float) -> float:
    return milliseconds / MILLISECONDS if milliseconds else usual


def decode_instance(name: str, spec: Any) -> Instance:
    """:param name: the object's name.

    :param spec: its content.
    :raises MessageError: if it is not what the platform describes.
    """
    if not _fits_header(name):
        raise MessageError("its name fits into no header", step="decode", peer=name)
    read = read_spec(EndpointSpec, spec, name)
    return Instance(
        name=EndpointName(name),
        service=ServiceName(read.service),
        address=f"http://{read.address}",
        hall=HallName(read.zone),
        version=VersionName(read.version),
        slots=read.slots,
        leaving=read.state is EndpointState.LEAVING,
        cold_seconds=read.cold_left_ms / MILLISECONDS,
        born=read.born,
    )


def _fits_header(name: str) -> bool:
    """Return whether requests can name an endpoint as it is called."""
    is_written = name.isprintable() and name == name.strip()
    return is_written and 0 < len(name) <= MAX_NAME


def decode_emptied(name: str, revision: StoreRevision) -> EmptiedHall:
    """:param name: the object's name, which is the data hall's; it has no content.

    :param revision: the object's revision.
    """
    return EmptiedHall(HallName(name), revision)


def decode_order(
    name: str, revision: StoreRevision, spec: Any, status: Any
) -> RolloutOrder:
    """:param name: the object's name.

    :param revision: the object's revision.
    :param spec: the operator's order.
    :param status: what entry VMs have written about it, if anything; what cannot be
        read of it says nothing.
    :raises MessageError: if the order is not what the platform describes.
    """
    read = read_spec(OrderSpec, spec, name)
    told = status if isinstance(status, Mapping) else {}
    # The status of an earlier order says nothing about this one.
    same = told.get("toVersion", read.to_version) == read.to_version
    word = told.get("state") if same else None
    started = told.get(STARTED_FIELD) if same else None
    return RolloutOrder(
        name=name,
        revision=revision,
        service=ServiceName(read.service),
        version=VersionName(read.to_version),
        seconds=read.duration_s,
        state=ORDER_STATES.get(str(word), OrderState.NEW),
        started=_time(started),
    )


def _time(value: Any) -> float | None:
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number or not 0 <= value < MAX_SECONDS:
        return None
    return float(value)


def decode_vm(name: str, spec: Any) -> VmLocation:
    """:param name: the object's name.

    :param spec: its content.
    :raises MessageError: if it is not what entry VMs write.
    """
    read = read_spec(VmSpec, spec, name)
    return VmLocation(Address(read.host, read.port), HallName(read.hall))


def encode_order_status(order: RolloutOrder, state: OrderState) -> dict[str, Any]:
    """:param order: the order.

    :param state: what to say of it.
    :returns: the status to write.
    """
    status = {"state": ORDER_WORDS[state], "toVersion": order.version}
    if order.started is not None:
        status[STARTED_FIELD] = order.started
    return status
