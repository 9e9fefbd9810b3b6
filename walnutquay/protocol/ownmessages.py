# Licensed under the Apache License 2.0: see LICENSE for details.

"""The typed messages that entry VMs of our own interface exchange."""

from __future__ import annotations

from dataclasses import dataclass

from walnutquay.protocol.messages import Message
from walnutquay.state.fleet.membership import MemberUpdate
from walnutquay.state.own.claims import RunState, WholeAnswer
from walnutquay.state.own.outcomecounts import OutcomeCount


@dataclass(frozen=True, slots=True)
class Heartbeat(Message):
    """A VM lives; with news of others that it passes on.

    :param own: what the sender says of itself.
    :param rumours: what it has heard of others lately.
    :param digests: of whom it has heard, in short.
    """

    own: MemberUpdate
    rumours: tuple[MemberUpdate, ...] = ()
    digests: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class AskHead(Message):
    """Asks for the configuration head that the receiver has in force."""


@dataclass(frozen=True, slots=True)
class HeadIs(Message):
    """Answers with a head, as it is stored; empty where there is none."""

    data: bytes


@dataclass(frozen=True, slots=True)
class AskPart(Message):
    """Asks for a part of the configuration by its hash."""

    hash: str


@dataclass(frozen=True, slots=True)
class PartIs(Message):
    """Answers with a part's bytes; empty where the receiver lacks it."""

    data: bytes


@dataclass(frozen=True, slots=True)
class BillCopy(Message):
    """Asks a peer to keep copies of bill records until they are stored.

    :param incarnation: whose records they are.
    :param records: as :func:`walnutquay.state.own.bills.encode_records` wrote them.
    :param next_batch: all records below this number are stored.
    """

    incarnation: str
    records: bytes
    next_batch: int


@dataclass(frozen=True, slots=True)
class BillTaken(Message):
    """Answers that the copies and all records before them are kept or stored."""


@dataclass(frozen=True, slots=True)
class BillsMissing(Message):
    """Answers that records before the copies are missing, so the copy has failed.

    The sender is expected to copy all records from ``first`` on.

    :param first: the number of the first missing record.
    """

    first: int


@dataclass(frozen=True, slots=True)
class BillStored(Message):
    """Tells that records stand in the platform and copies may be dropped.

    :param incarnation: whose records.
    :param next_batch: all records below this number are stored.
    """

    incarnation: str
    next_batch: int


@dataclass(frozen=True, slots=True)
class AskRun(Message):
    """Asks the holder of a claim how its request stands.

    :param request: the request that holds the claim.
    """

    request: str


@dataclass(frozen=True, slots=True)
class RunIs(Message):
    """Answers how a claimed request stands.

    :param state: how far it has come; None where it is not known.
    :param answer: the finished answer, if there is one.
    """

    state: RunState | None
    answer: WholeAnswer | None = None


@dataclass(frozen=True, slots=True)
class AskPin(Message):
    """Asks the keeper of a bare session for its pin, or to keep this one.

    :param organisation: whose session.
    :param session: the session's id.
    :param token: the signed pin to keep if there is none; empty only asks.
    """

    organisation: str
    session: str
    token: str


@dataclass(frozen=True, slots=True)
class CopyPin(Message):
    """Asks for a second copy of a pin to be kept."""

    organisation: str
    session: str
    token: str


@dataclass(frozen=True, slots=True)
class PinIs(Message):
    """Answers with the signed pin that is kept; empty where there is none."""

    token: str


@dataclass(frozen=True, slots=True)
class EndpointLeaving(Message):
    """Tells that an endpoint is leaving.

    :param endpoint: its name.
    :param incarnation: which incarnation of it.
    """

    endpoint: str
    incarnation: str


@dataclass(frozen=True, slots=True)
class VersionBrake(Message):
    """Tells that a version fails, so that new sessions keep off it."""

    version: str


@dataclass(frozen=True, slots=True)
class TallyNews(Message):
    """Tells how counts of outcomes stand, the sender's own and others'.

    :param rows: the counts.
    """

    rows: tuple[OutcomeCount, ...]
