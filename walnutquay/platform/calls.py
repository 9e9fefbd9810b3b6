# Licensed under the Apache License 2.0: see LICENSE for details.

"""Heads of requests and answers as callers and endpoints write them."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from walnutquay.exceptions import MessageError
from walnutquay.platform import names
from walnutquay.protocol.services import HOP_BY_HOP
from walnutquay.state.ids import ModelName, OrganisationName, RequestId, SessionId
from walnutquay.state.instances import Instance
from walnutquay.state.keys import bearer_key
from walnutquay.state.prompts import Prompt, PromptPart

MILLISECONDS = 1000.0
MAX_EVENT_ID = 1 << 62


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
    headers: tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """The head of an endpoint's answer.

    :param status: the HTTP status.
    :param request: the id that it answers; empty where it repeats none.
    :param not_run: whether the endpoint says that it did not begin.
    :param running: requests that it runs; None where it does not say.
    :param waiting: requests that wait there.
    :param slots: requests that it runs at once.
    :param confidence: the model's own opinion of its answer, 0 to 100; None
        where it gives none.
    :param headers: those that are passed back as they came.
    """

    status: int
    request: RequestId
    not_run: bool
    running: int | None
    waiting: int
    slots: int
    confidence: float | None
    headers: tuple[tuple[str, str], ...]


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
    text = headers.get(name, "").strip()
    return int(text) if text.isascii() and text.isdigit() else None


def _prompt(headers: Mapping[str, str]) -> Prompt:
    """Read the prompt's size; one that cannot be read says nothing."""
    read, _, written = headers.get(names.TOKENS, "").partition(",")
    parts = []
    for text in headers.get(names.PROMPT_PARTS, "").split(","):
        name, _, tokens = text.strip().partition(":")
        if name and tokens.isdigit():
            parts.append(PromptPart(name, int(tokens)))
    return Prompt(
        tokens=int(read) if read.strip().isdigit() else 0,
        most_written=int(written) if written.strip().isdigit() else 0,
        hint_written=_whole(headers, names.LENGTH_HINT) or 0,
        parts=tuple(parts),
    )


def encode_call(
    head: CallHead,
    instance: Instance,
    organisation: OrganisationName | None,
    seconds_left: float,
    model: ModelName | None,
    last_event: int | None,
) -> list[tuple[str, str]]:
    """Write the head that an endpoint gets.

    :param head: the caller's.
    :param instance: who is to run it.
    :param organisation: whose request it is; None where keys are not used.
    :param seconds_left: how long the endpoint may work on it.
    :param model: the model to use, where we choose it.
    :param last_event: the event after which to go on, if any was passed on.
    """
    ours = [
        ("Host", head.host),
        (names.TIME_LEFT, str(max(1, int(seconds_left * MILLISECONDS)))),
        (names.EXPECTED_INSTANCE, instance.name),
    ]
    if organisation is not None:
        ours.append((names.ORGANISATION, organisation))
    if model is not None:
        ours.append((names.MODEL, model))
    if last_event is not None:
        ours.append((names.LAST_EVENT, str(last_event)))
    replaced = {name.lower() for name, _ in ours}
    kept = [pair for pair in head.headers if pair[0].lower() not in replaced]
    return kept + ours


def decode_answer(
    status: int, headers: Mapping[str, str], raw: Iterable[tuple[str, str]]
) -> AnswerHead:
    """:param status: the HTTP status.

    :param headers: the answer's headers, by name without regard to case.
    :param raw: the same in order, as they came.
    """
    load = [part.strip() for part in headers.get(names.LOAD, "").split(",")]
    known = len(load) >= 3 and all(part.isdigit() for part in load[:3])
    confidence = headers.get(names.CONFIDENCE, "")
    return AnswerHead(
        status=status,
        request=RequestId(headers.get(names.REQUEST_ID, "")),
        not_run=names.NOT_RUN in headers or status == names.STATUS_MISDIRECTED,
        running=int(load[0]) if known else None,
        waiting=int(load[1]) if known else 0,
        slots=int(load[2]) if known else 0,
        confidence=_confidence(confidence),
        headers=tuple(
            (name, value) for name, value in raw if name.lower() not in HOP_BY_HOP
        ),
    )


def _confidence(text: str) -> float | None:
    try:
        return float(text) if text else None
    except ValueError:
        return None
