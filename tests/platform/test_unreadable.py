# Licensed under the Apache License 2.0: see LICENSE for details.

"""Objects of the store that others wrote, and that cannot be read."""

from __future__ import annotations

import json
import os
import unittest
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.gatewaycase import GatewayCase, catalogue
from walnutquay.commands.fleetstate import concerns, read_figures, state_of
from walnutquay.exceptions import MessageError
from walnutquay.platform.exports import exported_object, packed_export
from walnutquay.platform.lenient import MAX_DEPTH, is_plain, read_json
from walnutquay.platform.objects import StoredObject
from walnutquay.platform.records import (
    decode_catalogue,
    decode_instance,
    decode_order,
    decode_vm,
)
from walnutquay.state.process.events import EventKind
from walnutquay.state.process.revisions import StoreRevision

ENDPOINT = {
    "service": "plain",
    "address": "10.0.0.1:80",
    "zone": "hall-a",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "coldLeftMs": 0,
    "seq": 1,
}
ORDER = {"service": "engine", "toVersion": "v2", "durationS": 20}
VM = {"host": "10.0.0.1", "port": 7000, "hall": "hall-a"}
# Of no field's type or range.
FOREIGN = (None, [], {}, True, -1, "", 1e400, "x" * 1000)
# field of an endpoint's entry -> further values that are none
FOREIGN_FIELDS = {
    "address": (
        *("10.0.0.1", "host:80", "10.0.0.1:80/x", 80, "10.0.0.1:0", "10.0.0.1:65536"),
        *("10.0.0.1:99999", "10.0.0.1:000080", "10.0.0.1:-1", "10.0.0.1:+80"),
        *("999.0.0.1:80", "256.1.1.1:80", "١٠.0.0.1:80", "10.0.0.1:٨٠", "1.2.3:80"),
        *("10.0.0.1:80\n", " 10.0.0.1:80", "10.0.0.1: 80", "[::1]:80", ":80"),
    ),
    "zone": (7, ["hall-a"]),
    "version": (1.5, ["v1"]),
    "slots": ("8", 8.5, 0, 1 << 40),
    "state": ("retired", "READY", 1),
    "coldLeftMs": ("0",),
    "seq": ("1", 1.5),
    "service": (7, ["plain"]),
}
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=20),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=10), inner, max_size=4)
    ),
    max_leaves=20,
)
# Each run searches the same examples; given a number, it searches so many new ones.
MORE = int(os.environ.get("WALNUTQUAY_EXAMPLES", "0"))
SEARCH = settings(derandomize=not MORE, max_examples=MORE or 300, deadline=None)


def changed(spec: dict[str, Any], name: str, value: Any) -> dict[str, Any]:
    """:returns: an object's content with one field changed."""
    return {**spec, name: value}


class EndpointTest(unittest.TestCase):
    """An entry is read whole, or it names nothing to use."""

    def test_as_endpoints_write_it(self):
        self.assertEqual(decode_instance("e", ENDPOINT).address, "http://10.0.0.1:80")
        more = {"born": 1_700_000_000_000, "stage": "hybrid", "models": []}
        self.assertEqual(decode_instance("e", {**ENDPOINT, **more}).born, more["born"])

    def test_each_field_missing_or_of_another_kind(self):
        tried = 0
        for name in ENDPOINT:
            without = {key: value for key, value in ENDPOINT.items() if key != name}
            cases = [without]
            for value in (*FOREIGN, *FOREIGN_FIELDS[name]):
                # A whole number is a version as well.
                if not (name == "version" and value == -1):
                    cases.append(changed(ENDPOINT, name, value))
            for spec in cases:
                tried += 1
                with self.subTest(name, spec=spec), self.assertRaises(MessageError):
                    decode_instance("e", spec)
        self.assertGreater(tried, 80)

    def test_names_that_no_header_can_carry(self):
        for name in ("", " ", "\x00", "a\r\nb", "a\n", " a", "a ", "\udcff", "x" * 501):
            with self.subTest(name), self.assertRaises(MessageError):
                decode_instance(name, ENDPOINT)
        for name in ("i-7f3a91c2", "a b", "ü", '"', "x" * 500):
            with self.subTest(name):
                self.assertEqual(decode_instance(name, ENDPOINT).name, name)

    def test_a_time_of_start_of_another_kind(self):
        for value in ("1700000000000", 1.5, True, -1, [], 1 << 60):
            with self.subTest(value), self.assertRaises(MessageError):
                decode_instance("e", changed(ENDPOINT, "born", value))

    @SEARCH
    @given(JSON)
    def test_any_content(self, spec):
        with self.assertRaises(MessageError):
            decode_instance("e", spec)

    @SEARCH
    @given(st.sampled_from(sorted(ENDPOINT)), JSON)
    def test_any_value_of_a_field(self, name, value):
        try:
            instance = decode_instance("e", changed(ENDPOINT, name, value))
        except MessageError:
            return
        self.assertRegex(instance.address, r"^http://[\d.]+:\d+$")
        self.assertTrue(instance.service and instance.hall and instance.version)
        self.assertGreaterEqual(instance.slots, 1)


