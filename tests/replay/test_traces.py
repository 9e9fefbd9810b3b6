# Licensed under the Apache License 2.0: see LICENSE for details.

"""Traces: made from a seed, recorded without words, replayed, reported."""

from __future__ import annotations

import asyncio
import json
import unittest
from collections import Counter
from pathlib import Path
from tempfile import TemporaryDirectory

from click.testing import CliRunner

from standins.fleet import OPERATOR_TOKEN
from tests.fleetcase import KEY, FleetCase
from walnutquay.cmdline import main
from walnutquay.replay.compare import compare, comparison_text
from walnutquay.replay.page import page_of
from walnutquay.replay.player import Player
from walnutquay.replay.report import Played, ReplayResult
from walnutquay.replay.traces import (
    ReplayOutcome,
    TraceRequest,
    body_of,
    prompt_of,
    read_trace,
    write_trace,
)
from walnutquay.replay.workloads import KINDS, Workload, WorkloadGenerator

SECRET = "the secret of panel 7"


def made(workload: Workload, seed: int = 1) -> list[TraceRequest]:
    """:returns: a generated trace of half a minute."""
    return list(WorkloadGenerator(workload, seed, 40.0).requests(30.0))


class GeneratorTest(unittest.TestCase):
    """Traces after both users' workloads."""

    def test_the_same_seed_makes_the_same_trace(self):
        for workload in Workload:
            self.assertEqual(made(workload), made(workload))
            self.assertNotEqual(made(workload), made(workload, seed=2))

    def test_classes_organisations_and_order_are_as_described(self):
        for workload in Workload:
            trace = made(workload)
            names = Counter(request.request_class for request in trace)
            self.assertEqual(set(names), {kind.name for kind in KINDS[workload]})
            owners = Counter(r.organisation for r in trace).most_common()
            self.assertEqual(len(owners), 10)
            self.assertGreater(owners[0][1], 4 * owners[-1][1])
            times = [request.at for request in trace]
            self.assertEqual(times, sorted(times))

    def test_what_is_repeated_keeps_its_key_and_body(self):
        trace = made(Workload.QUOTE_DESK)
        keyed = [request for request in trace if request.key]
        repeats = [request for request in keyed if request.name == "repeat"]
        self.assertTrue(repeats)
        first = {r.key: r.body for r in keyed if r.name != "repeat"}
        for request in repeats:
            self.assertEqual(request.body, first[request.key])

    def test_it_can_be_read_back(self):
        trace = made(Workload.PANELWERK)
        with TemporaryDirectory() as folder:
            path = Path(folder) / "trace.jsonl"
            path.write_text("\n".join(write_trace(trace)), encoding="utf-8")
            self.assertEqual(read_trace(path), trace)


class ShapeTest(unittest.TestCase):
    """Words are written from a shape, and shared where it says so."""

    def request(self, **more: object) -> TraceRequest:
        """:returns: a request with a shape."""
        shape = {"prefix": "p", "prefix_chars": 100, "prompt_chars": 300, **more}
        return TraceRequest(at=1.0, organisation="o", **shape)

    def test_prompts(self):
        one, two = self.request(), self.request(name="other")
        self.assertEqual(len(prompt_of(one)), 300)
        self.assertEqual(prompt_of(one)[:100], prompt_of(two)[:100])
        self.assertNotEqual(prompt_of(one), prompt_of(two))
        self.assertNotEqual(
            prompt_of(one)[:100], prompt_of(self.request(prefix="q"))[:100]
        )
        self.assertEqual(prompt_of(self.request(prompt="as it is")), "as it is")

    def test_bodies(self):
        self.assertEqual(len(body_of(self.request(body_chars=33))), 33)
        self.assertEqual(body_of(self.request(body="x", body_chars=33)), "x")


def result(seconds: float, refused: int) -> ReplayResult:
    """:returns: a replay of ten requests."""
    found = ReplayResult(seconds=1.0)
    for number in range(10):
        request = TraceRequest(at=number / 5, organisation="o", request_class="tag")
        outcome = ReplayOutcome.NOT_RUN if number < refused else ReplayOutcome.ANSWERED
        found.played.append(Played(request, outcome, seconds, seconds, 200, {}))
    return found


