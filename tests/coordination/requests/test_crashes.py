# Licensed under the Apache License 2.0: see LICENSE for details.

"""Requests that end the endpoints that run them."""

from __future__ import annotations

import asyncio
from unittest import mock

from standins.worker import Behaviour, Seen
from tests.gatewaycase import GatewayCase, Got
from walnutquay.commands.fleetstate import concerns, read_figures, state_of
from walnutquay.coordination.requests.limits import STEP_ENDED
from walnutquay.daemon.gateway import GatewayDaemon
from walnutquay.state.fleet.membership import VmPlace
from walnutquay.state.process.events import EventKind
from walnutquay.state.requests import crashes
from walnutquay.state.requests.crashes import CrashBook
from walnutquay.state.requests.culprits import ENDS_TO_BLOCK

# A body that ends each engine that begins to run it.
CRASHING = b"crash"
EVENTS = 3
# A time after which a caller waits no more.
SHORT_SECONDS = 0.2


def by_body(seen: Seen) -> Behaviour:
    """:returns: how an engine answers: it ends within some bodies' answers."""
    crash_after = 1 if seen.body == CRASHING else None
    return Behaviour(events=EVENTS, crash_after=crash_after)


class CrashCase(GatewayCase):
    """Engines that some bodies end."""

    workers = {f"e{n}": "engine" for n in range(1, 9)}

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        for worker in self.endpoints.values():
            worker.choose = by_body

    async def stream(
        self, body: bytes, gateway: GatewayDaemon | None = None, **headers: str
    ) -> Got:
        """Ask for a stream of the smallest model."""
        return await self.call(
            "/stream/x", body, gateway=gateway, Model="tiny", **headers
        )

    @property
    def crashes(self) -> int:
        """How many engines have ended."""
        return sum(worker.crashes for worker in self.endpoints.values())

    def book_of(self, gateway: GatewayDaemon) -> CrashBook:
        """:returns: what a VM knows of requests that end engines."""
        return gateway.path.parts.crashes.book

    def events_of(self, kind: EventKind) -> list[dict[str, object]]:
        """:returns: the facts of all events of a kind, of all VMs."""
        return [
            event.plain()
            for gateway in self.gateways
            for event in gateway.context.timeline.ring.events
            if event.kind is kind
        ]


class LinesTest(CrashCase):
    """The log tells whether an endpoint ended, and under which request."""

    async def test_tries_of_one_request_are_known_by_its_fingerprint(self):
        for _ in range(2):
            # Each runs once, so that only its caller can bring it again.
            await self.call("/once/x", CRASHING, Model="tiny")
        await self.call("/once/x", b"harmless", Model="tiny")
        failed = self.events_of(EventKind.FAILED)
        self.assertGreater(len(failed), 1)
        self.assertTrue(all(line["ended"] for line in failed))
        self.assertTrue(all(line["ran_ms"] is not None for line in failed))
        self.assertEqual(len({line["fingerprint"] for line in failed}), 1)
        self.assertGreater(len({line["request"] for line in failed}), 1)
        ended = self.events_of(EventKind.ENDPOINT_ENDED)
        self.assertEqual(len(ended), self.crashes)

    async def test_a_connection_that_breaks_is_no_end(self):
        once = [Behaviour(events=EVENTS, cut_after=1)]
        for worker in self.endpoints.values():
            worker.choose = lambda seen: once.pop() if once else by_body(seen)
        self.assertTrue((await self.stream(b"harmless")).whole)
        failed = self.events_of(EventKind.FAILED)
        self.assertEqual([line["ended"] for line in failed], [False])
        self.assertEqual(self.events_of(EventKind.ENDPOINT_ENDED), [])


class CrashingRequestTest(CrashCase):
    """A request that ends engines does not go on to end all of them.

    Each engine that began to run one request ended.  Its VM held each end against the
    engine alone and sent the request on to the next one, as often as its route allows;
    when its caller asked again, at any VM, nothing was known of it and all began anew.
    All engines ended within a second, and again each time they were back: 21 ends under
    one request, and a fourth of all requests that day were refused or lost.

    The `failed` lines of 13 of these ends settled it: a request of one route, caller
    and prompt length broke at each of them, under ever new ids and at up to three VMs,
    and no other at more than seven.  Its answer had begun 0.02 to 0.11 s before, others
    had begun up to 2.4 s before.  Load was no cause: the first engines of two waves
    ended with 5 and 3 requests.
    """

    async def test_three_engines_end_whichever_vm_it_comes_to(self):
        second = await self.add_gateway("vm-2", [self.gateway])
        for gateway in (self.gateway, second, self.gateway, second):
            await self.stream(CRASHING, gateway)
        self.assertEqual(self.crashes, 3)
        self.assertEqual((await self.stream(b"harmless", second)).status, 200)


