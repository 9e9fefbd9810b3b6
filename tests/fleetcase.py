# Licensed under the Apache License 2.0: see LICENSE for details.

"""A small fleet of real processes for tests, and what callers do with it."""

from __future__ import annotations

import asyncio
import json
import unittest
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import aiohttp
from yarl import URL

from standins.fleet import HANG_SECONDS, Fleet, Vm
from walnutquay.state.own.bills import BillRecord, decode_records
from walnutquay.state.process.keys import key_hash

KEY = "key-of-the-first-organisation"
OTHER_KEY = "key-of-the-second-organisation"
QUALITY = {"small-1": 0.6, "small-2": 0.6, "large-1": 0.95}
# Characters of a VM's log that are shown where it fails.
LOG_SHOWN = 4000


@dataclass
class Answer:
    """An answer as a caller gets it."""

    status: int
    headers: Mapping[str, str]
    body: bytes
    # Whether the answer ended as its framing says.
    whole: bool = True

    @property
    def json(self) -> Any:
        """The body, parsed."""
        return json.loads(self.body)

    @property
    def error(self) -> dict[str, Any]:
        """The error in the body."""
        return self.json["error"]

    @property
    def ran(self) -> str | None:
        """What the error says of whether the request was run."""
        return self.error.get("ran")