class ReportTest(unittest.TestCase):
    """Reports are compared and plotted."""

    def test_comparison(self):
        value = compare(result(0.1, 0).plain(), result(0.2, 5).plain())
        self.assertEqual(value["tag"]["first"]["answered"], 1.0)
        self.assertEqual(value["tag"]["second"]["answered"], 0.5)
        text = comparison_text(value)
        self.assertIn("100.0% -> 50.0%", text)
        self.assertIn(
            "only in the second report",
            comparison_text(compare({"classes": {}}, result(0.1, 0).plain())),
        )

    def test_a_page_needs_no_other_file(self):
        page = page_of({"<a>": result(0.1, 0).plain(), "b": result(0.2, 5).plain()})
        self.assertNotIn("<a>", page)
        self.assertEqual(page.count("data:image/png;base64,"), 4)
        self.assertIn("NOT AS STATED", page)

    def test_report_commands(self):
        with TemporaryDirectory() as folder:
            one, two = Path(folder) / "one.json", Path(folder) / "two.json"
            one.write_text(result(0.1, 0).to_json(), encoding="utf-8")
            two.write_text(result(0.2, 5).to_json(), encoding="utf-8")
            page = Path(folder) / "page.html"
            run = CliRunner().invoke(
                main, ["report", str(one), str(two), "--json", "--page", str(page)]
            )
            self.assertEqual(run.exit_code, 0, run.output)
            self.assertEqual(json.loads(run.output)["tag"]["second"]["sent"], 10)
            self.assertTrue(page.read_text(encoding="utf-8"))
            wrong = CliRunner().invoke(main, ["report", str(Path(folder) / "no.json")])
            self.assertEqual(wrong.exit_code, 1)
            self.assertIn("no.json: cannot be read", wrong.output)

    def test_series_tell_each_second(self):
        series = result(0.1, 2).series()
        self.assertEqual([row["second"] for row in series], [0, 1])
        self.assertEqual(series[0]["outcomes"], {"not_run": 2, "answered": 3})


class RecordTest(FleetCase):
    """A fleet records what it serves; a replay of it ends in the same way."""

    def invoke(self, *arguments: str):
        """Run a command against the first VM."""
        options = ["--url", self.vm("vm-a1").url("administration")]
        options += ["--token", OPERATOR_TOKEN]
        return CliRunner().invoke(main, [*arguments, *options])

    async def work(self) -> None:
        """Send some work through both VMs, and a request that is refused."""
        for vm in self.vms:
            await self.chat(vm, SECRET, stream=True, header_x_walnutquay_class="recap")
            await self.chat(vm, SECRET * 20, header_x_walnutquay_session=SECRET)
            await self.book(vm, SECRET, key=f"{vm} {SECRET}")
            await self.chat(vm, SECRET, model="no-such-model")

    async def test_round_trip(self):
        with TemporaryDirectory() as folder:
            path = Path(folder) / "trace.jsonl"
            arguments = ("trace", "record", "--seconds", "2", "--out", str(path))
            recording = asyncio.to_thread(self.invoke, *arguments)
            recorded = asyncio.ensure_future(recording)

            async def records() -> bool:
                await self.chat("vm-b1", "is it being recorded?")
                _, rows = await self.fleet.administer(
                    self.vm("vm-b1"), "GET", "/v1/trace"
                )
                return bool(rows)

            await self.until(records, "the recording has begun")
            await self.work()
            done = await recorded
            self.assertEqual(done.exit_code, 0, done.output)
            self.assertNotIn("secret", path.read_text(encoding="utf-8"))
            trace = read_trace(path)
        outcomes = Counter(outcome for r in trace for outcome in r.expect)
        self.assertEqual(outcomes[ReplayOutcome.NOT_RUN], 2)
        self.assertGreaterEqual(outcomes[ReplayOutcome.ANSWERED], 7)
        urls = [self.vm(vm).url("callers") for vm in self.vms]
        trace = [r.model_copy(update={"key": r.key and f"{r.key}-2"}) for r in trace]
        replayed = await Player(urls, KEY).play(trace)
        self.assertEqual(replayed.violations, [])

    async def test_it_holds_no_more_than_asked_for(self):
        vm = self.vm("vm-a1")
        for seconds, status in ((-1, 422), ("x", 422), (30, 200), (0, 200)):
            got, _ = await self.fleet.administer(
                vm, "POST", "/v1/trace", {"seconds": seconds}
            )
            self.assertEqual(got, status, seconds)
        await self.chat("vm-a1")
        self.assertEqual(await self.fleet.administer(vm, "GET", "/v1/trace"), (200, []))
