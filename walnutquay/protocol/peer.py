# Licensed under the Apache License 2.0: see LICENSE for details.

"""The codec of peer messages: Cap'n Proto, sealed with the fleet's key."""

from __future__ import annotations

import hmac
import math
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any, ClassVar

import capnp

from walnutquay.exceptions import MessageError
from walnutquay.protocol import messages as m
from walnutquay.protocol.linkmessages import AskReach, OpenTunnel, ReachIs
from walnutquay.protocol.peerfields import body_fields
from walnutquay.protocol.placemessages import (
    AskPlace,
    BrittleNews,
    PlaceIs,
    PlacesUsed,
)
from walnutquay.protocol.slotpeer import SLOT_READERS
from walnutquay.state.fleet.connectiongate import VmArrivals
from walnutquay.state.fleet.membership import Address, VmLocation
from walnutquay.state.process.clock import Stamp
from walnutquay.state.process.ids import (
    EndpointName,
    Fingerprint,
    HallName,
    ModelName,
    RouteName,
    ServiceName,
    VersionName,
    VmName,
)
from walnutquay.state.process.revisions import Era, StoreRevision
from walnutquay.state.requests.crashtypes import CrashTarget, CrashTrace
from walnutquay.state.requests.promptparts import SEPARATOR, part_names
from walnutquay.state.routed.gains import GainCounts, GainRow, ModelPair
from walnutquay.state.routed.links import Reach
from walnutquay.state.trials.baseline import BaselineTime
from walnutquay.state.trials.counts import Measure, TrialCounts
from walnutquay.state.trials.reports import AnswerCounts, TrialReport, Verdict
from walnutquay.state.trials.sessionrecords import SeenSession

schema = capnp.load(str(Path(__file__).with_name("peer.capnp")))

SEAL_DIGEST = "sha256"
SEAL_BYTES = 16
# The reader refuses messages that would unpack to more than this.
MAX_WORDS = 1 << 20


def _row(reader: Any) -> m.VmRow:
    place = VmLocation(Address(reader.host, reader.port), HallName(reader.hall))
    return m.VmRow(VmName(reader.vm), place)


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
        tuple(BaselineTime(row.kind, row.seconds, row.seen) for row in reader.usual),
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
        part_names(reader.parts.split(SEPARATOR)),
    )


def _born(reader: Any) -> int | None:
    return reader.born if reader.born >= 0 else None


def _revision(reader: Any) -> StoreRevision:
    """Read a revision of the store; VMs that do not know of eras name none."""
    return StoreRevision(Era(reader.era), reader.revision)


def _seconds(value: float) -> float:
    if not (math.isfinite(value) and value >= 0.0):
        raise ValueError("a time is out of range")
    return value


def _rate_limit(reader: Any) -> m.RateLimitRow:
    if not math.isfinite(reader.perSecond):
        raise ValueError("a rate limit is out of range")
    return m.RateLimitRow(
        EndpointName(reader.endpoint),
        _born(reader),
        reader.perSecond if reader.perSecond >= 0.0 else None,
        _seconds(reader.age),
    )


def _draining(reader: Any) -> m.DrainingRow:
    return m.DrainingRow(
        EndpointName(reader.endpoint),
        _born(reader),
        _seconds(reader.age),
    )


Readers = Mapping[str, Callable[[Any], m.Message]]

READERS: Readers = {
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
    "askKnown": lambda r: m.AskKnown(r.kind, _revision(r)),
    "known": lambda r: m.KnownIs(bytes(r)),
    "askChanges": lambda r: m.AskChanges(r.kind, _revision(r), r.seconds),
    "changes": lambda r: m.ChangesAre(
        bytes(r.data), r.direct, r.failing, r.whole, r.returned
    ),
    "crashes": lambda r: m.CrashNews(tuple(_trace(row) for row in r)),
    "arrivals": lambda r: m.ArrivalsNews(
        VmArrivals(_seconds(r.perSecond), _seconds(r.wait)), r.asks
    ),
    "crashDigest": lambda r: m.CrashDigest(int(r)),
    "askCrashes": lambda r: m.AskCrashes(),
    "rateLimits": lambda r: m.RateLimitNews(
        tuple(_rate_limit(row) for row in r.rows), r.forAll
    ),
    "askRateLimits": lambda r: m.AskRateLimits(),
    "draining": lambda r: m.DrainingNews(
        tuple(_draining(row) for row in r.rows), r.forAll
    ),
    "askDraining": lambda r: m.AskDraining(),
    "askPermit": lambda r: m.AskPermit(
        _rate_limit(r.limit), r.priority, _seconds(r.patience)
    ),
    "permit": lambda r: m.PermitIs(
        _rate_limit(r.limit), r.granted, r.issuer, _seconds(r.wait)
    ),
    "askReach": lambda r: AskReach(EndpointName(r.endpoint), _born(r)),
    "openTunnel": lambda r: OpenTunnel(
        EndpointName(r.endpoint), _born(r), r.request, r.framed
    ),
    "reach": lambda r: ReachIs(Reach(r.reach), r.tunnels, r.framed),
    "askPlace": lambda r: AskPlace(
        EndpointName(r.endpoint), _born(r), r.requests, r.running, r.number
    ),
    "place": lambda r: PlaceIs(r.granted, r.issuer, _seconds(r.wait)),
    "placesUsed": lambda r: PlacesUsed(
        EndpointName(r.endpoint), r.requests, r.running, r.number
    ),
    "brittle": lambda r: BrittleNews(
        EndpointName(r.endpoint), _born(r), r.borne, r.rejected
    ),
    "failure": lambda r: m.Failure(str(r)),
    **SLOT_READERS,
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

    # Reads each member of the schema's union.
    readers: ClassVar[Readers] = READERS

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
                body = self.readers[which](getattr(reader.body, which))
                stamp = Stamp(reader.physical, reader.logical)
                return m.Envelope(
                    reader.vm, reader.incarnation, stamp, body, reader.call
                )
        except (capnp.KjException, KeyError, ValueError) as error:
            raise MessageError(f"not a message: {error}", step="decode") from error
