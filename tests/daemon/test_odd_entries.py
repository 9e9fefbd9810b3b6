# Licensed under the Apache License 2.0: see LICENSE for details.

"""Objects that other programs wrote to the store, unlike any that we know of."""

from __future__ import annotations

from typing import Any

import logbook

from tests.gatewaycase import GatewayCase

# Stands in an object for a text that no encoder would write.
RAW = "a text of its own"
LONG_NUMBER = "9" * 5000


def deep(levels: int) -> str:
    """Return a text of so many levels."""
    return "[" * levels + "]" * levels


# No encoder of another VM writes as many levels as its parser reads: those around that
# number count.
RAW_TEXTS = {
    "a number of 5,000 digits": LONG_NUMBER,
    "a number beyond all": "1e400",
    "no number": "NaN",
    "foreign bytes": '"\xff"',
    "foreign bytes and a long number": f'["\xff", {LONG_NUMBER}]',
    "a lone surrogate and a long number": f'["\\udcff", -{LONG_NUMBER}]',
    **{f"{levels} levels": deep(levels) for levels in (249, 250, 251, 252, 253, 255)},
    "1,000 levels": deep(1000),
    "5,000 levels": deep(5000),
    "100,000 levels": deep(100_000),
    "many levels and a long number": f"[{deep(2000)}, {LONG_NUMBER}]",
}
# Fields of an endpoint's entry that nobody can use, or that are at the end of what is
# allowed.
FIELDS: dict[str, tuple[Any, ...]] = {
    # Of the loopback, as VMs connect to what is no address either while they can.
    "address": ("127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:99999"),
    "slots": (1 << 31, 1 << 64, -1),
    "coldLeftMs": (1 << 53, 1e308),
    "seq": (1 << 31, 1 << 64),
    "zone": ("x" * 500, "\x00", "a\nb", 'a"b'),
    "version": ("x" * 500, "\x00", "a\nb", 1 << 70),
    "service": ("x" * 500, "\x00"),
    "born": (0, 1 << 53, 1 << 64),
}
NAMES = ("", " ", "\x00", "a/b", "..", "x" * 5000, "ü", "a\r\nb", '"', "{}", "%2F")


class OddEntryCase(GatewayCase):
    """Two VMs, the second of which hears of changes from the first."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.others = await self.add_gateway("vm-2", [self.gateway])
        self.errors = logbook.TestHandler(level=logbook.ERROR, bubble=True)
        self.errors.push_application()
        self.addCleanup(self.errors.pop_application)
        self.added = 0

    async def assert_followed(self, served: bool = True) -> None:
        """Assert that both VMs learn of an endpoint that enters now, and serve."""
        name = f"next-{self.added}"
        self.added += 1
        await self.add_worker(name, "plain")
        for gateway in self.gateways:
            known = gateway.knowledge.instances.registry.known
            await self.until(lambda known=known: name in known)
            if served:
                answer = await self.call("/safe/x", gateway=gateway)
                self.assertEqual(answer.status, 200)
        await self.endpoints[name].stop()
        await self.store.remove("servers", name)
        for gateway in self.gateways:
            known = gateway.knowledge.instances.registry.known
            await self.until(lambda known=known: name not in known)

    async def assert_harmless(self, kind: str, name: str, spec: Any) -> None:
        """Assert that the VMs go on following the store beside an object."""
        await self.store.put(kind, name, spec)
        try:
            await self.assert_followed()
            # Whoever starts reads it in a list, and hears of it from another VM.
            third = await self.add_gateway(f"vm-{self.added + 2}", [self.gateway])
            await self.assert_followed()
            await self.close_gateway(third)
        finally:
            await self.store.remove(kind, name)
        texts = [record.message for record in self.errors.records]
        unforeseen = [text for text in texts if "failed" in text]
        self.assertEqual(unforeseen, [])
        self.errors.records.clear()


class OddEntryTest(OddEntryCase):
    """One odd entry among those of endpoints harms nothing else.

    Guards against VMs that stopped following the list of endpoints for an entry that
    was deep, had a number without end, or a port out of range.
    """

    async def test_texts_that_no_encoder_writes(self):
        spec = self.endpoints["p1"].spec("plain")
        for name, text in RAW_TEXTS.items():
            self.store.raw = {RAW: text}
            with self.subTest(name):
                await self.assert_harmless("servers", "odd", {**spec, "more": RAW})

    async def test_such_texts_in_the_place_of_a_field(self):
        spec = self.endpoints["p1"].spec("plain")
        for field in ("slots", "seq", "address", "version"):
            for name in ("a number of 5,000 digits", "1,000 levels", "no number"):
                self.store.raw = {RAW: RAW_TEXTS[name]}
                with self.subTest(field=field, text=name):
                    await self.assert_harmless("servers", "odd", {**spec, field: RAW})

    async def test_fields_that_nobody_can_use(self):
        for field, values in FIELDS.items():
            for value in values:
                spec = {**self.endpoints["p1"].spec("plain"), field: value}
                with self.subTest(field=field, value=value):
                    await self.assert_harmless("servers", "odd", spec)

    async def test_names(self):
        for name in NAMES:
            with self.subTest(name):
                spec = self.endpoints["p1"].spec("plain")
                await self.assert_harmless("servers", name, spec)


class OddObjectTest(OddEntryCase):
    """The same among objects of other kinds."""

    async def test_of_vms_orders_and_halls(self):
        spec = {"host": "127.0.0.1", "port": 7000, "hall": "hall-a"}
        odd = [
            {**spec, "port": 65536},
            {**spec, "x": RAW},
        ]
        order = {"service": "engine", "toVersion": "v2", "durationS": RAW}
        for name in ("a number of 5,000 digits", "1,000 levels", "250 levels"):
            self.store.raw = {RAW: RAW_TEXTS[name]}
            with self.subTest(name):
                for one in odd:
                    await self.assert_harmless("entry-vms", "odd", one)
                await self.assert_harmless("rollouts", "odd", order)
                await self.assert_harmless("evacuations", "odd", {"x": RAW})
                await self.assert_harmless("config", "odd", {"x": RAW})
