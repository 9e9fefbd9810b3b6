# Licensed under the Apache License 2.0: see LICENSE for details.

"""The typed messages that entry VMs exchange."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from walnutquay.state.fleet.connectiongate import VmArrivals
from walnutquay.state.fleet.membership import VmLocation
from walnutquay.state.process.clock import Stamp
from walnutquay.state.process.ids import EndpointName, HallName, VmName
from walnutquay.state.process.revisions import StoreRevision
from walnutquay.state.requests.crashtypes import CrashTrace
from walnutquay.state.routed.gains import GainRow
from walnutquay.state.trials.reports import TrialReport
from walnutquay.state.trials.sessionrecords import SeenSession


class Message:
    """The base of all messages."""


@dataclass(frozen=True, slots=True)
class WorkNews(Message):
    """Tells that an engine was sent a prompt.

    :param endpoint: the engine.
    :param seconds: how long it will take to read it.
    :param beginning: what it has cached from then on; empty for nothing.
    :param model: the model that reads it.
    :param rate: seconds in which that model reads a token, as the sender has learnt;
        0 where it does not know.
    """

    endpoint: str
    seconds: float
    beginning: str
    model: str = ""
    rate: float = 0.0


@dataclass(frozen=True, slots=True)
class OpinionNews(Message):
    """Tells what the sender has learnt from models' opinions of their answers.

    :param rows: its counts, all of them each time: news that are lost do no harm.
    """

    rows: tuple[GainRow, ...]


# In place of a data hall, where a VM tells of itself alone.
NO_HALL = HallName("")


@dataclass(frozen=True, slots=True)
class TrialNews(Message):
    """Tells what the sender has seen of a version on trial.

    :param report: its counts, all of them each time: news that are lost do no harm.
    :param hall: the data hall whose VMs have seen all this together; empty where the
        sender alone has.
    """

    report: TrialReport
    hall: HallName = NO_HALL


@dataclass(frozen=True, slots=True)
class AskTrial(Message):
    """Asks all that the receiver knows of a trial; answered by :class:`TrialNews`.

    :param order: the order's name.
    :param version: the new version.
    """

    order: str
    version: str


@dataclass(frozen=True, slots=True)
class SessionsSeen(Message):
    """Hands over what a VM that stops has seen of sessions.

    :param rows: the sessions that are not over.
    """

    rows: tuple[SeenSession, ...]


@dataclass(frozen=True, slots=True)
class SessionsTaken(Message):
    """Answers that the sessions are known here now."""


@dataclass(frozen=True, slots=True)
class AskVms(Message):
    """Asks which entry VMs there are; answered by :class:`VmsAre`.

    :param digest: stands for the list that the sender knows; 0 for none.
    """

    digest: int = 0


@dataclass(frozen=True, slots=True)
class VmsAre(Message):
    """Answers with the list of entry VMs.

    :param data: the list, see :func:`walnutquay.protocol.lists.pack_places`; empty
        where it is the one that was asked with, or there is none yet.
    """

    data: bytes = b""


@dataclass(frozen=True, slots=True)
class VmRow:
    """Where an entry VM is.

    :param vm: its name.
    :param place: where its peers reach it.
    """

    vm: VmName
    place: VmLocation


@dataclass(frozen=True, slots=True)
class VmNews(Message):
    """Tells that a VM has entered the list of VMs, or leaves it.

    :param row: the VM.
    :param leaving: whether it leaves.
    :param incarnation: the process of the VM that says so: a later one may start
        where it was.
    """

    row: VmRow
    leaving: bool = False
    incarnation: str = ""


@dataclass(frozen=True, slots=True)
class AskStart(Message):
    """Asks for all that the receiver knows; answered by :class:`StartIs`."""


@dataclass(frozen=True, slots=True)
class KnownList:
    """A list of one kind of the store's objects.

    :param kind: the kind.
    :param data: the list, as a feed exports it.
    """

    kind: str
    data: bytes


@dataclass(frozen=True, slots=True)
class StartIs(Message):
    """Answers a VM that starts with all that is known.

    :param vms: the list of entry VMs, as in :class:`VmsAre`; empty for none yet.
    :param lists: a list of each kind; none where the sender has just started too.
    """

    vms: bytes
    lists: tuple[KnownList, ...]


@dataclass(frozen=True, slots=True)
class AskKnown(Message):
    """Asks what the receiver knows of one kind of the store's objects.

    :param kind: the kind.
    :param revision: the store's revision that the sender knows; only newer
        knowledge is of use to it.  With number 0 it knows nothing yet, and takes any
        list.
    """

    kind: str
    revision: StoreRevision


@dataclass(frozen=True, slots=True)
class KnownIs(Message):
    """Answers with a list of objects.

    :param data: the list, as the store wrote it; empty where it is not newer.
    """

    data: bytes


@dataclass(frozen=True, slots=True)
class AskChanges(Message):
    """Asks a VM that watches the store for changes of one kind of its objects.

    :param kind: the kind.
    :param revision: the store's revision that the sender knows.
    :param seconds: how long the receiver may wait for a change.
    """

    kind: str
    revision: StoreRevision
    seconds: float


@dataclass(frozen=True, slots=True)
class ChangesAre(Message):
    """Answers with changes.

    :param data: the changes or the list, as the store wrote them; empty for none.
    :param direct: whether the sender hears of them from the store itself.
    :param failing: whether the store does not answer the sender.
    :param whole: whether this is a whole list, for the sender does not know all
        changes since the revision that was asked for.
    :param returned: seconds since the store answered the sender again after a time
        in which it did not; infinite where it always did.
    """

    data: bytes = b""
    direct: bool = True
    failing: bool = False
    whole: bool = False
    returned: float = math.inf


@dataclass(frozen=True, slots=True)
class CrashNews(Message):
    """Tells which requests were at endpoints that ended, or were answered since.

    :param traces: the requests; what is known twice does no harm.
    """

    traces: tuple[CrashTrace, ...]


@dataclass(frozen=True, slots=True)
class ArrivalsNews(Message):
    """Tells of the new connections of callers.

    :param arrivals: those of the sender.
    :param asks: whether the receiver is to tell of its own.
    """

    arrivals: VmArrivals
    asks: bool


@dataclass(frozen=True, slots=True)
class CrashDigest(Message):
    """Lets a VM see whether the sender knows the same of such requests.

    :param digest: what stands for all that the sender knows.
    """

    digest: int


@dataclass(frozen=True, slots=True)
class AskCrashes(Message):
    """Asks all that the receiver knows of such requests; answered by CrashNews."""


@dataclass(frozen=True, slots=True)
class RateLimitRow:
    """The rate limit that an endpoint named last.

    :param endpoint: the endpoint.
    :param born: when it started, in Unix milliseconds; None if not known.
    :param per_second: requests a second from all VMs together; None if not limited.
    :param age: seconds since the answer that said so.
    """

    endpoint: EndpointName
    born: int | None
    per_second: float | None
    age: float


@dataclass(frozen=True, slots=True)
class RateLimitNews(Message):
    """Tells the rate limits of endpoints.

    :param rows: a limit each; what is known twice does no harm.
    :param for_all: whether relays forward it to all VMs of their data hall.
    """

    rows: tuple[RateLimitRow, ...]
    for_all: bool = False


@dataclass(frozen=True, slots=True)
class AskRateLimits(Message):
    """Asks for all rate limits known; answered by :class:`RateLimitNews`."""


@dataclass(frozen=True, slots=True)
class DrainingRow:
    """An endpoint that has announced that it is draining.

    :param endpoint: the endpoint.
    :param born: when it started, in Unix milliseconds; None if not known.
    :param age: seconds since it has announced that.
    """

    endpoint: EndpointName
    born: int | None
    age: float


@dataclass(frozen=True, slots=True)
class DrainingNews(Message):
    """Tells which endpoints have announced in answers that they are draining.

    :param rows: an endpoint each; what is known twice does no harm.
    :param for_all: whether relays forward it to all VMs of their data hall.
    """

    rows: tuple[DrainingRow, ...]
    for_all: bool = False


@dataclass(frozen=True, slots=True)
class AskDraining(Message):
    """Asks for all such endpoints known; answered by :class:`DrainingNews`."""


@dataclass(frozen=True, slots=True)
class AskPermit(Message):
    """Asks the issuer of an endpoint for a permit; answered by :class:`PermitIs`.

    :param limit: the limit of the endpoint, as the sender knows it.
    :param priority: the rank of the request, where 0 is the most urgent.
    :param patience: seconds for which the sender can wait.
    """

    limit: RateLimitRow
    priority: int
    patience: float


@dataclass(frozen=True, slots=True)
class PermitIs(Message):
    """Answers whether a request may be sent to an endpoint.

    :param limit: the limit of the endpoint, as the issuer knows it.
    :param granted: whether one request may be sent now.
    :param issuer: whether the VM that was asked issues permits to the sender.
    :param wait: seconds after which to ask again, if it is not granted.
    """

    limit: RateLimitRow
    granted: bool
    issuer: bool
    wait: float


@dataclass(frozen=True, slots=True)
class Failure(Message):
    """Answers that a call could not be carried out."""

    reason: str


@dataclass(frozen=True, slots=True)
class Envelope:
    """A message with its sender.

    :param vm: the sender.
    :param incarnation: the sender's incarnation.
    :param stamp: the sender's clock.
    :param body: the message.
    :param call: the call's number; 0 for a message that wants no answer.
    """

    vm: str
    incarnation: str
    stamp: Stamp
    body: Message
    call: int = field(default=0)
