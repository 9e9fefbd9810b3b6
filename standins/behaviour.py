# Licensed under the Apache License 2.0: see LICENSE for details.

"""What a stand-in for an endpoint is asked, and how it answers."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field


@dataclass
class Seen:
    """A request as the endpoint got it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    # Whether its caller closed or reset the connection before the answer had ended.
    left: bool = False
    # Whether the answer was cut off, as it stayed unread.
    cut: bool = False
    # When it came; monotonic seconds.
    at: float = field(default_factory=time.monotonic)
    # How often the endpoint had ended by then.
    start: int = 0
    # Bytes that were sent without end, until the caller closed.
    endless: int = 0
    # What else its answer's head said, besides what all answers say.
    announced: dict[str, str] = field(default_factory=dict)


@dataclass
class Behaviour:
    """How one request is answered.

    :param status: the HTTP status.
    :param body: the body of a plain answer.
    :param events: the events of a stream, whose ids are their numbers; None for a
        plain answer.
    :param first: the id of the first event; after the request's last one if None.
    :param cut_after: events, or bytes of a plain body, after which the connection
        is reset; None for a whole answer.
    :param within: bytes of the next event that are sent before the cut.
    :param cut_orderly: whether a stream that is cut off ends by closing its
        connection, without a reset.
    :param framed: whether an answer says its length or comes in chunks; otherwise it
        ends with its connection.
    :param crossed: whether the answer carries another request's id.
    :param named: whether the answer carries an id at all.
    :param not_run: whether it says that nothing was run.
    :param mute: whether nothing is answered at all.
    :param extra: whether a second answer follows the first.
    :param extra_late: whether it follows only when the connection's next request has
        come, in the place of that one's answer.
    :param extra_after: seconds after which it follows otherwise, whatever comes till
        then.
    :param extra_pieces: bytes of the second answer that come by themselves, before the
        rest of it; 0 for all at once.
    :param pieces: the same of the first answer, if it is plain.
    :param chunked: whether a plain answer comes in chunks.
    :param lacking: bytes of a plain body that are left out; the connection ends then.
    :param junk: bytes that follow a plain answer.
    :param headers: more headers.
    :param pause: seconds between two events, or before a plain answer.
    :param crash_after: whole events after which the endpoint itself ends, with all
        its connections; None where it goes on.
    :param gate: waited for after the first event, if there is one.
    :param padding: bytes that are added to each event.
    :param endless: sent in the place of an answer: first bytes, then others again and
        again until the caller closes; None for an answer.
    :param unread_after: seconds for which an answer may stay unread before it is cut
        off; None without a limit.
    """

    status: int = 200
    body: bytes = b"done"
    events: int | None = None
    first: int | None = None
    cut_after: int | None = None
    within: int = 0
    cut_orderly: bool = False
    framed: bool = True
    crossed: bool = False
    named: bool = True
    not_run: bool = False
    mute: bool = False
    extra: bool = False
    extra_late: bool = False
    extra_after: float = 0.0
    extra_pieces: int = 0
    pieces: int = 0
    chunked: bool = False
    lacking: int = 0
    junk: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)
    pause: float = 0.0
    crash_after: int | None = None
    gate: asyncio.Event | None = None
    padding: int = 0
    unread_after: float | None = None
    endless: tuple[bytes, bytes] | None = None
