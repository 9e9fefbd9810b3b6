# Licensed under the Apache License 2.0: see LICENSE for details.

"""Objects of the platform's store, decoded into our types and encoded back."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from walnutquay.exceptions import MessageError
from walnutquay.state.catalogue import (
    CallerLimits,
    Catalogue,
    Destination,
    EngineModel,
    Route,
    RoutedService,
    RouteKind,
)
from walnutquay.state.ids import (
    EndpointName,
    HallName,
    ModelName,
    RouteName,
    ServiceName,
    VersionName,
)
from walnutquay.state.instances import Instance
from walnutquay.state.keys import key_hash
from walnutquay.state.orders import OrderState, RolloutOrder
from walnutquay.state.parts import Organisation

MILLISECONDS = 1000.0
# Where an object leaves a number out.
DEFAULT_TIMEOUT_MS = 30_000
DEFAULT_OBJECTIVE_MS = 1_000
DEFAULT_CONNECTIONS = 100

ORDER_STATES = {
    "active": OrderState.RUNNING,
    "complete": OrderState.DONE,
    "rolled_back": OrderState.WITHDRAWN,
}
# A field of our own in an order's status: when it was first seen.
STARTED_FIELD = "startedAt"
ORDER_WORDS = {state: word for word, state in ORDER_STATES.items()}

# A decoded JSON object, as the store holds it.
Plain = Mapping[str, Any]


def decode_catalogue(spec: Plain) -> Catalogue:
    """:param spec: the content of the configuration object.

    :raises MessageError: if it is not what the platform describes.
    """
    try:
        limits = spec.get("limits") or {}
        services = [_service(item) for item in spec.get("services") or ()]
        organisations = [_organisation(item) for item in spec.get("tenants") or ()]
        return Catalogue(
            version=int(spec["version"]),
            routes=tuple(_route(item) for item in spec.get("routes") or ()),
            services={service.name: service for service in services},
            organisations={item.name: item for item in organisations},
            limits=_limits(limits),
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise MessageError(
            f"the configuration cannot be read: {error!r}", step="decode"
        ) from error


def _route(item: Plain) -> Route:
    # A route names one service, or several with weights.
    shares = item.get("backends") or [{"service": item["service"], "weight": 1}]
    return Route(
        name=RouteName(item["name"]),
        host=item["host"].lower(),
        prefix=item["pathPrefix"],
        kind=RouteKind(item["kind"]),
        destinations=tuple(
            Destination(ServiceName(share["service"]), float(share["weight"]))
            for share in shares
        ),
        timeout_seconds=item.get("timeoutMs", DEFAULT_TIMEOUT_MS) / MILLISECONDS,
        objective_seconds=item.get("sloMs", DEFAULT_OBJECTIVE_MS) / MILLISECONDS,
        pause_seconds=(item.get("gapAimMs") or 0) / MILLISECONDS,
        priority=int(item.get("priority") or 0),
        attempts=int(item.get("attempts") or 1),
        public=bool(item.get("public")),
        # The platform calls a route sticky whose prompts share beginnings.
        cached=bool(item.get("sticky")),
        resumable=bool(item.get("resumable")),
        models=tuple(ModelName(name) for name in item.get("sizes") or ()),
    )


def _service(item: Plain) -> RoutedService:
    engine = item.get("engine") or {}
    return RoutedService(
        name=ServiceName(item["name"]),
        connections=int(item.get("maxConns") or DEFAULT_CONNECTIONS),
        engine=bool(engine),
        memory_tokens=int(engine.get("kvTokens") or 0),
        models=tuple(
            EngineModel(ModelName(model["name"]), float(model.get("cost") or 0.0))
            for model in engine.get("models") or ()
        ),
    )


def _organisation(item: Plain) -> Organisation:
    return Organisation(
        name=item["name"],
        keys=tuple(key_hash(key) for key in item.get("apiKeys") or ()),
        priority=item.get("priority"),
    )


def _limits(item: Plain) -> CallerLimits:
    usual = CallerLimits()
    return CallerLimits(
        header_bytes=int(item.get("maxHeaderBytes") or usual.header_bytes),
        body_bytes=int(item.get("maxBodyBytes") or usual.body_bytes),
        header_seconds=_seconds(item.get("headerTimeoutMs"), usual.header_seconds),
        idle_seconds=_seconds(item.get("idleTimeoutMs"), usual.idle_seconds),
    )


def _seconds(milliseconds: float | None, usual: float) -> float:
    return milliseconds / MILLISECONDS if milliseconds else usual


def decode_instance(name: str, spec: Plain) -> Instance:
    """:param name: the object's name.

    :param spec: its content.
    :raises MessageError: if it is not what the platform describes.
    """
    try:
        return Instance(
            name=EndpointName(name),
            service=ServiceName(spec["service"]),
            address=f"http://{spec['address']}",
            hall=HallName(spec.get("zone") or ""),
            version=VersionName(str(spec.get("version") or "")),
            slots=max(1, int(spec.get("slots") or 1)),
            leaving=spec.get("state") == "draining",
            cold_seconds=(spec.get("coldLeftMs") or 0) / MILLISECONDS,
            born=spec.get("born"),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise MessageError(
            f"the endpoint's entry cannot be read: {error!r}", step="decode", peer=name
        ) from error


def decode_order(name: str, revision: int, spec: Plain, status: Any) -> RolloutOrder:
    """:param name: the object's name.

    :param revision: the object's revision.
    :param spec: the operator's order.
    :param status: what entry VMs have written about it, if anything.
    :raises MessageError: if it is not what the platform describes.
    """
    try:
        version = str(spec["toVersion"])
        told = status if isinstance(status, Mapping) else {}
        # The status of an earlier order says nothing about this one.
        same = told.get("toVersion", version) == version
        word = told.get("state") if same else None
        started = told.get(STARTED_FIELD) if same else None
        return RolloutOrder(
            name=name,
            revision=revision,
            service=ServiceName(spec["service"]),
            version=VersionName(version),
            seconds=float(spec["durationS"]),
            state=ORDER_STATES.get(str(word), OrderState.NEW),
            started=None if started is None else float(started),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise MessageError(
            f"the roll-out order cannot be read: {error!r}", step="decode", peer=name
        ) from error


def encode_order_status(order: RolloutOrder, state: OrderState) -> dict[str, Any]:
    """:param order: the order.

    :param state: what to say of it.
    :returns: the status to write.
    """
    status = {"state": ORDER_WORDS[state], "toVersion": order.version}
    if order.started is not None:
        status[STARTED_FIELD] = order.started
    return status
