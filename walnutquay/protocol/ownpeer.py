# Licensed under the Apache License 2.0: see LICENSE for details.

"""The codec of the messages that only VMs with our own interface send.

The VMs that serve the users' platform start without it.
"""

from __future__ import annotations

import math
from typing import Any, ClassVar

from walnutquay.protocol import ownmessages as own
from walnutquay.protocol.peer import PeerCodec, Readers
from walnutquay.protocol.peerfields import body_fields, flat_fields
from walnutquay.state.fleet.membership import Address, MemberUpdate
from walnutquay.state.own.claims import RunState, WholeAnswer
from walnutquay.state.own.outcomecounts import OutcomeCount
from walnutquay.state.process.ids import HallName, Incarnation, VmName
from walnutquay.state.process.revisions import Era

# How each message is written: its member of the schema, and its fields.


def _news_fields(news: MemberUpdate) -> dict[str, Any]:
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
        "era": news.era,
        "restoredAge": news.restored_age,
    }


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
def _(body: own.BillsMissing) -> dict[str, Any]:
    return {"billsMissing": body.first}


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
    return {"tallies": [flat_fields(row) for row in body.rows]}


# How each message is read.


def _news(reader: Any) -> MemberUpdate:
    return MemberUpdate(
        vm=VmName(reader.vm),
        incarnation=Incarnation(reader.incarnation),
        hall=HallName(reader.hall),
        counter=reader.counter,
        revision=reader.revision,
        leaving=reader.leaving,
        address=Address(reader.host, reader.port),
        administration=reader.administration,
        confirmed_age=reader.confirmedAge,
        region=reader.region,
        era=Era(reader.era),
        restored_age=reader.restoredAge if reader.era else math.inf,
    )


def _heartbeat(reader: Any) -> own.Heartbeat:
    rumours = tuple(_news(rumour) for rumour in reader.rumours)
    return own.Heartbeat(_news(reader.own), rumours, tuple(reader.digests))


def _run(reader: Any) -> own.RunIs:
    if not reader.known:
        return own.RunIs(None)
    state = RunState(reader.state)
    if state is not RunState.ANSWERED:
        return own.RunIs(state)
    headers = tuple((header.name, header.value) for header in reader.headers)
    answer = WholeAnswer(reader.status, reader.contentType, bytes(reader.body), headers)
    return own.RunIs(state, answer)


def _tallies(reader: Any) -> own.TallyNews:
    return own.TallyNews(
        tuple(
            OutcomeCount(row.vm, row.incarnation, row.subject, row.good, row.bad)
            for row in reader
        )
    )


OWN_READERS: Readers = {
    "heartbeat": _heartbeat,
    "askHead": lambda r: own.AskHead(),
    "head": lambda r: own.HeadIs(bytes(r)),
    "askPart": lambda r: own.AskPart(str(r)),
    "part": lambda r: own.PartIs(bytes(r)),
    "billCopy": lambda r: own.BillCopy(r.incarnation, bytes(r.records), r.nextBatch),
    "billTaken": lambda r: own.BillTaken(),
    "billsMissing": lambda r: own.BillsMissing(int(r)),
    "billStored": lambda r: own.BillStored(r.incarnation, r.nextBatch),
    "askRun": lambda r: own.AskRun(str(r)),
    "run": _run,
    "askPin": lambda r: own.AskPin(r.organisation, r.session, r.token),
    "copyPin": lambda r: own.CopyPin(r.organisation, r.session, r.token),
    "pin": lambda r: own.PinIs(str(r)),
    "endpointLeaving": lambda r: own.EndpointLeaving(r.endpoint, r.incarnation),
    "versionBrake": lambda r: own.VersionBrake(str(r)),
    "tallies": _tallies,
}


class OwnPeerCodec(PeerCodec):
    """Writes and reads sealed envelopes of all messages."""

    readers: ClassVar[Readers] = {**PeerCodec.readers, **OWN_READERS}
