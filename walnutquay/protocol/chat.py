# Licensed under the Apache License 2.0: see LICENSE for details.

"""The OpenAI-compatible chat bodies, streams and errors."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

import orjson

from walnutquay.exceptions import EndpointError, WalnutquayError
from walnutquay.state.requests.refusals import Refusal

STREAM_TYPE = "text/event-stream"
JSON_TYPE = "application/json"
END_MARK = b"data: [DONE]\n\n"
EVENT_END = b"\n\n"
DATA_FIELD = b"data: "

# What the caller is told of whether its request was run.
RAN_NOT = "not_run"
RAN_UNKNOWN = "unknown"

# Headers; the callers' page documents them.
HEADER_SESSION = "x-walnutquay-session"
HEADER_TOKEN = "x-walnutquay-token"
HEADER_CLASS = "x-walnutquay-class"
HEADER_DEADLINE = "x-walnutquay-deadline"
HEADER_REQUEST = "x-walnutquay-request"
HEADER_VERSION = "x-walnutquay-version"
HEADER_ENDPOINT = "x-walnutquay-endpoint"
HEADER_REVISION = "x-walnutquay-revision"
HEADER_REPLAYED = "x-walnutquay-replayed"
HEADER_KEY = "idempotency-key"
COOKIE_TOKEN = "walnutquay_token"

# Prompts that have so many characters in common are likely to share a cached prefix.
PREFIX_CHARS = 256
# Rough sizes of prompts, in bytes of the body, for policies.
SMALL_BYTES = 2_000
MEDIUM_BYTES = 16_000


class BadBodyError(WalnutquayError):
    """A chat body is not what the API takes."""


@dataclass(slots=True)
class ChatCall:
    """A chat request as it came.

    :param model: the cascade or version that the caller named.
    :param stream: whether the answer is to be streamed.
    :param body: the whole body, parsed; sent on with ``model`` replaced.
    :param size: ``small``, ``medium`` or ``large``.
    """

    model: str
    stream: bool
    body: dict[str, Any]
    size: str


def size_of(length: int) -> str:
    """:param length: bytes of a body.

    :returns: what a policy is told of it.
    """
    if length < SMALL_BYTES:
        return "small"
    return "medium" if length < MEDIUM_BYTES else "large"


def parse_chat(data: bytes) -> ChatCall:
    """Read a chat body.

    :param data: the bytes that came.
    :raises BadBodyError: saying what is wrong with it.
    """
    try:
        body = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        raise BadBodyError(f"the body is not JSON: {error}") from error
    if not isinstance(body, dict):
        raise BadBodyError("the body must be a JSON object")
    model = body.get("model")
    if not isinstance(model, str) or not model:
        raise BadBodyError("'model' must name a cascade or a version")
    messages = body.get("messages")
    if not isinstance(messages, list) or not messages:
        raise BadBodyError("'messages' must be a list with at least one message")
    for index, message in enumerate(messages):
        if not isinstance(message, dict) or not isinstance(message.get("role"), str):
            raise BadBodyError(f"'messages[{index}]' must be an object with a 'role'")
    stream = body.get("stream", False)
    if not isinstance(stream, bool):
        raise BadBodyError("'stream' must be true or false")
    return ChatCall(model, stream, body, size_of(len(data)))


def error_body(
    message: str, code: str, ran: str | None = None, kind: str = "invalid_request_error"
) -> bytes:
    """Write an error in the OpenAI shape.

    :param message: a sentence for people.
    :param code: the code for programs.
    :param ran: ``not_run`` or ``unknown``; None where neither was at stake.
    :param kind: the error's ``type``.
    """
    error = {"message": message, "type": kind, "param": None, "code": code}
    if ran is not None:
        error["ran"] = ran
    return orjson.dumps({"error": error})


def refusal_body(refusal: Refusal) -> bytes:
    """:param refusal: why a request is not run.

    :returns: the error's body.
    """
    status = refusal.status
    kind = "invalid_request_error" if status < 429 else "unavailable_error"
    return error_body(refusal.reason, refusal.code.value, RAN_NOT, kind)


class StreamParser:
    """Cuts a stream of server-sent events into whole events.

    :param max_event: bytes that one event may have.
    :param peer: who sends it, for errors.
    """

    def __init__(self, max_event: int = 1 << 20, peer: str = "") -> None:
        self.peer = peer
        self.buffer = b""
        self.max_event = max_event

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Take in bytes and yield the events that they complete.

        :param data: the bytes that came.
        :raises EndpointError: if they are no events.
        """
        self.buffer += data
        while (end := self.buffer.find(EVENT_END)) >= 0:
            end += len(EVENT_END)
            event, self.buffer = self.buffer[:end], self.buffer[end:]
            yield event
        if len(self.buffer) > self.max_event:
            raise EndpointError(
                "an event of the stream is too large", step="answer", peer=self.peer
            )


def event_json(event: bytes) -> dict[str, Any] | None:
    """:param event: one whole event.

    :returns: its JSON object, or None where it has none.
    """
    if not event.startswith(DATA_FIELD):
        return None
    try:
        value = orjson.loads(event[len(DATA_FIELD) :])
    except orjson.JSONDecodeError:
        return None
    return value if isinstance(value, dict) else None


def beginning(body: dict[str, Any]) -> str:
    """:param body: a chat request's body.

    :returns: the first characters of its messages, by which prompts are told alike.
    """
    text = ""
    for message in body["messages"]:
        content = message.get("content")
        text += content if isinstance(content, str) else ""
        if len(text) >= PREFIX_CHARS:
            break
    return text[:PREFIX_CHARS]


def earlier_messages(body: dict[str, Any]) -> list[str]:
    """Return the messages before the last one, each as a text of its own.

    :param body: a chat request's body.
    """
    return [
        orjson.dumps(message, option=orjson.OPT_SORT_KEYS).decode()
        for message in body["messages"][:-1]
    ]


def whole_of(events: Iterable[bytes]) -> bytes:
    """Put a streamed answer together, as it would have come in one piece.

    :param events: all its events.
    :returns: a chat completion, as JSON.
    """
    words = []
    for event in events:
        chunk = event_json(event) or {}
        for choice in chunk.get("choices", ()):
            words.append(choice.get("delta", {}).get("content") or "")
    message = {"role": "assistant", "content": "".join(words)}
    choice = {"index": 0, "message": message, "finish_reason": "stop"}
    return orjson.dumps({"object": "chat.completion", "choices": [choice]})


def stream_error(message: str, code: str, ran: str) -> bytes:
    """Write the event that ends a stream which is not whole.

    :param message: a sentence for people.
    :param code: the code for programs.
    :param ran: whether the request was run, as far as is known.
    """
    return DATA_FIELD + error_body(message, code, ran, "unavailable_error") + EVENT_END


@dataclass(frozen=True, slots=True)
class Usage:
    """The tokens that an answer took.

    :param input_tokens: tokens read.
    :param output_tokens: tokens written.
    """

    input_tokens: int = 0
    output_tokens: int = 0


NO_USAGE = Usage()


def usage_of(answer: dict[str, Any]) -> Usage:
    """:param answer: an answer's or a chunk's JSON.

    :returns: its usage; zeros where it has none.
    """
    usage = answer.get("usage")
    if not isinstance(usage, dict):
        return NO_USAGE
    return Usage(
        int(usage.get("prompt_tokens", 0)), int(usage.get("completion_tokens", 0))
    )
