# Licensed under the Apache License 2.0: see LICENSE for details.

"""The callers' API over real processes: answers, headers, and bad input."""

from __future__ import annotations

import asyncio
import json
import os

from tests.fleetcase import OTHER_KEY, Answer, FleetCase
from walnutquay.protocol.chat import END_MARK

MESSAGES = [{"role": "user", "content": "x"}]

# What is sent, and the status and code that are stated.
BAD_BODIES = [
    (b"", 400, "bad_request"),
    (b"{", 400, "bad_request"),
    (b"[]", 400, "bad_request"),
    (b"\xff\xfe\x00", 400, "bad_request"),
    (b"{}", 400, "bad_request"),
    (b'{"model": 3, "messages": []}', 400, "bad_request"),
    (b'{"model": "answer"}', 400, "bad_request"),
    (b'{"model": "answer", "messages": []}', 400, "bad_request"),
    (b'{"model": "answer", "messages": ["x"]}', 400, "bad_request"),
    (
        json.dumps({"model": "answer", "messages": MESSAGES, "stream": 1}).encode(),
        400,
        "bad_request",
    ),
    (
        json.dumps({"model": "none", "messages": MESSAGES}).encode(),
        404,
        "model_not_found",
    ),
    (b"x" * 70_000, 413, "body_too_large"),
]


class CallersTest(FleetCase):
    """One entry VM is enough for most of what callers see."""

    vms = {"vm-a1": "hall-a"}
    settings = {"callers": {"body_limit": 65536, "request_seconds": 1.0}}

    def assert_refused(self, answer: Answer, status: int, code: str) -> None:
        """Check an error: its status, its code, and that it says "not run"."""
        self.assertEqual(answer.status, status, answer.body)
        self.assertEqual(answer.error["code"], code)
        self.assertEqual(answer.ran, "not_run")
        self.assertTrue(answer.error["message"])

    async def test_answers_say_who_served(self):
        answer = await self.chat("vm-a1", model="small-1")
        self.assertEqual(answer.status, 200)
        self.assertEqual(answer.headers["x-walnutquay-version"], "small-1")
        self.assertIn(answer.headers["x-walnutquay-endpoint"], self.engines)
        self.assertEqual(answer.headers["x-walnutquay-revision"], "1")
        request = answer.headers["x-walnutquay-request"]
        self.assertIn(request, answer.json["id"])
        self.assertTrue(answer.headers["x-walnutquay-token"])

    async def test_streams_are_whole_and_billed(self):
        answer = await self.chat("vm-a1", model="small-1", stream=True)
        self.assertEqual(answer.headers["content-type"], "text/event-stream")
        self.assertTrue(answer.body.endswith(END_MARK))
        self.assertEqual(answer.body.count(b"\n\n"), 18)

    async def test_bad_bodies_get_clear_errors(self):
        for body, status, code in BAD_BODIES:
            with self.subTest(body=body[:40]):
                answer = await self.send("vm-a1", "POST", "/v1/chat/completions", body)
                self.assert_refused(answer, status, code)
        self.assertEqual((await self.chat("vm-a1")).status, 200)
        self.assertEqual(sum((await self.dispatched_versions()).values()), 1)

    async def test_keys_tokens_paths_and_methods(self):
        token = (await self.chat("vm-a1")).headers["x-walnutquay-token"]
        cases = [
            (await self.chat("vm-a1", key=""), 401, "invalid_api_key"),
            (await self.chat("vm-a1", key="wrong"), 401, "invalid_api_key"),
            (await self.chat("vm-a1", key=OTHER_KEY), 403, "not_allowed"),
            (
                await self.chat("vm-a1", model="large-1", key=OTHER_KEY),
                403,
                "not_allowed",
            ),
            (
                await self.chat("vm-a1", header_x_walnutquay_token="forged"),
                401,
                "invalid_session_token",
            ),
            (
                await self.chat(
                    "vm-a1",
                    model="small-1",
                    key=OTHER_KEY,
                    header_x_walnutquay_token=token,
                ),
                401,
                "invalid_session_token",
            ),
            (
                await self.chat("vm-a1", header_x_walnutquay_deadline="soon"),
                400,
                "bad_request",
            ),
            (
                await self.send("vm-a1", "GET", "/v1/chat/completions"),
                405,
                "bad_request",
            ),
            (await self.send("vm-a1", "GET", "/nowhere"), 404, "bad_request"),
            (
                await self.send("vm-a1", "GET", "/services/none/x"),
                404,
                "service_not_found",
            ),
            (
                await self.send("vm-a1", "GET", "/services/booking/x", key=OTHER_KEY),
                403,
                "not_allowed",
            ),
        ]
        for answer, status, code in cases:
            with self.subTest(code=code, status=status):
                self.assert_refused(answer, status, code)

    async def test_services_get_method_path_query_and_body(self):
        answer = await self.send(
            "vm-a1",
            "PUT",
            "/services/booking/orders/7?lane=a%2Fb&x=1",
            b"raw \x00 bytes",
            x_custom="kept",
        )
        self.assertEqual(answer.status, 200)
        self.assertEqual(answer.json["method"], "PUT")
        self.assertEqual(answer.json["path"], "/orders/7?lane=a%2Fb&x=1")
        self.assertEqual(answer.json["echo"], "raw \x00 bytes")
        self.assertEqual(answer.json["organisation"], "first")

    async def test_a_cut_upload_and_a_slow_caller_do_no_harm(self):
        port = self.vm("vm-a1").process.ports["callers"]
        head = b"POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n"
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(head + b"content-length: 100\r\n\r\n{")
        await writer.drain()
        writer.close()
        slow_reader, slow_writer = await asyncio.open_connection("127.0.0.1", port)
        slow_writer.write(head)
        await slow_writer.drain()
        # The daemon gives the slow caller up by itself.
        answer = await asyncio.wait_for(slow_reader.read(), 10)
        self.assertIn(b" 408 ", answer.split(b"\r\n")[0] + b" ")
        slow_writer.close()
        self.assertEqual((await self.chat("vm-a1")).status, 200)

    async def test_headers_that_are_too_large(self):
        answer = await self.send("vm-a1", "GET", "/healthz", x_padding="x" * 7000)
        self.assertEqual(answer.status, 200)
        port = self.vm("vm-a1").process.ports["callers"]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"GET /healthz HTTP/1.1\r\nx-padding: " + b"x" * 40_000)
        answer = await asyncio.wait_for(reader.read(), 10)
        self.assertIn(b"413", answer.split(b"\r\n")[0])
        writer.close()

    async def test_health_and_readiness(self):
        for path in ("/healthz", "/readyz"):
            answer = await self.send("vm-a1", "GET", path, key="")
            self.assertEqual(answer.status, 200)

    async def test_nothing_secret_is_logged(self):
        await self.chat("vm-a1")
        await self.chat("vm-a1", key="a-wrong-key-that-was-sent")
        await self.send("vm-a1", "POST", "/v1/chat/completions", b"{")
        log = self.fleet.log_of("vm-a1")
        for secret in ("key-of-the", "operator-token", "fleet-key", "wrong-key"):
            self.assertNotIn(secret, log)


