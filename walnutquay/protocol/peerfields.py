# Licensed under the Apache License 2.0: see LICENSE for details.

"""How each peer message is written: its member of the schema, and its fields."""

from __future__ import annotations

from functools import singledispatch
from typing import Any

from walnutquay.exceptions import MessageError
from walnutquay.protocol import messages as m
from walnutquay.protocol.linkmessages import AskReach, OpenTunnel, ReachIs
from walnutquay.protocol.placemessages import (
    AskPlace,
    BrittleNews,
    PlaceIs,
    PlacesUsed,
)
from walnutquay.state.process.revisions import StoreRevision
from walnutquay.state.requests.crashtypes import CrashTrace
from walnutquay.state.requests.promptparts import SEPARATOR
from walnutquay.state.trials.reports import AnswerCounts

# Stands for a time that is not known; times that are known are not negative.
UNKNOWN_TIME = -1.0
# Stands for an endpoint that is not limited, and for a start of unknown time.
NO_LIMIT = -1.0
UNKNOWN_BORN = -1


def flat_fields(row: Any) -> dict[str, Any]:
    """:param row: a message, or a row of one, whose values are plain.

    :returns: its fields.
    """
    return {name: getattr(row, name) for name in row.__dataclass_fields__}


@singledispatch
def body_fields(body: m.Message) -> dict[str, Any]:
    """Give the union member that a message is written as.

    :param body: the message.
    :returns: one entry: the member's name and its fields.
    """
    raise MessageError(f"no codec for {type(body).__name__}", step="encode")


@body_fields.register
def _(body: m.WorkNews) -> dict[str, Any]:
    return {"work": flat_fields(body)}


@body_fields.register
def _(body: m.OpinionNews) -> dict[str, Any]:
    return {
        "opinions": [
            {**flat_fields(row.pair), **flat_fields(row.counts)} for row in body.rows
        ]
    }


def _count_fields(counts: AnswerCounts) -> list[dict[str, Any]]:
    return [
        {
            "measure": measure.value,
            "route": route,
            "good": seen.good,
            "bad": seen.bad,
            "badEndpoints": sorted(seen.bad_endpoints),
        }
        for (measure, route), seen in counts
    ]


@body_fields.register
def _(body: m.TrialNews) -> dict[str, Any]:
    report = body.report
    elapsed = UNKNOWN_TIME if report.elapsed is None else report.elapsed
    fields = {
        "order": report.order,
        "version": report.version,
        "rows": _count_fields(report.counts),
        "oldRows": _count_fields(report.old),
        "kept": list(report.kept),
        "verdict": report.verdict.value,
        "elapsed": elapsed,
        "opensIn": report.opens_in,
        "hall": body.hall,
        "usual": [flat_fields(row) for row in report.usual],
        "seen": report.seen,
    }
    return {"trial": fields}


@body_fields.register
def _(body: m.SessionsSeen) -> dict[str, Any]:
    return {"sessionsSeen": [flat_fields(row) for row in body.rows]}


@body_fields.register
def _(body: m.SessionsTaken) -> dict[str, Any]:
    return {"sessionsTaken": None}


@body_fields.register
def _(body: m.AskTrial) -> dict[str, Any]:
    return {"askTrial": flat_fields(body)}


def _row_fields(row: m.VmRow) -> dict[str, Any]:
    address = row.place.address
    return {
        "vm": row.vm,
        "host": address.host,
        "port": address.port,
        "hall": row.place.hall,
    }


@body_fields.register
def _(body: m.AskVms) -> dict[str, Any]:
    return {"askVms": body.digest}


@body_fields.register
def _(body: m.VmsAre) -> dict[str, Any]:
    return {"vms": body.data}


@body_fields.register
def _(body: m.AskStart) -> dict[str, Any]:
    return {"askStart": None}


@body_fields.register
def _(body: m.StartIs) -> dict[str, Any]:
    return {
        "start": {"vms": body.vms, "lists": [flat_fields(row) for row in body.lists]}
    }


@body_fields.register
def _(body: m.VmNews) -> dict[str, Any]:
    return {
        "vmNews": {
            "row": _row_fields(body.row),
            "leaving": body.leaving,
            "incarnation": body.incarnation,
        }
    }


def _revision_fields(revision: StoreRevision) -> dict[str, int]:
    return {"revision": revision.number, "era": revision.era}


@body_fields.register
def _(body: m.AskKnown) -> dict[str, Any]:
    return {"askKnown": {"kind": body.kind, **_revision_fields(body.revision)}}


