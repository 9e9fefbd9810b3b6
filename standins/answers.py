# Licensed under the Apache License 2.0: see LICENSE for details.

"""A strict reader of HTTP/1 answers, for callers that believe nothing.

It shares no code with the servers.  ``http.client`` is too lenient for this: it takes
a chunked body without its last line for whole, checks no line's end and no second
length, and drops bytes that nobody has asked for.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from enum import Enum

STATUS_LINE = re.compile(rb"HTTP/1\.([01]) ([2-5]\d\d) [\x20-\x7e]*")
FIELD = re.compile(rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \t]*([\x20-\x7e\x80-\xff]*)")
CHUNK_SIZE = re.compile(rb"[0-9A-Fa-f]{1,8}")
LENGTH = re.compile(rb"\d{1,12}")
LINE_END = b"\r\n"
HEAD_END = b"\r\n\r\n"
# Longer heads are no answers of these servers.
MAX_HEAD_BYTES = 64 << 10
# Answers that have no body, whatever their headers say.
BODILESS = (204, 304)


class End(Enum):
    """How a connection has ended so far."""

    OPEN = "open"
    CLOSED = "closed"
    RESET = "reset"


class NotAnAnswerError(Exception):
    """Bytes that are no answer in the protocol."""


@dataclass
class ReadAnswer:
    """An answer as its framing tells it.

    :param status: its status.
    :param headers: its headers; the names are in lower case.
    :param body: what came of its body.
    :param whole: whether it ended as its framing says.
    :param closes: whether it says that its connection ends with it.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool
    closes: bool


def take_answer(
    data: bytes, method: str, end: End = End.OPEN
) -> tuple[ReadAnswer, bytes] | None:
    """Read the first answer of a connection's bytes.

    :param data: the bytes.
    :param method: the method of the request that is answered.
    :param end: how the connection ended behind them.
    :returns: the answer and what follows it; None where more must come, or where the
        connection ended before a whole head.
    :raises NotAnAnswerError: if they are not the beginning of an answer.
    """
    head, found, rest = data.partition(HEAD_END)
    if not found:
        _check_beginning(data)
        return None
    version, status, headers = _read_head(head)
    closes = _closes(version, headers)
    if method == "HEAD" or status in BODILESS:
        return ReadAnswer(status, headers, b"", True, closes), rest
    if "transfer-encoding" in headers:
        body, rest, whole = _chunked(rest, version, headers)
    elif "content-length" in headers:
        body, rest, whole = _counted(rest, headers["content-length"])
    else:
        closes = True
        body, rest, whole = rest, b"", end is End.CLOSED
    if not whole and end is End.OPEN:
        return None
    return ReadAnswer(status, headers, body, whole, closes), rest


def _check_beginning(data: bytes) -> None:
    """Refuse a head that cannot become one, before all of it has come."""
    if len(data) > MAX_HEAD_BYTES:
        raise NotAnAnswerError(f"a head without an end: {data[:80]!r}")
    line, found, _ = data.partition(LINE_END)
    begun = b"HTTP/1."
    if found and not STATUS_LINE.fullmatch(line):
        raise NotAnAnswerError(f"not a status line: {line[:80]!r}")
    if not data.startswith(begun) and not begun.startswith(data):
        raise NotAnAnswerError(f"not an answer: {data[:80]!r}")


def _read_head(head: bytes) -> tuple[int, int, dict[str, str]]:
    line, *fields = head.split(LINE_END)
    found = STATUS_LINE.fullmatch(line)
    if found is None:
        raise NotAnAnswerError(f"not a status line: {line[:80]!r}")
    headers: dict[str, str] = {}
    for field in fields:
        pair = FIELD.fullmatch(field)
        if pair is None:
            raise NotAnAnswerError(f"not a header: {field[:80]!r}")
        name = pair[1].decode().lower()
        if name in headers and name in ("content-length", "transfer-encoding"):
            raise NotAnAnswerError(f"two headers {name}")
        headers[name] = pair[2].decode("latin-1").strip()
    if "content-length" in headers and "transfer-encoding" in headers:
        raise NotAnAnswerError("a length, and chunks")
    return int(found[1]), int(found[2]), headers


def _closes(version: int, headers: dict[str, str]) -> bool:
    said = headers.get("connection", "").lower()
    return said == "close" or (version == 0 and said != "keep-alive")


def _counted(rest: bytes, length: str) -> tuple[bytes, bytes, bool]:
    if not LENGTH.fullmatch(length.encode("latin-1")):
        raise NotAnAnswerError(f"not a length: {length!r}")
    size = int(length)
    return rest[:size], rest[size:], len(rest) >= size


def _chunked(
    rest: bytes, version: int, headers: dict[str, str]
) -> tuple[bytes, bytes, bool]:
    """Join chunks; without extensions and trailers, which these servers do not send."""
    if version == 0 or headers["transfer-encoding"].lower() != "chunked":
        raise NotAnAnswerError("a framing that is not known")
    body = b""
    while True:
        line, found, behind = rest.partition(LINE_END)
        if not found:
            return body, b"", False
        if not CHUNK_SIZE.fullmatch(line):
            raise NotAnAnswerError(f"not the size of a chunk: {line[:80]!r}")
        size = int(line, 16)
        chunk, mark = behind[:size], behind[size : size + len(LINE_END)]
        if not LINE_END.startswith(mark):
            raise NotAnAnswerError(f"a chunk without its end: {behind[:80]!r}")
        body += chunk
        if mark != LINE_END:
            return body, b"", False
        rest = behind[size + len(LINE_END) :]
        if size == 0:
            return body, rest, True
