# Licensed under the Apache License 2.0: see LICENSE for details.

"""The strict reader of answers: what it takes, and what it takes for none."""

from __future__ import annotations

import http.client
import io
import unittest
from types import SimpleNamespace

from standins.answers import End, NotAnAnswerError, ReadAnswer, take_answer

OK = b"HTTP/1.1 200 OK\r\n"
WHOLE = {
    "length": OK + b"Content-Length: 5\r\n\r\nwhole",
    "chunks": OK
    + b"Transfer-Encoding: chunked\r\n\r\n2\r\nwh\r\n3\r\nole\r\n0\r\n\r\n",
    "no body": b"HTTP/1.1 204 No Content\r\n\r\n",
}
NEXT = b"HTTP/1.1 404 Not Found\r\n"
NO_ANSWERS = (
    b"and more",
    b"HTTP/2 200 OK\r\n\r\n",
    b"HTTP/1.1 200 OK\nContent-Length: 0\r\n\r\n",
    b"HTTP/1.1 100 Continue\r\n\r\n",
    OK + b"no header\r\n\r\n",
    OK + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
    OK + b"Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    OK + b"Content-Length: +1\r\n\r\na",
    OK + b"Transfer-Encoding: chunked\r\n\r\n0x1\r\na\r\n0\r\n\r\n",
    OK + b"Transfer-Encoding: chunked\r\n\r\n1\r\nab\r\n0\r\n\r\n",
)


def read_leniently(data: bytes) -> tuple[int, bytes]:
    """:returns: the status and the body as the standard library reads them."""
    source = SimpleNamespace(makefile=lambda mode: io.BytesIO(data))
    answer = http.client.HTTPResponse(source)
    answer.begin()
    return answer.status, answer.read()


class WholeTest(unittest.TestCase):
    """Whole answers, and what follows them."""

    def test_as_the_standard_library_reads_them(self):
        for name, data in WHOLE.items():
            with self.subTest(name):
                answer, rest = take_answer(data + NEXT, "GET")
                self.assertTrue(answer.whole)
                self.assertEqual(rest, NEXT)
                self.assertEqual((answer.status, answer.body), read_leniently(data))

    def test_each_beginning_asks_for_more(self):
        for name, data in WHOLE.items():
            for size in range(len(data)):
                with self.subTest(name, size=size):
                    self.assertIsNone(take_answer(data[:size], "GET"))

    def test_one_to_a_request_for_the_head(self):
        answer, rest = take_answer(OK + b"Content-Length: 5\r\n\r\n" + NEXT, "HEAD")
        self.assertEqual((answer.body, answer.whole, rest), (b"", True, NEXT))


class CutTest(unittest.TestCase):
    """Connections that end within an answer, or with it."""

    def ended(self, data: bytes, end: End) -> ReadAnswer:
        answer, rest = take_answer(data, "GET", end)
        self.assertEqual(rest, b"")
        return answer

    def test_a_body_that_is_cut(self):
        for name in ("length", "chunks"):
            with self.subTest(name):
                data = WHOLE[name][:-1]
                self.assertFalse(self.ended(data, End.CLOSED).whole)

    def test_a_body_that_the_connection_ends(self):
        self.assertIsNone(take_answer(OK + b"\r\nwhole", "GET"))
        self.assertTrue(self.ended(OK + b"\r\nwhole", End.CLOSED).whole)
        self.assertFalse(self.ended(OK + b"\r\nwhole", End.RESET).whole)


class RefusedTest(unittest.TestCase):
    """Bytes that are no answer, though the standard library takes some of them."""

    def test_they_are_no_answers(self):
        for data in NO_ANSWERS:
            with self.subTest(data=data), self.assertRaises(NotAnAnswerError):
                take_answer(data, "GET")
