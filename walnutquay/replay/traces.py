# Licensed under the Apache License 2.0: see LICENSE for details.

"""The format of traces: JSON lines, a request each.

Fields: ``at`` (seconds from the start), ``organisation``, ``class``, ``kind``
(``chat`` or ``service``), ``expect`` (the stated outcomes, any of which will
do: ``answered``, ``not_run``, ``unknown``); for chats ``model``, ``prompt``,
``max_tokens``, ``stream`` and ``session``; for services ``method``, ``path``
and ``body``; for both, if wanted, ``deadline`` (seconds), ``key`` and ``name``.

In place of words a recorded trace has their shape: ``prompt_chars`` and
``body_chars`` are lengths, ``prefix`` names the beginning that prompts share and
``prefix_chars`` its length; a replay writes words of that shape.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Iterator
from enum import Enum
from pathlib import Path
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from walnutquay.exceptions import WalnutquayError


class TraceError(WalnutquayError):
    """A trace is not what the format says."""


class RequestKind(Enum):
    """What a trace's request is."""

    CHAT = "chat"
    SERVICE = "service"


class ReplayOutcome(Enum):
    """How a replayed request ended."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    # The caller got no answer, or one that is not whole and does not say so.
    BROKEN = "broken"


class TraceRequest(BaseModel):
    """One request of a trace."""

    model_config = ConfigDict(extra="forbid", frozen=True, populate_by_name=True)

    at: Annotated[float, Field(ge=0.0)]
    organisation: str
    request_class: Annotated[str, Field(alias="class")] = "default"
    kind: RequestKind = RequestKind.CHAT
    expect: tuple[ReplayOutcome, ...] = (ReplayOutcome.ANSWERED,)
    name: str = ""
    model: str = ""
    prompt: str = ""
    prefix: str = ""
    prefix_chars: Annotated[int, Field(ge=0)] = 0
    prompt_chars: Annotated[int, Field(ge=0)] = 0
    body_chars: Annotated[int, Field(ge=0)] = 0
    max_tokens: int | None = None
    stream: bool = False
    session: str = ""
    method: str = "GET"
    path: str = ""
    body: str = ""
    deadline: float | None = None
    key: str = ""


def words(seed: str, length: int) -> str:
    """Write words that say nothing.

    :param seed: the same seed gives the same words.
    :param length: how many characters.
    """
    pieces: list[str] = []
    written = 0
    while written < length:
        piece = hashlib.sha256(f"{seed}/{len(pieces)}".encode()).hexdigest() + " "
        pieces.append(piece)
        written += len(piece)
    return "".join(pieces)[:length]


def prompt_of(request: TraceRequest) -> str:
    """:param request: a chat request.

    :returns: its prompt, written from its shape where the trace has no words.
    """
    if request.prompt or not request.prompt_chars:
        return request.prompt
    shared = words(request.prefix, min(request.prefix_chars, request.prompt_chars))
    seed = f"{request.at}/{request.name}/{request.organisation}"
    return shared + words(seed, request.prompt_chars - len(shared))


def body_of(request: TraceRequest) -> str:
    """:param request: a call of a service.

    :returns: its body, written from its length where the trace has no words.
    """
    if request.body or not request.body_chars:
        return request.body
    return words(request.name, request.body_chars)


def write_trace(requests: Iterable[TraceRequest]) -> Iterator[str]:
    """Write a trace.

    :param requests: its requests.
    :returns: its lines.
    """
    for request in requests:
        yield request.model_dump_json(by_alias=True, exclude_defaults=True)


def read_trace(path: Path) -> list[TraceRequest]:
    """Read a trace.

    :param path: the file.
    :returns: its requests, in order of arrival.
    :raises TraceError: naming the line that is wrong.
    """
    requests = []
    try:
        lines = path.read_text(encoding="utf-8").splitlines()
    except OSError as error:
        raise TraceError(f"{path}: cannot be read: {error.strerror}") from error
    for number, line in enumerate(lines, 1):
        if not line.strip():
            continue
        try:
            requests.append(TraceRequest.model_validate_json(line))
        except ValidationError as error:
            first = error.errors()[0]
            key = ".".join(map(str, first["loc"])) or "(whole line)"
            raise TraceError(f"{path}:{number}: {key}: {first['msg']}") from error
    return sorted(requests, key=lambda request: request.at)