class RefusalTest(CrashCase):
    """What callers are told of a request that ends engines."""

    async def block(self) -> None:
        """Have three engines end under the request."""
        while self.crashes < ENDS_TO_BLOCK:
            await self.ask(CRASHING)

    async def ask(self, body: bytes, **headers: str) -> Got:
        """Ask for a stream that runs once, so that only its caller brings it again."""
        return await self.call("/once/x", body, Model="tiny", **headers)

    async def test_a_plain_error_without_a_time_to_come_back(self):
        await self.block()
        answer = await self.ask(CRASHING)
        self.assertEqual(answer.status, 500)
        self.assertIn(b'"ends_endpoints"', answer.body)
        self.assertIn(b'"not_run"', answer.body)
        self.assertNotIn("Retry-After", answer.headers)
        refused = self.events_of(EventKind.REFUSED)
        self.assertIn("3 endpoints ended as they ran", str(refused[-1]["reason"]))

    async def test_operators_see_it(self):
        await self.block()
        lines = list(self.gateway.metrics_api.lines())
        label = 'service="engine",version="v1"'
        self.assertIn(f"walnutquay_requests_blocked{{{label}}} 1", lines)
        self.assertIn("walnutquay_requests_suspected 1", lines)
        self.assertIn("walnutquay_endpoints_ended_total 3", lines)
        state = state_of("vm-1", read_figures("\n".join(lines) + "\n"))
        self.assertEqual(state.blocked, 1)
        self.assertIn("end the endpoints", " ".join(concerns([state])))

    async def test_one_within_whose_try_the_third_ends_has_run(self):
        answer = await self.stream(CRASHING)
        self.assertFalse(answer.whole)
        self.assertEqual(self.crashes, ENDS_TO_BLOCK)
        blocked = self.events_of(EventKind.REQUEST_BLOCKED)
        self.assertEqual([line["ends"] for line in blocked], [ENDS_TO_BLOCK])

    async def test_other_requests_go_on(self):
        await self.block()
        before = self.crashes
        for path, body in (("/stream/y", CRASHING), ("/stream/x", b"harmless")):
            await self.call(path, body, Model="tiny")
            self.assertGreater(self.runs(), 0)
        # The one on another path is another request, and ends an engine.
        self.assertGreater(self.crashes, before)

    async def test_nobody_can_have_another_callers_requests_refused(self):
        await self.block()
        for worker in self.endpoints.values():
            worker.choose = lambda seen: Behaviour(events=EVENTS)
        other = {"Authorization": "Bearer key-of-org-b"}
        answer = await self.ask(CRASHING, **other)
        self.assertEqual((answer.status, answer.whole), (200, True))
        self.assertEqual((await self.ask(CRASHING)).status, 500)


class CopiesTest(CrashCase):
    """Copies that other engines have yet, as it is found, are not run to their end."""

    async def test_one_that_waits_at_an_engine_is_ended(self):
        gate = asyncio.Event()
        waiting = [Behaviour(events=EVENTS, gate=gate)]
        for worker in self.endpoints.values():
            worker.choose = lambda seen: waiting.pop() if waiting else by_body(seen)
        copy = asyncio.ensure_future(self.stream(CRASHING, Deadline="9000"))
        await self.until(lambda: not waiting)
        holder = next(worker for worker in self.endpoints.values() if worker.runs)
        # The others are to end first.
        table = self.gateway.path.places.table
        table.of(holder.name).ejected_until = float("inf")
        await self.stream(CRASHING)
        answer = await copy
        self.assertFalse(answer.whole)
        self.assertEqual((self.crashes, holder.crashes), (ENDS_TO_BLOCK, 0))
        steps = [line["step"] for line in self.events_of(EventKind.FAILED)]
        self.assertEqual(steps.count(STEP_ENDED), 1)
        gate.set()
        await self.until(lambda: holder.runs[0].left)


class BesideTest(CrashCase):
    """Requests that ran beside it are served, and none of them is refused."""

    async def test_all_are_answered_elsewhere(self):
        # They run until all ends have come.
        gate = asyncio.Event()
        held = Behaviour(events=EVENTS, gate=gate)

        def behave(seen: Seen) -> Behaviour:
            return by_body(seen) if seen.body == CRASHING else held

        for worker in self.endpoints.values():
            worker.choose = behave
        beside = [
            asyncio.ensure_future(
                self.stream(f"harmless {n}".encode(), Deadline="9000")
            )
            for n in range(12)
        ]
        await self.until(lambda: self.runs() >= len(beside))
        await self.stream(CRASHING)
        await self.stream(CRASHING)
        gate.set()
        answers = await asyncio.gather(*beside)
        self.assertEqual([(a.status, a.whole) for a in answers], [(200, True)] * 12)
        self.assertEqual(self.crashes, ENDS_TO_BLOCK)
        book = self.book_of(self.gateway)
        [blocked] = book.blocked.values()
        self.assertEqual(set(book.ends_of), blocked)


