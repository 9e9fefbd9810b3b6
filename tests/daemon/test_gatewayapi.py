# Licensed under the Apache License 2.0: see LICENSE for details.

"""Answers to the platform's callers, where a connection could pass for their end."""

from __future__ import annotations

import asyncio
import gzip

from standins.answers import ReadAnswer
from standins.worker import Behaviour
from tests.gatewaycase import HOST, KEY, GatewayCase, catalogue
from tests.rawcaller import RawCaller

EVENTS = 3


def request(method: str, path: str, version: str = "1.1", *headers: str) -> bytes:
    """:returns: a request without a body."""
    usual = (f"Host: {HOST}", f"Authorization: Bearer {KEY}", "Model: tiny")
    lines = (f"{method} {path} HTTP/{version}", *usual, *headers, "", "")
    return "\r\n".join(lines).encode()


class StreamConnectionTest(GatewayCase):
    """A stream's connection after it, and where it is cut."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.endpoints["e1"].default = Behaviour(events=EVENTS)

    async def answers(self, *sent: tuple[str, bytes]) -> list[ReadAnswer | None]:
        """Send requests at once, and read an answer for each.

        :param sent: methods and requests.
        """

        def talk() -> list[ReadAnswer | None]:
            with RawCaller(self.gateway.api.server.port) as caller:
                caller.send(b"".join(data for _, data in sent))
                return [caller.answer(method) for method, _ in sent]

        return await asyncio.to_thread(talk)

    async def test_another_answer_follows_a_stream_that_only_a_close_can_end(self):
        keep = "Connection: keep-alive"
        stream, other = await self.answers(
            ("GET", request("GET", "/stream/x", "1.0", keep)),
            ("GET", request("GET", "/open/x", "1.0", keep)),
        )
        self.assertEqual(stream.body.count(b"id: "), EVENTS)
        self.assertTrue(stream.body.endswith(b"word 3\n\n"), stream.body)
        self.assertIsNone(other)

    async def test_a_cut_stream_that_a_close_ends_is_not_whole(self):
        self.endpoints["e1"].default = Behaviour(events=EVENTS, cut_after=1)
        (answer,) = await self.answers(("GET", request("GET", "/once/x", "1.0")))
        self.assertFalse(answer is not None and answer.whole, answer)

    async def test_a_stream_that_a_stop_cuts_is_not_whole(self):
        gate = asyncio.Event()
        self.endpoints["e1"].default = Behaviour(events=EVENTS, gate=gate)
        caller = RawCaller(self.gateway.api.server.port)
        self.addCleanup(caller.socket.close)
        caller.send(request("GET", "/once/x", "1.0"))
        await asyncio.to_thread(caller.until, b"word 1\n\n")
        await self.gateway.api.server.stop()
        answer = await asyncio.to_thread(caller.answer)
        self.assertFalse(answer is not None and answer.whole, answer)


class BodyTest(GatewayCase):
    """Bodies reach endpoints as callers sent them."""

    async def test_an_encoded_body_is_decoded_on_its_way(self):
        for body in (gzip.compress(b"x" * 1000), b"no gzip at all"):
            with self.subTest(body=body):
                answer = await self.call("/unsafe/x", body, Content_Encoding="gzip")
                self.assertEqual(answer.status, 200)
                (run,) = self.endpoints["p1"].runs + self.endpoints["p2"].runs
                self.assertEqual(run.headers["content-encoding"], "gzip")
                self.assertEqual(run.body, body)
                self.endpoints["p1"].runs.clear()
                self.endpoints["p2"].runs.clear()


class InterimTest(GatewayCase):
    """An endpoint's answer that announces another one is not a caller's answer."""

    async def test_a_caller_waits_for_an_answer_behind_one_that_switches(self):
        for worker in self.endpoints.values():
            worker.default = Behaviour(status=101)
        answer = await self.call("/unsafe/x", b"b")
        self.assertEqual(answer.status, 502)
        self.assertNotIn("Reply-Seal", answer.headers)

    async def test_another_endpoint_is_asked_where_that_may_be(self):
        self.endpoints["p1"].default = Behaviour(status=101)
        for _ in range(4):
            self.assertEqual((await self.call("/safe/x")).status, 200)


class InvalidStatusTest(GatewayCase):
    """An answer whose status is none is not a caller's answer.

    Guards against a status of 000 that a caller got for an answer.
    """

    invalid = ("000", "020", "0", "2000", "+200", "600", "999")
    workers = {"p1": "plain", "p2": "plain", "e1": "engine", "e2": "engine"}

    async def test_callers_get_none_of_it(self):
        for status in self.invalid:
            for worker in self.endpoints.values():
                worker.default = Behaviour(status=status)
            for path in ("/unsafe/x", "/safe/x", "/once/x", "/stream/x"):
                with self.subTest(status=status, path=path):
                    answer = await self.call(path, b"b", Model="*")
                    self.assertIn(answer.status, (502, 503))
                    self.assertNotIn("Reply-Seal", answer.headers)

    async def test_another_endpoint_is_asked_where_that_may_be(self):
        for status in self.invalid:
            with self.subTest(status):
                self.endpoints["p1"].default = Behaviour(status=status)
                self.assertEqual((await self.call("/safe/x")).status, 200)


class UnreadableRequestTest(GatewayCase):
    """Requests that cannot be read or passed on as they are get a clear 400.

    Guards against 500 for numbers in headers, and against paths that were altered.
    """

    async def status_of(self, path: str, *headers: str) -> int:
        """Send a request, and return the status of its answer."""

        def talk() -> ReadAnswer | None:
            with RawCaller(self.gateway.api.server.port) as caller:
                caller.send(request("GET", path, "1.1", *headers))
                return caller.answer("GET")

        answer = await asyncio.to_thread(talk)
        return answer.status

    async def test_numbers_that_are_none_or_too_long(self):
        for name in ("Last-Event-Id", "Length-Hint", "Token-Count"):
            for value in ("9" * 5000, "9" * 19, "\N{SUPERSCRIPT TWO}"):
                with self.subTest(name=name, value=value[:20]):
                    header = f"{name}: {value}"
                    self.assertEqual(await self.status_of("/stream/x", header), 400)
        parts = "Prefix-Hash: 5c1e:\N{SUPERSCRIPT TWO}"
        self.assertEqual(await self.status_of("/stream/x", parts), 400)
        self.assertEqual(self.runs(), 0)

    async def test_paths_that_could_not_be_passed_on_as_they_are(self):
        for path in ("/safe/x?", "/safe/x#part"):
            with self.subTest(path=path):
                self.assertEqual(await self.status_of(path), 400)
        self.assertEqual(self.runs(), 0)

    async def test_others_are_passed_on(self):
        for path in ("/safe/x?a", "/safe/x?a=%3F", "/safe/x?a=", "/safe/x"):
            with self.subTest(path=path):
                self.assertEqual(await self.status_of(path), 200)
        seen = [run.target for w in self.endpoints.values() for run in w.runs]
        self.assertIn("/safe/x?a=%3F", seen)


class NoOrganisationsTest(GatewayCase):
    """A configuration whose list of organisations is empty lets no key in.

    Guards against callers whose keys were all taken away, and who were served without.
    """

    async def configure(self, **more: object) -> None:
        """Bring another configuration into force."""
        await self.store.put("config", "main", catalogue(2, **more))
        known = self.gateway.knowledge.catalogue
        await self.until(lambda: known.current.version == 2)

    async def test_no_key_is_accepted(self):
        await self.configure(tenants=[])
        for headers in ({}, {"Authorization": ""}, {"Authorization": "Bearer other"}):
            with self.subTest(headers=headers):
                self.assertEqual((await self.call("/safe/x", **headers)).status, 401)
        self.assertEqual(self.runs(), 0)
        self.assertEqual((await self.call("/open/x")).status, 200)

    async def test_none_is_needed_where_there_is_no_list(self):
        await self.configure(tenants=None)
        self.assertEqual((await self.call("/safe/x", Authorization="")).status, 200)


class AnonymousCallerTest(GatewayCase):
    """Callers without a known key act for no organisation.

    Guards against requests without a key that ran under an organisation's name, which
    was the one that callers without a key had here.
    """

    async def set_organisations(self, *organisations: dict[str, object]) -> None:
        """Bring a configuration with these organisations as well into force."""
        current = catalogue(2)
        current["tenants"] += organisations
        await self.store.put("config", "main", current)
        known = self.gateway.knowledge.catalogue
        await self.until(lambda: known.current.version == 2)

    async def named(self, path: str, **headers: str) -> str | None:
        """Return the organisation that an endpoint is told of a request."""
        before = {name: len(one.runs) for name, one in self.endpoints.items()}
        self.assertEqual((await self.call(path, **headers)).status, 200)
        [seen] = [
            run for n, one in self.endpoints.items() for run in one.runs[before[n] :]
        ]
        return seen.headers.get("tenant")

    async def test_public_routes_name_no_organisation(self):
        self.assertIsNone(await self.named("/open/x", Authorization=""))

    async def test_public_routes_name_no_organisation_whatever_names_there_are(self):
        names = ("public", "PUBLIC", "anonymous", "none", "None", "nobody", "-", " ")
        await self.set_organisations(
            *({"name": name, "apiKeys": [f"key {name}"]} for name in names)
        )
        self.assertIsNone(await self.named("/open/x", Authorization=""))

    async def test_callers_cannot_name_one_themselves(self):
        named = await self.named("/open/x", Authorization="", Tenant="org-a")
        self.assertIsNone(named)

    async def test_unknown_and_empty_keys_name_no_organisation(self):
        await self.set_organisations({"name": "org-c", "apiKeys": [""]})
        for key in ("", "Bearer ", "Bearer other", "Basic other", "Bearer org-a"):
            with self.subTest(key=key):
                self.assertIsNone(await self.named("/open/x", Authorization=key))

    async def test_a_known_key_names_its_organisation_on_public_routes_too(self):
        self.assertEqual(await self.named("/open/x"), "org-a")

    async def test_an_organisation_called_public_is_named_by_its_key(self):
        await self.set_organisations({"name": "public", "apiKeys": ["its-key"]})
        for path in ("/safe/x", "/unsafe/x", "/open/x"):
            with self.subTest(path=path):
                named = await self.named(path, Authorization="Bearer its-key")
                self.assertEqual(named, "public")
