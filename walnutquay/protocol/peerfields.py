# Licensed under the Apache License 2.0: see LICENSE for details.

"""How each peer message is written: its member of the schema, and its fields."""

from __future__ import annotations

from functools import singledispatch
from typing import Any

from walnutquay.exceptions import MessageError
from walnutquay.protocol import messages as m
from walnutquay.protocol import ownmessages as own
from walnutquay.state.fleet.membership import MemberNews
from walnutquay.state.requests.ends import CrashTrace
from walnutquay.state.trials.reports import AnswerCounts

# Stands for a time that is not known; times that are known are not negative.
UNKNOWN_TIME = -1.0


def _flat(row: Any) -> dict[str, Any]:
    """Give the fields of a message, or of a row of one, whose values are plain."""
    return {name: getattr(row, name) for name in row.__dataclass_fields__}


def _news_fields(news: MemberNews) -> dict[str, Any]:
    return {
        "vm": news.vm,
        "incarnation": news.incarnation,
        "hall": news.hall,
        "counter": news.counter,
        "revision": news.revision,
        "leaving": news.leaving,
        "host": news.address.host,
        "port": news.address.port,
        "administration": news.administration,
        "confirmedAge": news.confirmed_age,
        "region": news.region,
    }


@singledispatch
def body_fields(body: m.Message) -> dict[str, Any]:
    """Give the union member that a message is written as.

    :param body: the message.
    :returns: one entry: the member's name and its fields.
    """
    raise MessageError(f"no codec for {type(body).__name__}", step="encode")


@body_fields.register
def _(body: own.Heartbeat) -> dict[str, Any]:
    rumours = [_news_fields(news) for news in body.rumours]
    fields = {
        "own": _news_fields(body.own),
        "rumours": rumours,
        "digests": list(body.digests),
    }
    return {"heartbeat": fields}


@body_fields.register
def _(body: own.AskHead) -> dict[str, Any]:
    return {"askHead": None}


@body_fields.register
def _(body: own.HeadIs) -> dict[str, Any]:
    return {"head": body.data}


@body_fields.register
def _(body: own.AskPart) -> dict[str, Any]:
    return {"askPart": body.hash}


@body_fields.register
def _(body: own.PartIs) -> dict[str, Any]:
    return {"part": body.data}


@body_fields.register
def _(body: own.BillCopy) -> dict[str, Any]:
    fields = {
        "incarnation": body.incarnation,
        "records": body.records,
        "nextBatch": body.next_batch,
    }
    return {"billCopy": fields}


@body_fields.register
def _(body: own.BillTaken) -> dict[str, Any]:
    return {"billTaken": None}


@body_fields.register
def _(body: own.BillStored) -> dict[str, Any]:
    fields = {"incarnation": body.incarnation, "nextBatch": body.next_batch}
    return {"billStored": fields}


@body_fields.register
def _(body: own.AskRun) -> dict[str, Any]:
    return {"askRun": body.request}


@body_fields.register
def _(body: own.RunIs) -> dict[str, Any]:
    if body.state is None:
        return {"run": {"known": False}}
    fields: dict[str, Any] = {"known": True, "state": body.state.value}
    if body.answer is not None:
        fields["status"] = body.answer.status
        fields["contentType"] = body.answer.content_type
        fields["body"] = body.answer.body
        fields["headers"] = [
            {"name": name, "value": value} for name, value in body.answer.headers
        ]
    return {"run": fields}


def _pin_fields(body: own.AskPin | own.CopyPin) -> dict[str, str]:
    return {
        "organisation": body.organisation,
        "session": body.session,
        "token": body.token,
    }


@body_fields.register
def _(body: own.AskPin) -> dict[str, Any]:
    return {"askPin": _pin_fields(body)}


@body_fields.register
def _(body: own.CopyPin) -> dict[str, Any]:
    return {"copyPin": _pin_fields(body)}


@body_fields.register
def _(body: own.PinIs) -> dict[str, Any]:
    return {"pin": body.token}


@body_fields.register
def _(body: own.EndpointLeaving) -> dict[str, Any]:
    fields = {"endpoint": body.endpoint, "incarnation": body.incarnation}
    return {"endpointLeaving": fields}


@body_fields.register
def _(body: own.VersionBrake) -> dict[str, Any]:
    return {"versionBrake": body.version}


@body_fields.register
def _(body: own.TallyNews) -> dict[str, Any]:
    return {"tallies": [_flat(row) for row in body.rows]}


@body_fields.register
def _(body: m.WorkNews) -> dict[str, Any]:
    return {"work": _flat(body)}


@body_fields.register
def _(body: m.OpinionNews) -> dict[str, Any]:
    return {"opinions": [{**_flat(row.pair), **_flat(row.counts)} for row in body.rows]}


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
        "usual": [_flat(row) for row in report.usual],
        "seen": report.seen,
    }
    return {"trial": fields}


@body_fields.register
def _(body: m.SessionsSeen) -> dict[str, Any]:
    return {"sessionsSeen": [_flat(row) for row in body.rows]}


@body_fields.register
def _(body: m.SessionsTaken) -> dict[str, Any]:
    return {"sessionsTaken": None}


@body_fields.register
def _(body: m.AskTrial) -> dict[str, Any]:
    return {"askTrial": _flat(body)}


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
    return {"start": {"vms": body.vms, "lists": [_flat(row) for row in body.lists]}}


@body_fields.register
def _(body: m.VmNews) -> dict[str, Any]:
    return {
        "vmNews": {
            "row": _row_fields(body.row),
            "leaving": body.leaving,
            "incarnation": body.incarnation,
        }
    }


@body_fields.register
def _(body: m.AskKnown) -> dict[str, Any]:
    return {"askKnown": _flat(body)}


@body_fields.register
def _(body: m.AskChanges) -> dict[str, Any]:
    return {"askChanges": _flat(body)}


@body_fields.register
def _(body: m.ChangesAre) -> dict[str, Any]:
    return {"changes": _flat(body)}


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
def _(body: m.Failure) -> dict[str, Any]:
    return {"failure": body.reason}