class DaemonProcessTest(FleetCase):
    """What the users forbid the daemon's process, and what it logs."""

    vms = {"vm-a1": "hall-a"}
    settings = {"log": {"format": "json", "events": True}}

    async def test_one_process_no_io_uring_no_shared_memory(self):
        await self.chat("vm-a1")
        pid = self.vm("vm-a1").process.handle.pid
        self.assertEqual(children(pid), [])
        self.assertEqual([d for d in descriptors(pid) if "io_uring" in d], [])
        self.assertEqual(shared_mappings(pid), [])

    async def test_logs_are_json_lines_with_the_events_of_the_time_line(self):
        answer = await self.chat("vm-a1", model="small-1")
        request = answer.headers["x-walnutquay-request"]
        lines = [json.loads(t) for t in self.fleet.log_of("vm-a1").splitlines()]
        self.assertEqual({line["vm"] for line in lines}, {"vm-a1"})
        kinds = [line["kind"] for line in lines if line.get("request") == request]
        wanted = ["received", "planned", "dispatched", "billed", "answered"]
        self.assertEqual(kinds, wanted)

    async def test_the_look_would_see_what_is_forbidden(self):
        # The test's own process has children: the fleet.
        self.assertTrue(children("self"))


def children(pid: int | str) -> list[str]:
    """:returns: the ids of a process's children."""
    found = []
    for task in os.listdir(f"/proc/{pid}/task"):
        with open(f"/proc/{pid}/task/{task}/children") as file:
            found.extend(file.read().split())
    return found


def descriptors(pid: int) -> list[str]:
    """:returns: what a process has open."""
    folder = f"/proc/{pid}/fd"
    return [os.readlink(f"{folder}/{name}") for name in os.listdir(folder)]


def shared_mappings(pid: int) -> list[str]:
    """:returns: the writable memory that a process shares."""
    with open(f"/proc/{pid}/maps") as file:
        lines = file.read().splitlines()
    return [line for line in lines if line.split()[1] == "rw-s"]
