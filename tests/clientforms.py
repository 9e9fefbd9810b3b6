# Licensed under the Apache License 2.0: see LICENSE for details.

"""What clients may send that no page describes: first bytes, and others without end."""

from __future__ import annotations

from dataclasses import dataclass

BLOCK = 4096


@dataclass(frozen=True)
class Form:
    """What each client of a crowd sends.

    :param first: what it begins with.
    :param again: what it then sends again and again.
    """

    first: bytes
    again: bytes


def head(method: str, target: str, *headers: str) -> bytes:
    """Return the lines of a head, without its end."""
    lines = [f"{method} {target} HTTP/1.1", *headers]
    return "".join(f"{line}\r\n" for line in lines).encode()


def head_forms(begun: bytes) -> dict[str, Form]:
    """Return heads without end, and what is none.

    :param begun: the lines of a sound head.
    """
    return {
        "a method": Form(b"", b"G" * BLOCK),
        "a target": Form(b"GET /", b"x" * BLOCK),
        "a version": Form(b"GET / HTTP/1.1", b"1" * BLOCK),
        "a header's name": Form(begun, b"x" * BLOCK),
        "a header's value": Form(begun + b"X: ", b"y" * BLOCK),
        "a header's blanks": Form(begun + b"X:", b" " * BLOCK),
        "header lines": Form(begun, b"X-Y: z\r\n" * (BLOCK // 8)),
        "the shortest header lines": Form(begun, b"x:\r\n" * (BLOCK // 4)),
        "header lines, one by one": Form(begun, b"X: " + b"y" * 3000 + b"\r\n"),
        "folded lines": Form(begun + b"X: y\r\n", b" y\r\n" * (BLOCK // 4)),
        "empty lines": Form(b"", b"\r\n" * (BLOCK // 2)),
        "line feeds": Form(b"", b"\n" * BLOCK),
        "carriage returns": Form(b"", b"\r" * BLOCK),
        "empty lines behind a request": Form(begun + b"\r\n", b"\r\n" * (BLOCK // 2)),
        "blanks": Form(b"", b" " * BLOCK),
        "zero bytes": Form(b"", b"\0" * BLOCK),
        "0xff bytes": Form(b"", b"\xff" * BLOCK),
        "a TLS hello": Form(
            b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03", b"\0" * BLOCK
        ),
        "an HTTP/2 preface": Form(
            b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", b"\0\0\x12\x04\0\0\0\0\0" * 400
        ),
    }


def request_forms(method: str, target: str, *headers: str) -> dict[str, Form]:
    """Return whole heads with something without end behind them.

    :param method: the method of requests with a body.
    :param target: a path that is served.
    :param headers: the headers of a sound request.
    """
    get = head("GET", target, *headers)
    post = head(method, target, *headers)
    chunks = post + b"Transfer-Encoding: chunked\r\n\r\n"
    huge = f"Content-Length: {100 << 30}\r\n\r\n".encode()
    unknown = head("GET", "/no/such/path", *headers)
    return {
        "a chunk's size": Form(chunks, b"0" * BLOCK),
        "a chunk's extension": Form(chunks + b"5;", b"x" * BLOCK),
        "chunks with extensions": Form(chunks, b"1;" + b"x" * 2000 + b"\r\ny\r\n"),
        "chunks of one byte": Form(chunks, b"1\r\ny\r\n" * (BLOCK // 6)),
        "large chunks": Form(chunks, b"1000\r\n" + b"y" * BLOCK + b"\r\n"),
        "trailers": Form(chunks + b"0\r\n", b"X: y\r\n" * (BLOCK // 6)),
        "a trailer": Form(chunks + b"0\r\nX: ", b"y" * BLOCK),
        "a body of 100 GB": Form(post + huge, b"y" * BLOCK),
        "a body behind a refusal": Form(
            head(method, "/no/such/path", *headers) + huge, b"y" * BLOCK
        ),
        "requests": Form(b"", (get + b"\r\n") * 16),
        "refused requests": Form(b"", (unknown + b"\r\n") * 16),
        "bytes behind an upgrade": Form(
            get + b"Connection: upgrade\r\nUpgrade: websocket\r\n\r\n", b"\0" * BLOCK
        ),
        "bytes behind an expectation": Form(
            post + b"Expect: 100-continue\r\nContent-Length: 10\r\n\r\n", b"\0" * BLOCK
        ),
        "bytes behind CONNECT": Form(
            head("CONNECT", "127.0.0.1:80", *headers) + b"\r\n", b"\0" * BLOCK
        ),
        "bytes behind a request": Form(get + b"\r\n", b"\xff" * BLOCK),
    }