@body_fields.register
def _(body: m.AskChanges) -> dict[str, Any]:
    fields = {"kind": body.kind, "seconds": body.seconds}
    return {"askChanges": {**fields, **_revision_fields(body.revision)}}


@body_fields.register
def _(body: m.ChangesAre) -> dict[str, Any]:
    return {"changes": flat_fields(body)}


@body_fields.register
def _(body: m.KnownIs) -> dict[str, Any]:
    return {"known": body.data}


def _trace_fields(trace: CrashTrace) -> dict[str, Any]:
    return {
        "fingerprint": bytes.fromhex(trace.fingerprint),
        "service": trace.target.service,
        "version": trace.target.version,
        "endpoint": trace.endpoint,
        "age": trace.age,
        "ran": UNKNOWN_TIME if trace.ran is None else trace.ran,
        "answered": trace.answered,
        "held": trace.held,
        "parts": SEPARATOR.join(trace.parts),
    }


@body_fields.register
def _(body: m.CrashNews) -> dict[str, Any]:
    return {"crashes": [_trace_fields(trace) for trace in body.traces]}


@body_fields.register
def _(body: m.CrashDigest) -> dict[str, Any]:
    return {"crashDigest": body.digest}


@body_fields.register
def _(body: m.AskCrashes) -> dict[str, Any]:
    return {"askCrashes": None}


@body_fields.register
def _(body: m.ArrivalsNews) -> dict[str, Any]:
    arrivals = body.arrivals
    fields = {
        "perSecond": arrivals.per_second,
        "wait": arrivals.wait,
        "asks": body.asks,
    }
    return {"arrivals": fields}


@body_fields.register
def _(body: m.Failure) -> dict[str, Any]:
    return {"failure": body.reason}


def _rate_limit_fields(row: m.RateLimitRow) -> dict[str, Any]:
    return {
        "endpoint": row.endpoint,
        "born": UNKNOWN_BORN if row.born is None else row.born,
        "perSecond": NO_LIMIT if row.per_second is None else row.per_second,
        "age": row.age,
    }


@body_fields.register
def _(body: m.RateLimitNews) -> dict[str, Any]:
    rows = [_rate_limit_fields(row) for row in body.rows]
    return {"rateLimits": {"rows": rows, "forAll": body.for_all}}


@body_fields.register
def _(body: m.AskRateLimits) -> dict[str, Any]:
    return {"askRateLimits": None}


@body_fields.register
def _(body: m.DrainingNews) -> dict[str, Any]:
    rows = [
        {
            "endpoint": row.endpoint,
            "born": UNKNOWN_BORN if row.born is None else row.born,
            "age": row.age,
        }
        for row in body.rows
    ]
    return {"draining": {"rows": rows, "forAll": body.for_all}}


@body_fields.register
def _(body: m.AskDraining) -> dict[str, Any]:
    return {"askDraining": None}


@body_fields.register
def _(body: m.AskPermit) -> dict[str, Any]:
    return {"askPermit": {**flat_fields(body), "limit": _rate_limit_fields(body.limit)}}


@body_fields.register
def _(body: m.PermitIs) -> dict[str, Any]:
    return {"permit": {**flat_fields(body), "limit": _rate_limit_fields(body.limit)}}


def _start_fields(body: AskReach | OpenTunnel) -> dict[str, Any]:
    born = UNKNOWN_BORN if body.born is None else body.born
    return {**flat_fields(body), "born": born}


@body_fields.register
def _(body: AskReach) -> dict[str, Any]:
    return {"askReach": _start_fields(body)}


@body_fields.register
def _(body: OpenTunnel) -> dict[str, Any]:
    return {"openTunnel": _start_fields(body)}


@body_fields.register
def _(body: ReachIs) -> dict[str, Any]:
    return {"reach": {**flat_fields(body), "reach": body.reach.value}}


@body_fields.register
def _(body: AskPlace) -> dict[str, Any]:
    fields = {
        "endpoint": body.endpoint,
        "born": UNKNOWN_BORN if body.born is None else body.born,
        "requests": body.wanted,
        "running": body.running,
        "number": body.number,
    }
    return {"askPlace": fields}


@body_fields.register
def _(body: PlaceIs) -> dict[str, Any]:
    return {"place": flat_fields(body)}


@body_fields.register
def _(body: PlacesUsed) -> dict[str, Any]:
    return {"placesUsed": {**flat_fields(body), "born": UNKNOWN_BORN}}


@body_fields.register
def _(body: BrittleNews) -> dict[str, Any]:
    born = UNKNOWN_BORN if body.born is None else body.born
    return {"brittle": {**flat_fields(body), "born": born}}
