# Licensed under the Apache License 2.0: see LICENSE for details.

"""The codec of peer messages: Cap'n Proto, sealed with the fleet's key."""

from __future__ import annotations

import hmac
import math
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

import capnp

from walnutquay.exceptions import MessageError
from walnutquay.protocol import messages as m
from walnutquay.protocol import ownmessages as own
from walnutquay.protocol.peerfields import body_fields
from walnutquay.state.fleet.membership import Address, MemberNews, VmPlace
from walnutquay.state.own.claims import RunState, WholeAnswer
from walnutquay.state.own.tallies import TallyRow
from walnutquay.state.process.clock import Stamp
from walnutquay.state.process.ids import (
    EndpointName,
    Fingerprint,
    HallName,
    Incarnation,
    ModelName,
    RouteName,
    ServiceName,
    VersionName,
    VmName,
)
from walnutquay.state.requests.ends import CrashTarget, CrashTrace
from walnutquay.state.routed.gains import GainCounts, GainRow, ModelPair
from walnutquay.state.trials.counts import Measure, TrialCounts
from walnutquay.state.trials.notes import SeenSession
from walnutquay.state.trials.reports import AnswerCounts, TrialReport, Verdict
from walnutquay.state.trials.usual import UsualTime

schema = capnp.load(str(Path(__file__).with_name("peer.capnp")))

SEAL_DIGEST = "sha256"
SEAL_BYTES = 16
# The reader refuses messages that would unpack to more than this.
MAX_WORDS = 1 << 20


def _news(reader: Any) -> MemberNews:
    return MemberNews(
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
    )


def _row(reader: Any) -> m.VmRow:
    place = VmPlace(Address(reader.host, reader.port), HallName(reader.hall))
    return m.VmRow(VmName(reader.vm), place)


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
            TallyRow(row.vm, row.incarnation, row.subject, row.good, row.bad)
            for row in reader
        )
    )


def _opinions(reader: Any) -> m.OpinionNews:
    return m.OpinionNews(
        tuple(
            GainRow(
                ModelPair(ModelName(row.smaller), ModelName(row.larger)),
                GainCounts(row.count, row.total, row.squares),
            )
            for row in reader
        )
    )


def _counts(rows: Any) -> AnswerCounts:
    return tuple(
        (
            (Measure(row.measure), RouteName(row.route)),
            TrialCounts(
                row.good, row.bad, frozenset(map(EndpointName, row.badEndpoints))
            ),
        )
        for row in rows
    )


def _trial(reader: Any) -> m.TrialNews:
    report = TrialReport(
        reader.order,
        VersionName(reader.version),
        _counts(reader.rows),
        tuple(reader.kept),
        Verdict(reader.verdict),
        reader.elapsed if reader.elapsed >= 0.0 else None,
        reader.opensIn,
        tuple(UsualTime(row.kind, row.seconds, row.seen) for row in reader.usual),
        reader.seen,
        _counts(reader.oldRows),
    )
    return m.TrialNews(report, HallName(reader.hall))


def _sessions(reader: Any) -> m.SessionsSeen:
    return m.SessionsSeen(
        tuple(
            SeenSession(
                ServiceName(row.service), row.session, VersionName(row.version), row.age
            )
            for row in reader
        )
    )


def _trace(reader: Any) -> CrashTrace:
    return CrashTrace(
        Fingerprint(bytes(reader.fingerprint).hex()),
        CrashTarget(ServiceName(reader.service), VersionName(reader.version)),
        EndpointName(reader.endpoint),
        reader.age,
        reader.ran if reader.ran >= 0.0 else None,
        reader.answered,
        # A VM that does not tell it yet leaves it at nothing.
        reader.held or math.inf,
    )