class OtherObjectsTest(unittest.TestCase):
    """Configuration, orders and VMs' entries: our errors, and no others."""

    def test_as_they_are_written(self):
        self.assertEqual(len(decode_catalogue(catalogue()).routes), 5)
        self.assertEqual(decode_order("engine", 1, ORDER, None).version, "v2")
        self.assertEqual(decode_vm("vm-1", VM).address.port, 7000)

    def test_organisations_may_have_any_name(self):
        for name in (":", "Größe & Co.", "A" * 100):
            spec = catalogue()
            spec["tenants"][0]["name"] = name
            with self.subTest(name):
                self.assertIn(name, decode_catalogue(spec).organisations)

    def test_no_organisation_is_without_a_name(self):
        """Guards against one that callers without a key would act for."""
        spec = catalogue()
        spec["tenants"][0]["name"] = ""
        with self.assertRaises(MessageError):
            decode_catalogue(spec)

    @SEARCH
    @given(JSON, JSON)
    def test_any_content(self, spec, status):
        for decode in (
            lambda: decode_catalogue(spec),
            lambda: decode_order("o", 1, spec, status),
            lambda: decode_vm("vm", spec),
        ):
            with self.assertRaises(MessageError):
                decode()

    @SEARCH
    @given(JSON)
    def test_any_status_of_an_order(self, status):
        self.assertEqual(decode_order("o", 1, ORDER, status).seconds, 20.0)

    @SEARCH
    @given(st.data(), JSON)
    def test_any_value_anywhere_in_a_configuration(self, data, value):
        spec = json.loads(json.dumps(catalogue()))
        inside: Any = spec
        while True:
            keys = list(inside) if isinstance(inside, dict) else range(len(inside))
            key = data.draw(st.sampled_from(list(keys)))
            if not (isinstance(inside[key], dict | list) and inside[key]):
                break
            inside = inside[key]
        inside[key] = value
        try:
            decode_catalogue(spec)
        except MessageError:
            return


class LenientTest(unittest.TestCase):
    """A list holds though one object in it is of foreign bytes."""

    GOOD = b'{"items": [{"metadata": {"name": "a"}}, %s]}'

    def names(self, item: bytes) -> list[str]:
        found = read_json(self.GOOD % item)["items"]
        return [one["metadata"]["name"] for one in found if isinstance(one, dict)]

    def test_foreign_items(self):
        deep = b"[" * 100_000 + b"]" * 100_000
        for item in (b'"\xff\xfe"', b'"\\udcff"', b"NaN", b"[1e999]", b"9" * 400, deep):
            with self.subTest(item[:20]):
                self.assertEqual(self.names(item), ["a"])

    def test_no_json_at_all(self):
        for content in (b"", b"{", b"\xff", b"[" * 100_000):
            with self.subTest(content[:20]), self.assertRaises(ValueError):
                read_json(content)

    def test_whole_numbers_of_any_length(self):
        digits = "9" * 5000
        for text in (digits, f"-{digits}", f'["\\udcff", {digits}]'):
            with self.subTest(text[:20]):
                found = read_json(f'{{"a": {text}, "b": 7, "c": {"9" * 18}}}'.encode())
                self.assertEqual((found["b"], found["c"]), (7, int("9" * 18)))

    def test_what_other_vms_can_be_told(self):
        self.assertTrue(is_plain(read_json(b"[" * 200 + b"]" * 200)))
        for levels in range(240, 300):
            value = read_json(b"[" * levels + b"]" * levels)
            if is_plain(value):
                exported_object(StoredObject("e", StoreRevision(1, 1), value))
                packed_export(StoreRevision(1, 1), events=[{"stored": {"spec": value}}])

    def test_what_is_not_deep_is_kept(self):
        for depth in (1, MAX_DEPTH):
            text = b"[" * depth + b'"]]"' + b"]" * depth
            self.assertEqual(read_json(text + b" "), json.loads(text))

    @SEARCH
    @given(st.binary(max_size=200))
    def test_any_bytes(self, content):
        try:
            read_json(content)
        except ValueError:
            return


