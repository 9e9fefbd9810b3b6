# Licensed under the Apache License 2.0: see LICENSE for details.

"""Answers whose status is none, by the client that both interfaces use."""

from __future__ import annotations

from collections.abc import AsyncIterator

from tests.scriptedendpoint import ID, Asked, ScriptedEndpointCase
from walnutquay.exceptions import EndpointError, NotStartedError
from walnutquay.transport.client import HEADER_NOT_STARTED

INVALID = (
    *("000", "001", "099", "101", "0", "20", "2000", "+200", "-200", "2OO", "2 0", ""),
    *("0x1", "1e2", "600", "799", "999", "²00"),
)
VALID = ("200", "299", "404", "503", "599")


class InvalidStatusTest(ScriptedEndpointCase):
    """Bytes whose status is not one of an answer are no answer.

    Guards against a status of 000 that a caller got for an answer.
    """

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.status = ""
        self.headers: tuple[str, ...] = ()

        async def answer(asked: Asked) -> AsyncIterator[bytes]:
            lines = [f"HTTP/1.1 {self.status} X", f"{ID}: {asked.request}"]
            lines += [*self.headers, "Content-Length: 2", "", "no"]
            yield "\r\n".join(lines).encode()

        await self.start(answer)

    async def assert_no_answer(self, status: str, number: int, **more: object) -> None:
        """Assert that a status is an error which tells nothing of the request."""
        self.status = status
        with self.assertRaises(EndpointError) as raised:
            await self.call("/", f"r{number}", **more)
        self.assertNotIsInstance(raised.exception, NotStartedError)

    async def test_they_are_no_answers(self):
        for number, status in enumerate(INVALID):
            with self.subTest(status):
                await self.assert_no_answer(status, number)

    async def test_nor_are_they_on_connections_of_their_own(self):
        for number, status in enumerate(INVALID):
            with self.subTest(status):
                await self.assert_no_answer(status, number, repeatable=False)

    async def test_they_do_not_tell_that_nothing_was_begun(self):
        self.headers = (f"{HEADER_NOT_STARTED}: 1",)
        for number, status in enumerate(INVALID):
            with self.subTest(status):
                await self.assert_no_answer(status, number)

    async def test_the_next_request_gets_its_own_answer(self):
        for number, status in enumerate(INVALID):
            with self.subTest(status):
                await self.assert_no_answer(status, 2 * number)
                self.status = "200"
                self.assertEqual(await self.call("/", f"r{2 * number + 1}"), b"no")

    async def test_others_are_answers(self):
        for number, self.status in enumerate(VALID):
            with self.subTest(self.status):
                self.assertEqual(await self.call("/", f"r{number}"), b"no")