class FleetCase(unittest.IsolatedAsyncioTestCase):
    """Starts a platform, engines, a service and entry VMs for each test.

    Subclasses change the class attributes, or :meth:`content`.
    """

    vms: Mapping[str, str] = {"vm-a1": "hall-a", "vm-b1": "hall-b"}
    settings: Mapping[str, dict] = {}
    engines = ("engine-1", "engine-2")
    engine_options: Mapping[str, Any] = {}
    services = ("service-1",)
    service_options: Mapping[str, Any] = {}

    async def asyncSetUp(self) -> None:
        self.fleet = self.make_fleet()
        await self.fleet.__aenter__()
        self.addAsyncCleanup(self.fleet.__aexit__)
        await asyncio.gather(
            self.fleet.start_platform(),
            *(self.start_engine(name) for name in self.engines),
            *(self.start_service(name) for name in self.services),
        )
        await asyncio.gather(
            *(self.fleet.start_vm(n, h, self.settings) for n, h in self.vms.items())
        )
        await self.fleet.wait_for_members()
        await self.fleet.apply(self.content())

    def make_fleet(self) -> Fleet:
        """:returns: the fleet, not started."""
        return Fleet()

    async def start_engine(self, name: str, **more: Any) -> None:
        """Start an engine that has all versions."""
        options = {"versions": QUALITY, **self.engine_options, **more}
        url = await self.fleet.stand_in("engine", name, name=name, **options)
        self.urls[name] = url

    async def start_service(self, name: str) -> None:
        """Start an endpoint of the service."""
        url = await self.fleet.stand_in(
            "service", name, name=name, **self.service_options
        )
        self.urls[name] = url

    def setUp(self) -> None:
        self.urls: dict[str, str] = {}

    def content(self) -> dict[str, Any]:
        """:returns: the configuration that is applied at the start."""
        versions = list(QUALITY)
        engines = [
            {
                "name": name,
                "pool": "models",
                "hall": "hall-a",
                "address": self.urls[name],
                "versions": versions,
                "slots": 8,
            }
            for name in self.engines
        ]
        services = [
            {
                "name": name,
                "pool": "apps",
                "hall": "hall-a",
                "address": self.urls[name],
                "service": "booking",
                "slots": 16,
            }
            for name in self.services
        ]
        allowed = {
            "versions": versions,
            "cascades": ["answer"],
            "services": ["booking"],
        }
        return {
            "organisations": [
                {"name": "first", "keys": [key_hash(KEY)], **allowed},
                {
                    "name": "second",
                    "keys": [key_hash(OTHER_KEY)],
                    "versions": ["small-1"],
                },
            ],
            "versions": [
                {"name": "small-1", "model": "small", "price_output": 0.5},
                {"name": "small-2", "model": "small", "price_output": 0.5},
                {"name": "large-1", "model": "large", "price_output": 5.0},
            ],
            "cascades": [
                {"name": "answer", "steps": ["small", "large"], "quality": 0.6}
            ],
            "pools": [
                {"name": "models", "work": "patient"},
                {"name": "apps", "work": "quick"},
            ],
            "services": [{"name": "booking", "pool": "apps", "price_call": 1.0}],
            "endpoints": engines + services,
        }

    def vm(self, name: str) -> Vm:
        """:param name: an entry VM's name."""
        return self.fleet.vms[name]

    async def send(
        self,
        vm: str,
        method: str,
        path: str,
        body: Any = None,
        key: str = KEY,
        may_break: bool = False,
        **headers: str,
    ) -> Answer:
        """Send a request as a caller.

        :param vm: the entry VM to send to.
        :param method: the HTTP method.
        :param path: the path.
        :param body: JSON, or bytes as they are.
        :param key: the caller's key.
        :param may_break: whether an answer may break off; otherwise that is an error.
        :param headers: headers; underscores stand for hyphens.
        """
        sent = {name.replace("_", "-"): value for name, value in headers.items()}
        if key:
            sent["authorization"] = f"Bearer {key}"
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        url = URL(self.vm(vm).url("callers") + path, encoded=True)
        async with self.fleet.session.request(
            method, url, data=None if body is None else data, headers=sent
        ) as answer:
            if answer.status == 500:
                # An entry VM never means to say this; its log tells the cause.
                print(self.fleet.log_of(vm)[-LOG_SHOWN:])
            got = {name.lower(): value for name, value in answer.headers.items()}
            body, whole = b"", True
            try:
                async for part in answer.content.iter_any():
                    body += part
            except aiohttp.ClientPayloadError:
                if not may_break:
                    raise
                whole = False
            return Answer(answer.status, got, body, whole)

    async def chat(self, vm: str, prompt: str = "hello", **more: Any) -> Answer:
        """Send a chat request.

        :param vm: the entry VM.
        :param prompt: the user's message.
        :param more: fields of the body; names beginning with ``header_`` are
            headers, ``key`` is the caller's key, and ``may_break`` is as for
            :meth:`send`.
        """
        headers = {
            name.removeprefix("header_"): more.pop(name)
            for name in list(more)
            if name.startswith("header_")
        }
        key = more.pop("key", KEY)
        may_break = more.pop("may_break", False)
        body = {"model": "answer", **more}
        body["messages"] = [{"role": "user", "content": prompt}]
        path = "/v1/chat/completions"
        return await self.send(vm, "POST", path, body, key, may_break, **headers)

    async def book(self, vm: str, order: str, key: str = "", **headers: str) -> Answer:
        """Make a booking, which may not be repeated.

        :param vm: the entry VM.
        :param order: what is booked.
        :param key: the idempotency key, if any.
        """
        if key:
            headers["idempotency_key"] = key
        return await self.send(
            vm, "POST", "/services/booking/orders", {"order": order}, **headers
        )

    async def effects(self, endpoint: str) -> list[list]:
        """:param endpoint: an engine or service.

        :returns: what was begun there: the judges' word.
        """
        return (await self.fleet.control(self.urls[endpoint], "effects"))["effects"]

    async def dispatched_versions(self) -> Counter[str]:
        """:returns: how often each version was begun, over all engines."""
        found: Counter[str] = Counter()
        for name in self.engines:
            found.update(version for _, version, _ in await self.effects(name))
        return found

    async def bill_records(self) -> list[BillRecord]:
        """:returns: all bill records that the platform holds."""
        path = "snapshot?prefix=bills/"
        objects = await self.fleet.control(self.fleet.platform, path)
        return [
            record
            for _, value in objects.values()
            for record in decode_records(value.encode("latin-1"))
        ]

    async def until(self, condition, what: str) -> None:
        """Wait until something holds.

        :param condition: a coroutine function that tells.
        :param what: what it is, for the failure.
        """
        try:
            async with asyncio.timeout(HANG_SECONDS):
                while not await condition():  # noqa: ASYNC110
                    await asyncio.sleep(0.05)
        except TimeoutError:
            self.fail(f"did not come about: {what}")

    async def events(self, vm: str, **query: str) -> list[dict]:
        """:param vm: an entry VM.

        :returns: the events that it has kept.
        """
        text = "&".join(f"{name}={value}" for name, value in query.items())
        _, events = await self.fleet.administer(
            self.vm(vm), "GET", f"/v1/timeline?{text}"
        )
        return events

    async def status(self, vm: str) -> dict[str, Any]:
        """:param vm: an entry VM."""
        _, status = await self.fleet.administer(self.vm(vm), "GET", "/v1/status")
        return status