READERS: dict[str, Callable[[Any], m.Message]] = {
    "heartbeat": _heartbeat,
    "askHead": lambda r: own.AskHead(),
    "head": lambda r: own.HeadIs(bytes(r)),
    "askPart": lambda r: own.AskPart(str(r)),
    "part": lambda r: own.PartIs(bytes(r)),
    "billCopy": lambda r: own.BillCopy(r.incarnation, bytes(r.records), r.nextBatch),
    "billTaken": lambda r: own.BillTaken(),
    "billStored": lambda r: own.BillStored(r.incarnation, r.nextBatch),
    "askRun": lambda r: own.AskRun(str(r)),
    "run": _run,
    "askPin": lambda r: own.AskPin(r.organisation, r.session, r.token),
    "copyPin": lambda r: own.CopyPin(r.organisation, r.session, r.token),
    "pin": lambda r: own.PinIs(str(r)),
    "endpointLeaving": lambda r: own.EndpointLeaving(r.endpoint, r.incarnation),
    "versionBrake": lambda r: own.VersionBrake(str(r)),
    "tallies": _tallies,
    "work": lambda r: m.WorkNews(r.endpoint, r.seconds, r.beginning, r.model, r.rate),
    "opinions": _opinions,
    "trial": _trial,
    "sessionsSeen": _sessions,
    "sessionsTaken": lambda r: m.SessionsTaken(),
    "askTrial": lambda r: m.AskTrial(r.order, r.version),
    "askVms": lambda r: m.AskVms(int(r)),
    "vms": lambda r: m.VmsAre(bytes(r)),
    "askStart": lambda r: m.AskStart(),
    "start": lambda r: m.StartIs(
        bytes(r.vms), tuple(m.KnownList(row.kind, bytes(row.data)) for row in r.lists)
    ),
    "vmNews": lambda r: m.VmNews(_row(r.row), r.leaving, r.incarnation),
    "askKnown": lambda r: m.AskKnown(r.kind, r.revision),
    "known": lambda r: m.KnownIs(bytes(r)),
    "askChanges": lambda r: m.AskChanges(r.kind, r.revision, r.seconds),
    "changes": lambda r: m.ChangesAre(
        bytes(r.data), r.direct, r.failing, r.whole, r.returned
    ),
    "crashes": lambda r: m.CrashNews(tuple(_trace(row) for row in r)),
    "crashDigest": lambda r: m.CrashDigest(int(r)),
    "askCrashes": lambda r: m.AskCrashes(),
    "failure": lambda r: m.Failure(str(r)),
}


def _fill(builder: Any, fields: Mapping[str, Any]) -> None:
    """Set the fields of a message one by one.

    The library takes six times as long to write them from a mapping.
    """
    for name, value in fields.items():
        if isinstance(value, dict):
            _fill(builder.init(name), value)
        elif isinstance(value, list) and value and isinstance(value[0], dict):
            rows = builder.init(name, len(value))
            for row, plain in zip(rows, value, strict=True):
                _fill(row, plain)
        else:
            setattr(builder, name, value)


class PeerCodec:
    """Writes and reads sealed envelopes.

    The seal is a keyed hash before the message: a stranger's packet, or one
    that was changed on its way, is refused before it is parsed.

    :param keys: the fleet's keys, oldest first; the last one seals, all open.
    """

    def __init__(self, keys: list[bytes]) -> None:
        self.keys = keys

    def _seal(self, key: bytes, data: bytes) -> bytes:
        return hmac.digest(key, data, SEAL_DIGEST)[:SEAL_BYTES]

    def encode(self, envelope: m.Envelope) -> bytes:
        """:param envelope: what to send.

        :returns: the sealed bytes.
        """
        message = schema.Envelope.new_message()
        message.vm = envelope.vm
        message.incarnation = envelope.incarnation
        message.physical = envelope.stamp.physical
        message.logical = envelope.stamp.logical
        message.call = envelope.call
        _fill(message.body, body_fields(envelope.body))
        data = message.to_bytes()
        return self._seal(self.keys[-1], data) + data

    def decode(self, sealed: bytes) -> m.Envelope:
        """Read a sealed envelope.

        :param sealed: what :meth:`encode` wrote.
        :raises MessageError: if the seal is not the fleet's, or the message is
            not one.
        """
        seal, data = sealed[:SEAL_BYTES], sealed[SEAL_BYTES:]
        if not any(hmac.compare_digest(seal, self._seal(k, data)) for k in self.keys):
            raise MessageError("the seal is not this fleet's", step="decode")
        try:
            with schema.Envelope.from_bytes(
                data, traversal_limit_in_words=MAX_WORDS
            ) as reader:
                which = str(reader.body.which())
                body = READERS[which](getattr(reader.body, which))
                stamp = Stamp(reader.physical, reader.logical)
                return m.Envelope(
                    reader.vm, reader.incarnation, stamp, body, reader.call
                )
        except (capnp.KjException, KeyError, ValueError) as error:
            raise MessageError(f"not a message: {error}", step="decode") from error
