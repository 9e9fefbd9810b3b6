# Licensed under the Apache License 2.0: see LICENSE for details.

"""Bad input at the platform's face: clear errors, and nothing reaches endpoints."""

from __future__ import annotations

import random

from tests.gatewaycase import HOST, KEY, GatewayCase

HEAD = f"Host: {HOST}\r\nAuthorization: Bearer {KEY}\r\nConnection: close\r\n"
SEED = 20261202
ROUNDS = 150


def request(line: str, *headers: str, body: bytes = b"") -> bytes:
    """:returns: a request with the usual headers and these."""
    more = "".join(f"{header}\r\n" for header in headers)
    return f"{line}\r\n{HEAD}{more}\r\n".encode("latin-1") + body


class MalformedTest(GatewayCase):
    """Heads that are not what they should be."""

    async def refused(self, data: bytes, *statuses: int) -> None:
        """Send bytes; check the status, and that no endpoint ran anything."""
        answer = await self.raw(data)
        self.assertRegex(answer, rb"^HTTP/[01]\.[019] ")
        self.assertIn(int(answer[9:12]), statuses, answer)
        self.assertNotIn(b"Reply-Seal", answer)
        self.assertEqual(self.runs(), 0)

    async def test_two_lengths(self):
        for second in ("Content-Length: 6", "Transfer-Encoding: chunked"):
            with self.subTest(second=second):
                head = ("Content-Length: 5", second)
                body = b"0\r\n\r\nGET /unsafe/smuggled HTTP/1.1\r\n\r\n"
                await self.refused(
                    request("POST /unsafe/x HTTP/1.1", *head, body=body), 400
                )

    async def test_bad_framing(self):
        for header in (
            "Content-Length: -1",
            "Content-Length: 5, 6",
            "Transfer-Encoding: chunked, gzip",
            "Transfer-Encoding: xchunked",
            "Transfer-Encoding : chunked",
        ):
            with self.subTest(header=header):
                data = request("POST /unsafe/x HTTP/1.1", header, body=b"12345")
                await self.refused(data, 400)

    async def test_bad_lines(self):
        for line in (
            "GET /safe/x",
            "GET /safe/x HTTP/9.9",
            "GE T /safe/x HTTP/1.1",
            "GET safe HTTP/1.1",
        ):
            with self.subTest(line=line):
                await self.refused(request(line), 400, 404, 505)

    async def test_two_hosts(self):
        await self.refused(request("GET /safe/x HTTP/1.1", "Host: other"), 400)

    async def test_bad_numbers(self):
        for value in ("soon", "-5", "nan", "1e99"):
            with self.subTest(value=value):
                data = request("GET /safe/x HTTP/1.1", f"Deadline: {value}")
                await self.refused(data, 400)

    async def test_a_body_that_is_too_long(self):
        data = request("POST /unsafe/x HTTP/1.1", "Content-Length: 100001")
        await self.refused(data, 413)

    async def test_a_chunked_body_that_is_too_long(self):
        chunk = b"186a1\r\n" + b"x" * 100_001 + b"\r\n0\r\n\r\n"
        head = "Transfer-Encoding: chunked"
        await self.refused(request("POST /unsafe/x HTTP/1.1", head, body=chunk), 413)

    async def test_headers_that_are_too_long(self):
        data = request("GET /safe/x HTTP/1.1", "X-Long: " + "x" * 20_000)
        await self.refused(data, 400, 431)

    async def test_unknown_routes_and_keys(self):
        cases = (
            (f"GET /nowhere/x HTTP/1.1\r\nHost: {HOST}", 404),
            ("GET /safe/x HTTP/1.1\r\nHost: other.example", 404),
            (f"GET /safe/x HTTP/1.1\r\nHost: {HOST}", 401),
            (f"GET /safe/x HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Bearer x", 401),
        )
        for head, status in cases:
            with self.subTest(head=head):
                data = f"{head}\r\nConnection: close\r\n\r\n".encode()
                await self.refused(data, status)


class ForgedTest(GatewayCase):
    """Headers that only this router may set."""

    async def test_the_callers_own_are_dropped(self):
        for name in ("p1", "p2"):
            self.endpoints[name].default.headers = {}
        forged = {
            "Tenant": "org-b",
            "Target_Instance": "p9",
            "Kv_From": "1.2.3.4:5/x",
            "Kv_Backup": "1.2.3.4:5",
            "Hold": "h",
            "Pin_Ms": "9",
            "Request_Priority": "0",
        }
        answer = await self.call("/unsafe/x", b"b", **forged)
        self.assertEqual(answer.status, 200)
        run = (self.endpoints["p1"].runs + self.endpoints["p2"].runs)[0]
        self.assertEqual(run.headers["tenant"], "org-a")
        self.assertIn(run.headers["target-instance"], ("p1", "p2"))
        for name in ("kv-from", "kv-backup", "hold", "pin-ms", "request-priority"):
            self.assertNotIn(name, run.headers)

    async def test_headers_of_one_connection_are_dropped(self):
        await self.call("/unsafe/x", b"b", Connection="x-one, keep-alive", X_One="1")
        run = (self.endpoints["p1"].runs + self.endpoints["p2"].runs)[0]
        self.assertNotIn("x-one", run.headers)


class RandomBytesTest(GatewayCase):
    """Requests with a few bytes changed never become another request."""

    async def test_mutations(self):
        rng = random.Random(SEED)
        whole = request("POST /unsafe/x HTTP/1.1", "Content-Length: 4", body=b"abcd")
        for _ in range(ROUNDS):
            data = bytearray(whole)
            for _ in range(rng.randint(1, 4)):
                data[rng.randrange(len(data))] = rng.randrange(256)
            cut = rng.randint(len(data) // 2, len(data))
            await self.raw(bytes(data[:cut]), last=True)
        for name in ("p1", "p2"):
            for run in self.endpoints[name].runs:
                self.assertTrue(run.target.startswith("/unsafe/"), run)
        self.assertEqual((await self.call("/safe/x")).status, 200)