class LateVmTest(CrashCase):
    """VMs that were not there when it was found know of it all the same."""

    async def test_one_that_starts_later(self):
        await self.stream(CRASHING)
        second = await self.add_gateway("vm-2", [self.gateway])
        await self.until(lambda: bool(self.book_of(second).blocked))
        self.assertEqual((await self.stream(CRASHING, second)).status, 500)
        self.assertEqual(self.crashes, ENDS_TO_BLOCK)

    async def test_all_were_lost(self):
        await self.stream(CRASHING)
        record = self.gateway.crash_record
        await self.until(lambda: record.written)
        await self.close_gateway(self.gateway)
        second = await self.add_gateway("vm-2")
        await self.until(lambda: bool(self.book_of(second).blocked))
        self.assertEqual((await self.stream(CRASHING, second)).status, 500)
        self.assertEqual(self.crashes, ENDS_TO_BLOCK)

    async def test_one_that_heard_nothing_while_it_was_cut_off(self):
        second = await self.add_gateway("vm-2")
        await self.stream(CRASHING)
        # Until all of it has been told, to nobody.
        telling = self.gateway.path.parts.crashes.news.tasks
        await self.until(lambda: not telling.running)
        self.assertFalse(self.book_of(second).blocked)
        for one, other in ((self.gateway, second), (second, self.gateway)):
            place = VmPlace(other.peers.own, other.context.hall)
            one.peers.known = {**one.peers.known, other.context.vm: place}
        await self.until(lambda: bool(self.book_of(second).blocked))
        self.assertEqual((await self.stream(CRASHING, second)).status, 500)


class MendedTest(CrashCase):
    """A release that mends the engines lets the request run again."""

    async def release(self, behaviour: Behaviour) -> None:
        """Replace all engines by those of another version."""
        names = list(self.endpoints)
        for number in range(2):
            worker = await self.add_worker(f"n{number}", "engine", version="v2")
            worker.default = behaviour
        for name in names:
            await self.store.remove("servers", name)
        registry = self.gateway.knowledge.instances.registry
        await self.until(
            lambda: {item.version for item in registry.known.values()} == {"v2"}
        )

    async def test_one_that_answers_it(self):
        await self.stream(CRASHING)
        await self.release(Behaviour(events=EVENTS))
        for _ in range(2):
            answer = await self.stream(CRASHING)
            self.assertEqual((answer.status, answer.whole), (200, True))

    async def test_one_that_does_not_loses_one_engine(self):
        await self.stream(CRASHING)
        await self.release(Behaviour(events=EVENTS, crash_after=1))
        before = self.crashes
        for _ in range(3):
            await self.stream(CRASHING, Deadline=f"{SHORT_SECONDS * 1000:.0f}")
            # One is tried at a time; the next may come when this one's time is over.
            await asyncio.sleep(SHORT_SECONDS)
        self.assertEqual(self.crashes - before, 1)


class ForwarderTest(CrashCase):
    """Engines behind a forwarder, which takes connections for them when they are gone.

    The port that a VM tries is the forwarder's, so an end seems to be a broken
    connection: a request that ended each engine was sent to 8 of 8, and to all of them
    again as they were back.  What tells of the end is the start after it.
    """

    workers = {"p1": "plain"}

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        # These are back within some 0.2 s, real ones after seconds.
        patch = mock.patch.object(crashes, "SAME_END_SECONDS", 0.05)
        patch.start()
        self.addCleanup(patch.stop)
        self.links = {}
        for number in range(1, 9):
            name = f"e{number}"
            self.links[name] = await self.add_linked_worker(name, "engine")
            self.endpoints[name].choose = by_body
            await self.enter(name)

    async def enter(self, name: str) -> None:
        """Write the entry of an engine's start, and wait until it is known."""
        worker = self.endpoints[name]
        born = 1000 + worker.crashes
        address = f"127.0.0.1:{self.links[name].port}"
        spec = worker.spec("engine", address=address, born=born)
        await self.store.put("servers", name, spec)
        registry = self.gateway.knowledge.instances.registry
        await self.until(lambda: registry.known[name].born == born)

    async def start_again(self) -> None:
        """Start the engines again that have ended."""
        for name, worker in self.endpoints.items():
            if worker.ended:
                await worker.come_back(name)
                await self.enter(name)

    async def test_the_next_start_of_an_engine_tells_that_it_has_ended(self):
        for _ in range(4):
            await self.call("/once/x", CRASHING, Model="tiny")
            await self.start_again()
        self.assertEqual(self.crashes, ENDS_TO_BLOCK)
        ended = self.events_of(EventKind.ENDPOINT_ENDED)
        self.assertEqual(len(ended), ENDS_TO_BLOCK)

    async def test_a_broken_connection_without_another_start_is_no_end(self):
        once = [Behaviour(events=EVENTS, cut_after=1)]
        for worker in self.endpoints.values():
            worker.choose = lambda seen: once.pop() if once else by_body(seen)
        self.assertTrue((await self.stream(b"harmless")).whole)
        self.assertEqual(self.book_of(self.gateway).ends, [])
