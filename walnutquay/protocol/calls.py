# Licensed under the Apache License 2.0: see LICENSE for details.

"""The heads of routed requests and their answers, as the request path sees them."""

from __future__ import annotations

from dataclasses import dataclass

from walnutquay.state.process.ids import ModelName, RequestId, SessionId
from walnutquay.state.routed.prompts import Prompt

HeaderPairs = tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class CallHead:
    """The head of a caller's request.

    :param request: the id of this try; empty where the caller sent none.
    :param host: the host that it named.
    :param key: the key that it presented; empty if none.
    :param seconds_left: how long it still waits; None where it did not say.
    :param model: the model that it named; empty if none.
    :param any_model: whether it leaves the model to us.
    :param prompt: its prompt's size and parts.
    :param session: its session; empty if it named none.
    :param last_event: the event after which a stream is to go on; None for a
        stream from its beginning.
    :param headers: those that are passed on as they came.
    """

    request: RequestId
    host: str
    key: str
    seconds_left: float | None
    model: ModelName
    any_model: bool
    prompt: Prompt
    session: SessionId
    last_event: int | None
    headers: HeaderPairs


@dataclass(frozen=True, slots=True)
class InvalidAnnouncement:
    """An announcement that cannot be read.

    :param name: its name on the wire.
    :param text: its value.
    """

    name: str
    text: str


@dataclass(frozen=True, slots=True)
class Announcements:
    """What an endpoint announces of itself in the head of an answer.

    :param draining: whether it is about to end.
    :param backoff_seconds: for how long it wants no requests from this VM; None if it
        does not say.
    :param rate_limit: the requests a second that it accepts from all VMs together;
        None if it names no limit.
    :param rate_limit_valid: false if it names a limit that cannot be read.
    :param rejections_borne: the rejections a second, for want of room, after which it
        crashes if there are more; None if it does not say.
    :param invalid: announcements that cannot be read.
    """

    draining: bool = False
    backoff_seconds: float | None = None
    rate_limit: float | None = None
    rate_limit_valid: bool = True
    rejections_borne: int | None = None
    invalid: tuple[InvalidAnnouncement, ...] = ()


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """The head of an endpoint's answer.

    :param status: the HTTP status.
    :param request: the id that it answers; empty where it repeats none.
    :param not_run: whether the endpoint says that it did not begin.
    :param running: requests that it runs; None where it does not say.
    :param waiting: requests that wait there.
    :param slots: requests that it runs at once.
    :param pace: how long work takes there now, relative to its usual time; None where
        it does not say.
    :param confidence: the model's own opinion of its answer, 0 to 100; None
        where it gives none.
    :param content_type: the type of its body.
    :param headers: the others, passed back as they came.
    :param announced: what the endpoint announces of itself.
    """

    status: int
    request: RequestId
    not_run: bool
    running: int | None
    waiting: int
    slots: int
    confidence: float | None
    content_type: str
    headers: HeaderPairs
    announced: Announcements = Announcements()
    pace: float | None = None


@dataclass(frozen=True, slots=True)
class SendOrder:
    """What an endpoint is told besides the caller's own head.

    :param instance: the name of the instance that is to run it.
    :param organisation: whose request it is; None if no known key came with it.
    :param seconds_left: how long it may work.
    :param model: the model to use, where we choose it.
    :param last_event: the event after which to go on, if any was passed on.
    :param urgency: its rank at the endpoint, 0 the most urgent, 9 the least; None
        leaves it to the endpoint.
    """

    instance: str
    organisation: str | None
    seconds_left: float
    model: ModelName | None
    last_event: int | None
    urgency: int | None = None