class FleetTest(GatewayCase):
    """VMs use what can be read, and go on where something cannot."""

    async def served(self) -> bool:
        """:returns: whether requests are served, by the endpoints that are sound."""
        answers = [await self.call("/safe/x") for _ in range(4)]
        return all(answer.status == 200 for answer in answers)

    def told(self) -> list[tuple[str, str]]:
        """:returns: kinds and names of the objects that the log tells of."""
        events = self.gateway.context.timeline.ring.events
        found = [e for e in events if e.kind is EventKind.UNREADABLE]
        return [(dict(e.facts)["object_kind"], dict(e.facts)["name"]) for e in found]

    async def test_entries_of_another_writer(self):
        worker = self.endpoints["p1"]
        foreign = {
            "junk-1": "not even an object",
            "junk-2": {"service": "plain", "address": worker.address},
            "junk-3": worker.spec("plain", state="retired"),
            "junk-4": worker.spec("plain", slots=float("inf")),
            "junk-5": worker.spec("plain", zone="\udcff"),
            "junk-6": None,
        }
        for name, spec in foreign.items():
            await self.store.put("servers", name, spec)
        await self.add_worker("p3", "plain")
        known = self.gateway.knowledge.instances.registry.known
        await self.until(lambda: "p3" in known)
        self.assertEqual(set(known), {"p1", "p2", "p3", "e1"})
        self.assertTrue(await self.served())
        self.assertEqual(len(set(self.told())), len(foreign))
        lines = list(self.gateway.metrics_api.lines())
        label = 'kind="servers"'
        self.assertIn(f"walnutquay_unreadable{{{label}}} {len(foreign)}", lines)
        state = state_of("vm-1", read_figures("\n".join(lines) + "\n"))
        self.assertIn("cannot be read", " ".join(concerns([state])))

    async def test_an_entry_that_could_be_read_before(self):
        known = self.gateway.knowledge.instances.registry.known
        await self.store.put("servers", "p1", {"service": "plain"})
        await self.until(lambda: "p1" not in known)
        before = self.runs("p1")
        self.assertTrue(await self.served())
        self.assertEqual(self.runs("p1"), before)
        await self.store.put("servers", "p1", self.endpoints["p1"].spec("plain"))
        await self.until(lambda: "p1" in known)
        lines = list(self.gateway.metrics_api.lines())
        self.assertFalse([line for line in lines if "unreadable{" in line])

    async def test_a_vm_that_starts_and_one_that_hears_from_it(self):
        await self.store.put("servers", "junk", {"address": "\udcff"})
        second = await self.add_gateway("vm-2")
        third = await self.add_gateway("vm-3", [second])
        for gateway in (second, third):
            known = gateway.knowledge.instances.registry.known
            self.assertEqual(set(known), {"p1", "p2", "e1"})
        await self.add_worker("p3", "plain")
        for gateway in (second, third):
            known = gateway.knowledge.instances.registry.known
            await self.until(lambda known=known: "p3" in known)

    async def test_an_object_without_a_name(self):
        self.store.foreign_items = [{"spec": {}}, 7, None, {"metadata": {"name": 5}}]
        second = await self.add_gateway("vm-2")
        known = second.knowledge.instances.registry.known
        self.assertEqual(set(known), {"p1", "p2", "e1"})

    async def test_a_configuration_leaves_the_last_one_in_force(self):
        for spec in ("junk", {"version": 9, "routes": 7}, None):
            await self.store.put("config", "main", spec)
        await self.store.put("config", "main", catalogue(3))
        current = self.gateway.knowledge.catalogue
        await self.until(lambda: current.current.version == 3)
        self.assertTrue(await self.served())

    async def test_organisations_of_any_name_are_served(self):
        spec = catalogue(3)
        spec["tenants"][0]["name"] = "Größe & Co.: 1"
        await self.store.put("config", "main", spec)
        current = self.gateway.knowledge.catalogue
        await self.until(lambda: current.current.version == 3)
        self.assertTrue(await self.served())
        # What comes after it still counts.
        await self.store.put("config", "main", catalogue(4))
        await self.until(lambda: current.current.version == 4)

    async def test_told_once(self):
        await self.store.put("servers", "junk", {"state": "retired"})
        await self.until(lambda: bool(self.told()))
        for _ in range(2):
            await self.gateway.knowledge.instance_follower.relist()
        self.assertEqual(self.told(), [("servers", "junk")])

    async def test_entries_of_vms(self):
        await self.store.put("entry-vms", "junk", {"host": 7})
        found = await self.gateway.vm_list.register.read()
        self.assertNotIn("junk", found)
