# Licensed under the Apache License 2.0: see LICENSE for details.

"""How the messages on scarce slots are written and read."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from typing import Any

from walnutquay.protocol.messages import Message
from walnutquay.protocol.peerfields import UNKNOWN_TIME, body_fields, flat_fields
from walnutquay.protocol.slotmessages import (
    AskSlot,
    HeldSlot,
    SlotIs,
    SlotLoad,
    SlotNews,
    SlotReleased,
    SlotsScarce,
    SlotState,
)
from walnutquay.state.process.ids import (
    EndpointName,
    OrganisationName,
    RouteName,
    ServiceName,
)
from walnutquay.state.routed.slottypes import SlotNumber, WorkHash

# Stands for a pace that an endpoint did not tell; a pace is above 0.
NO_PACE = -1.0


def _load_fields(load: SlotLoad) -> dict[str, Any]:
    return {**flat_fields(load), "pace": NO_PACE if load.pace is None else load.pace}


def _answer_fields(answer: SlotIs) -> dict[str, Any]:
    wait = answer.retry_after
    return {
        "state": answer.state.value,
        "endpoint": answer.endpoint or "",
        "retryAfter": UNKNOWN_TIME if wait is None else wait,
        "reason": answer.reason,
        "start": answer.start,
    }


@body_fields.register
def _(body: AskSlot) -> dict[str, Any]:
    fields = {
        "service": body.service,
        "number": body.number,
        "route": body.route,
        "organisation": body.organisation,
        "weight": body.weight,
        "priority": body.priority,
        "work": body.work,
        "inTime": body.in_time,
        "timeLeft": body.time_left,
        "tried": list(body.tried),
        "waited": body.waited,
        "loads": [_load_fields(load) for load in body.loads],
        "held": [
            {
                "number": held.number,
                "endpoint": held.endpoint,
                "timeLeft": held.time_left,
            }
            for held in body.held
        ],
    }
    return {"askSlot": fields}


@body_fields.register
def _(body: SlotIs) -> dict[str, Any]:
    return {"slot": _answer_fields(body)}


@body_fields.register
def _(body: SlotNews) -> dict[str, Any]:
    answer = _answer_fields(body.answer)
    return {
        "slotNews": {"service": body.service, "number": body.number, "answer": answer}
    }


@body_fields.register
def _(body: SlotReleased) -> dict[str, Any]:
    fields = {
        "service": body.service,
        "number": body.number,
        "endpoint": body.endpoint or "",
        "seconds": body.seconds,
        "rejected": body.rejected,
        "loads": [] if body.load is None else [_load_fields(body.load)],
    }
    return {"slotReleased": fields}


@body_fields.register
def _(body: SlotsScarce) -> dict[str, Any]:
    return {"slotsScarce": flat_fields(body)}


def _finite(value: float) -> float:
    if not math.isfinite(value):
        raise ValueError("a number is out of range")
    return value


def _seconds(value: float) -> float:
    if _finite(value) < 0.0:
        raise ValueError("a time is out of range")
    return value


def _endpoint(text: str) -> EndpointName | None:
    return EndpointName(text) if text else None


def _load(reader: Any) -> SlotLoad:
    return SlotLoad(
        EndpointName(reader.endpoint),
        reader.running,
        reader.waiting,
        reader.pace if _finite(reader.pace) > 0.0 else None,
        _seconds(reader.age),
    )


def _held(reader: Any) -> HeldSlot:
    return HeldSlot(
        SlotNumber(reader.number),
        EndpointName(reader.endpoint),
        _seconds(reader.timeLeft),
    )


def _answer(reader: Any) -> SlotIs:
    wait = _finite(reader.retryAfter)
    return SlotIs(
        SlotState(reader.state),
        _endpoint(reader.endpoint),
        wait if wait >= 0.0 else None,
        reader.reason,
        reader.start,
    )


def _ask(reader: Any) -> AskSlot:
    if _finite(reader.weight) <= 0.0:
        raise ValueError("a weight is out of range")
    return AskSlot(
        ServiceName(reader.service),
        SlotNumber(reader.number),
        RouteName(reader.route),
        OrganisationName(reader.organisation),
        reader.weight,
        reader.priority,
        WorkHash(reader.work),
        _finite(reader.inTime),
        _finite(reader.timeLeft),
        tuple(map(EndpointName, reader.tried)),
        _seconds(reader.waited),
        tuple(map(_load, reader.loads)),
        tuple(map(_held, reader.held)),
    )


def _released(reader: Any) -> SlotReleased:
    return SlotReleased(
        ServiceName(reader.service),
        SlotNumber(reader.number),
        _endpoint(reader.endpoint),
        _seconds(reader.seconds),
        reader.rejected,
        next(map(_load, reader.loads), None),
    )


SLOT_READERS: Mapping[str, Callable[[Any], Message]] = {
    "askSlot": _ask,
    "slot": _answer,
    "slotNews": lambda r: SlotNews(
        ServiceName(r.service), SlotNumber(r.number), _answer(r.answer)
    ),
    "slotReleased": _released,
    "slotsScarce": lambda r: SlotsScarce(ServiceName(r.service), _seconds(r.seconds)),
}
