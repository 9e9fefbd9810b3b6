# Licensed under the Apache License 2.0: see LICENSE for details.

"""Heads of requests and answers as callers and endpoints write them."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping, Sequence

from walnutquay.exceptions import MessageError
from walnutquay.platform import names
from walnutquay.platform.announcements import decode_announcements
from walnutquay.protocol.calls import AnswerHead, CallHead, SendOrder
from walnutquay.protocol.services import HOP_BY_HOP
from walnutquay.state.process.ids import ModelName, RequestId, SessionId
from walnutquay.state.process.keys import bearer_key
from walnutquay.state.routed.prompts import Prompt, PromptPart

MILLISECONDS = 1000.0
# How endpoints write that work takes there as long as usual.
USUAL_PACE = 100.0
MAX_EVENT_ID = 1 << 62
# Whole numbers of callers have at most so many digits, so that they fit into 64 bits.
MAX_DIGITS = 18
# No endpoint has as many digits of requests; a longer figure is unreadable.
MAX_LOAD_DIGITS = 6


def decode_call(headers: Mapping[str, str], raw: Iterable[tuple[str, str]]) -> CallHead:
    """:param headers: the request's headers, by name without regard to case.

    :param raw: the same in order, as they came.
    :raises MessageError: if one of them cannot be read.
    """
    model = headers.get(names.MODEL, "")
    left = _number(headers, names.TIME_LEFT)
    return CallHead(
        request=RequestId(headers.get(names.REQUEST_ID, "")),
        host=headers.get("Host", "").rpartition("@")[2].partition(":")[0],
        key=bearer_key(headers.get("Authorization")),
        seconds_left=None if left is None else left / MILLISECONDS,
        model=ModelName("" if model == names.ANY_MODEL else model),
        any_model=model == names.ANY_MODEL,
        prompt=_prompt(headers),
        session=SessionId(headers.get(names.SESSION, "")),
        last_event=_whole(headers, names.LAST_EVENT),
        headers=tuple(_passed_on(headers, raw)),
    )


def _passed_on(
    headers: Mapping[str, str], raw: Iterable[tuple[str, str]]
) -> Iterable[tuple[str, str]]:
    """Leave out what belongs to one connection, the key, and what is ours to set."""
    named = {part.strip().lower() for part in headers.get("Connection", "").split(",")}
    for name, value in raw:
        lower = name.lower()
        ours = lower in names.OWN_HEADERS or lower == "authorization"
        if lower not in HOP_BY_HOP and lower not in named and not ours:
            yield name, value


def _number(headers: Mapping[str, str], name: str) -> float | None:
    text = headers.get(name)
    if text is None:
        return None
    try:
        value = float(text)
    except ValueError as error:
        raise MessageError(f"{name} must be a number", step="decode") from error
    if not 0 <= value < MAX_EVENT_ID:
        raise MessageError(f"{name} is out of range", step="decode")
    return value


def _whole(headers: Mapping[str, str], name: str) -> int | None:
    return _digits(name, headers.get(name, ""))


def _digits(name: str, text: str) -> int | None:
    """Read a whole number.

    :param name: the header that it is from.
    :param text: the text; spaces around it do not count.
    :returns: the number; None if the text is anything else.
    :raises MessageError: if it is too long, or not in ASCII digits.
    """
    text = text.strip()
    if not text.isdigit():
        return None
    if not text.isascii() or len(text) > MAX_DIGITS:
        raise MessageError(f"{name} is out of range", step="decode")
    return int(text)


def _prompt(headers: Mapping[str, str]) -> Prompt:
    """Read the prompt's size; one that cannot be read says nothing."""
    read, _, written = headers.get(names.TOKENS, "").partition(",")
    parts = []
    for text in headers.get(names.PROMPT_PARTS, "").split(","):
        name, _, tokens = text.strip().partition(":")
        number = _digits(names.PROMPT_PARTS, tokens)
        if name and number is not None:
            parts.append(PromptPart(name, number))
    return Prompt(
        tokens=_digits(names.TOKENS, read) or 0,
        max_output_tokens=_digits(names.TOKENS, written) or 0,
        expected_output_tokens=_whole(headers, names.LENGTH_HINT) or 0,
        parts=tuple(parts),
    )


def encode_call(head: CallHead, order: SendOrder) -> list[tuple[str, str]]:
    """Write the head that an endpoint gets.

    :param head: the caller's.
    :param order: what we add.
    """
    left = max(1, int(order.seconds_left * MILLISECONDS))
    ours = [
        ("Host", head.host),
        (names.TIME_LEFT, str(left)),
        (names.EXPECTED_INSTANCE, order.instance),
    ]
    if order.organisation is not None:
        ours.append((names.ORGANISATION, order.organisation))
    if order.model is not None:
        ours.append((names.MODEL, order.model))
    if order.last_event is not None:
        ours.append((names.LAST_EVENT, str(order.last_event)))
    if order.urgency is not None:
        ours.append((names.URGENCY, str(order.urgency)))
    replaced = {name.lower() for name, _ in ours}
    kept = [pair for pair in head.headers if pair[0].lower() not in replaced]
    return kept + ours


def decode_answer(
    status: int, headers: Mapping[str, str], raw: Sequence[tuple[str, str]]
) -> AnswerHead:
    """:param status: the HTTP status.

    :param headers: the answer's headers, by name without regard to case.
    :param raw: the same in order, as they came.
    """
    load = [part.strip() for part in headers.get(names.LOAD, "").split(",")]
    known = len(load) >= 3 and all(map(_is_count, load[:3]))
    confidence = headers.get(names.CONFIDENCE, "")
    return AnswerHead(
        status=status,
        request=RequestId(headers.get(names.REQUEST_ID, "")),
        not_run=names.NOT_RUN in headers or status == names.STATUS_MISDIRECTED,
        running=int(load[0]) if known else None,
        waiting=int(load[1]) if known else 0,
        slots=int(load[2]) if known else 0,
        confidence=_confidence(confidence),
        content_type=headers.get("Content-Type", ""),
        headers=tuple(
            (name, value)
            for name, value in raw
            if name.lower() not in HOP_BY_HOP and name.lower() != "content-type"
        ),
        announced=decode_announcements(status, raw),
        pace=_pace(load[3]) if known and len(load) > 3 else None,
    )


def _is_count(text: str) -> bool:
    """Return whether a figure of a load is a number of requests."""
    return text.isascii() and text.isdigit() and len(text) <= MAX_LOAD_DIGITS


def _pace(text: str) -> float | None:
    """Return how long work takes, relative to its usual time; None if unreadable."""
    try:
        pace = float(text) / USUAL_PACE
    except ValueError:
        return None
    return pace if math.isfinite(pace) and pace > 0.0 else None


def _confidence(text: str) -> float | None:
    try:
        return float(text) if text else None
    except ValueError:
        return None


class PlatformDialect:
    """Writes and reads heads for the request path."""

    def encode_call(
        self, head: CallHead, order: SendOrder
    ) -> Sequence[tuple[str, str]]:
        """:param head: the caller's head.

        :param order: what we add.
        :returns: what the endpoint gets.
        """
        return encode_call(head, order)

    def decode_answer(
        self, status: int, headers: Mapping[str, str], raw: Sequence[tuple[str, str]]
    ) -> AnswerHead:
        """:param status: the HTTP status.

        :param headers: by name without regard to case.
        :param raw: the same in order, as they came.
        """
        return decode_answer(status, headers, raw)
