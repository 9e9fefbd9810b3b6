# Licensed under the Apache License 2.0: see LICENSE for details.

"""Writes docs/CAPACITY.md from the measured slopes: ``python -m lab.capacity.page``."""

from __future__ import annotations

import json
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from lab.capacity import aims
from lab.capacity.slopes import HEARTBEAT, OUTPUT, SECONDS
from lab.capacity.slopetable import EVENTS_A_STREAM, slope_rows
from walnutquay.coordination.own.billing import DEAD_SECONDS, FLEET_FLUSHES
from walnutquay.coordination.own.configurations import WATCHERS
from walnutquay.coordination.own.endpoints import MAX_REPORTERS, REPORT_PERIOD
from walnutquay.coordination.own.leases import CANDIDATES, RENEWALS
from walnutquay.coordination.own.members import FLEET_LIST_READS
from walnutquay.coordination.own.outcomecounts import (
    LARGE_FLEET_ROUNDS,
    OUTCOME_COUNTS_SECONDS,
)
from walnutquay.coordination.own.platform import WATCH_SECONDS
from walnutquay.state.fleet.membership import (
    DIGESTS,
    HEARTBEAT_FANOUT,
    RUMOURS,
    SILENT_REFRESHES,
    SILENT_SECONDS,
)
from walnutquay.state.own.bills import BillRecord
from walnutquay.state.own.outcomecounts import ROWS_PER_MESSAGE
from walnutquay.state.process.clock import Stamp
from walnutquay.state.process.events import Event, EventKind
from walnutquay.state.requests.endpoints import SUBSET
from walnutquay.state.requests.stages import CostLine

PAGE = Path(__file__).parents[2] / "docs" / "CAPACITY.md"

SAMPLES = 10_000
LEASE_SECONDS = 6.0
ANTI_ENTROPY = 30.0
# A change writes the part that it moves and the head.
WRITES_A_CHANGE = 2
VMS_A_RACK = 20
# Rounds of heartbeats in which news reach all VMs.
GOSSIP_ROUNDS = 4


@dataclass(frozen=True)
class Row:
    """One line of the table.

    :param role: the role.
    :param mechanism: what carries it.
    :param state: what it keeps.
    :param messages: what it sends.
    :param cpu: share of a core; None where it was not measured alone.
    :param memory: in words.
    :param verdict: against the limits.
    """

    role: str
    mechanism: str
    state: str
    messages: str
    cpu: float | None
    memory: str
    verdict: str

    def text(self) -> str:
        """:returns: the line."""
        cpu = "" if self.cpu is None else f"{self.cpu:.2%}"
        cells = (
            self.role,
            self.mechanism,
            self.state,
            self.messages,
            cpu,
            self.memory,
            self.verdict,
        )
        return "| " + " | ".join(cells) + " |"


class Account:
    """The page's numbers, worked out from the measured rows.

    :param measured: what ``lab.capacity.slopes`` wrote.
    """

    def __init__(self, measured: dict[str, Any]) -> None:
        self.measured = measured

    def slope(self, experiment: str, cost: str) -> float:
        """:returns: the fitted slope of a cost."""
        return self.measured[experiment]["fits"][cost]["slope"]

    def at(self, experiment: str, size: int, cost: str) -> float:
        """:returns: a cost as it was measured at a size."""
        rows = self.measured[experiment]["rows"]
        return next(row[cost] for row in rows if row["size"] == size)

    def rows(self) -> list[Row]:
        """:returns: the table."""
        per_node = aims.REQUESTS / aims.NODES
        tokens = aims.TOKENS / aims.NODES
        request = self.slope("requests", "cpu")
        event = self.slope("streams", "cpu") / EVENTS_A_STREAM
        idle = self.at("peers", aims.NODES, "cpu")
        sent = self.at("peers", aims.NODES, "bytes_out")
        received = self.at("peers", aims.NODES, "bytes_in")
        reports = MAX_REPORTERS / REPORT_PERIOD
        extra = self.report_cpu()
        changes = aims.CHANGES_A_DAY / aims.DAY
        change_cpu = self.slope("changes", "cpu") * SECONDS
        bills = min(aims.NODES, FLEET_FLUSHES)
        keyed = self.keyed_room()
        told = 1 / (OUTCOME_COUNTS_SECONDS * LARGE_FLEET_ROUNDS)
        return [
            Row(
                "request path (not control)",
                "`coordination/own/chats.py`: plan, place, dispatch, bill",
                "requests in flight",
                f"{per_node:.0f} requests/s a node",
                request * per_node,
                "with the process",
                f"{request * 1e6:.0f} us a request: fits one process",
            ),
            Row(
                "streamed tokens (not control)",
                "`coordination/own/engines.py`, event by event",
                "streams in flight",
                f"{tokens:.0f} tokens/s a node",
                event * tokens,
                "with the process",
                f"{event * 1e6:.0f} us a token: **over one core**; breaks first",
            ),
            Row(
                "membership",
                f"heartbeats to {HEARTBEAT_FANOUT} a round, {RUMOURS} rumours each",
                f"{aims.NODES} members",
                f"{HEARTBEAT_FANOUT / HEARTBEAT:.0f}/s out, as many in; "
                f"{(sent + received) / 1000:.1f} KB/s in all",
                idle,
                f"{self.at('peers', aims.NODES, 'memory_mb'):.0f} MB, "
                "the whole process",
                _verdict(
                    idle <= aims.LIMIT_CPU and sent + received <= aims.LIMIT_BYTES
                ),
            ),
            Row(
                "configuration spread",
                "head watched by a few, heartbeats, parts from peers",
                f"{aims.WORKERS} endpoints in 16 parts",
                f"{WATCHERS * aims.HALLS} watches, {changes:.2f} changes/s",
                change_cpu * changes,
                f"{self.at('endpoints', aims.WORKERS, 'memory_mb'):.0f} MB, the whole "
                f"process with {aims.WORKERS} endpoints",
                _verdict(
                    self.at("endpoints", aims.WORKERS, "memory_mb") <= aims.LIMIT_MB
                ),
            ),
            Row(
                "load reports",
                f"each VM uses {SUBSET} endpoints a version, asks {MAX_REPORTERS}/s",
                f"{SUBSET} endpoints a version",
                f"{reports:.0f} calls/s a node; "
                f"{reports * aims.NODES / aims.WORKERS:.1f}/s an endpoint",
                extra,
                "small",
                "see control together",
            ),
            Row(
                "outcomes of versions",
                "`coordination/own/outcomecounts.py`: each VM's counts, passed on",
                "20,000 counts at the most",
                f"{told:.0f} message/s out, as many in, of {ROWS_PER_MESSAGE} counts; "
                f"{self.told_bytes() / 1000:.1f} KB/s in all",
                self.told_cpu(),
                "small",
                "see control together",
            ),
            Row(
                "claims",
                "one create a keyed request",
                "runs of 24 h, answers up to 32 MB",
                "1 write a keyed request",
                None,
                "bounded by `memory.answer_bytes`",
                f"**over** above {keyed:.0f} keyed requests/s in the fleet "
                f"({keyed / aims.REQUESTS:.1%} of all)",
            ),
            Row(
                "billing",
                "a copy at a peer, a batch now and then",
                "records that are not stored",
                f"{bills} writes/s in the fleet, each VM every "
                f"{aims.NODES / FLEET_FLUSHES:.0f} s",
                None,
                f"{aims.NODES / FLEET_FLUSHES * per_node:.0f} records a batch",
                "fits",
            ),
            Row(
                "roll-out duty",
                "one lease; orders to the engines of a version",
                "one lease",
                f"{RENEWALS / LEASE_SECONDS:.1f} writes/s, "
                f"{(CANDIDATES - 1) * RENEWALS / LEASE_SECONDS:.1f} reads/s",
                None,
                "small",
                "fits; orders go one after another: "
                f"{aims.WORKERS} of them at 2 ms take {aims.WORKERS * 0.002:.0f} s",
            ),
            Row(
                "time line",
                "a ring in each process, merged on demand",
                "20,000 events",
                "none until asked",
                None,
                f"{20_000 * event_bytes() / 1e6:.0f} MB",
                "fits; 6 events a request keep "
                f"{20_000 / 6 / per_node:.0f} s of history",
            ),
        ]

    def told_cpu(self) -> float:
        """:returns: share of a core for the counts of outcomes, at their most."""
        return self.slope("tallies", "cpu") * ROWS_PER_MESSAGE

    def told_bytes(self) -> float:
        """:returns: bytes a second for them, out and in."""
        each = sum(self.slope("tallies", f"bytes_{way}") for way in ("out", "in"))
        return each * ROWS_PER_MESSAGE

    def report_cpu(self) -> float:
        """:returns: share of a core for the reports of one second."""
        return self.slope("reports", "cpu") * MAX_REPORTERS

    def keyed_room(self) -> float:
        """:returns: platform writes a second that are left for claims."""
        bills = min(aims.NODES, FLEET_FLUSHES)
        changes = aims.CHANGES_A_DAY / aims.DAY * WRITES_A_CHANGE
        return aims.LIMIT_WRITES - bills - changes - RENEWALS / LEASE_SECONDS

    def reads(self) -> float:
        """:returns: platform reads a second of the whole fleet."""
        watches = WATCHERS * aims.HALLS / WATCH_SECONDS
        return (
            watches
            + aims.CHANGES_A_DAY / aims.DAY * WATCHERS * aims.HALLS * 2
            + aims.NODES / ANTI_ENTROPY
            + FLEET_LIST_READS
            + (CANDIDATES - 1) * RENEWALS / LEASE_SECONDS
        )


def bytes_each(make: Callable[[int], object]) -> float:
    """:param make: makes one of many things.

    :returns: the memory that each takes.
    """
    tracemalloc.start()
    things = [make(number) for number in range(SAMPLES)]
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size / len(things)


def record_bytes() -> float:
    """:returns: the memory of a bill record that is not stored."""
    return bytes_each(
        lambda n: BillRecord(
            n, f"req-{n:020x}", "org", n + 0.5, (CostLine("v", "e", n, n, n + 0.5),)
        )
    )


def event_bytes() -> float:
    """:returns: the memory of an event of the time line."""
    return bytes_each(
        lambda n: Event(Stamp(n + 2**50, n), "vm", EventKind.BILLED, f"req-{n:020x}")
    )


def _verdict(fits: bool) -> str:
    return "fits" if fits else "**over**"


TEMPLATE = Path(__file__).with_name("page.template.md")


def page(measured: dict[str, Any]) -> str:
    """:param measured: what ``lab.capacity.slopes`` wrote.

    :returns: the page.
    """
    account = Account(measured)
    idle = account.at("peers", aims.NODES, "cpu")
    sent = account.at("peers", aims.NODES, "bytes_out")
    received = account.at("peers", aims.NODES, "bytes_in")
    report_cpu = account.report_cpu()
    silent = SILENT_SECONDS + SILENT_REFRESHES * aims.NODES / (
        HEARTBEAT_FANOUT * (1 + DIGESTS)
    )
    event = account.slope("streams", "cpu") / EVENTS_A_STREAM
    control = idle + report_cpu + account.told_cpu()
    control_bytes = sent + received + account.told_bytes()
    within = control <= aims.LIMIT_CPU and control_bytes <= aims.LIMIT_BYTES
    per_node = aims.REQUESTS / aims.NODES
    return TEMPLATE.read_text(encoding="utf-8").format(
        nodes=aims.NODES,
        halls=aims.HALLS,
        workers=f"{aims.WORKERS:,}",
        requests=f"{aims.REQUESTS:,}",
        tokens=f"{aims.TOKENS:,}",
        changes=f"{aims.CHANGES_A_DAY:,}",
        cpu=aims.LIMIT_CPU,
        mb=aims.LIMIT_MB,
        kb=aims.LIMIT_BYTES // 1000,
        writes=aims.LIMIT_WRITES,
        reads=f"{aims.LIMIT_READS:,}",
        rows="\n".join(row.text() for row in account.rows()),
        idle=idle,
        idle_kb=(sent + received) / 1000,
        reporters=MAX_REPORTERS,
        report_cpu=report_cpu,
        control=control,
        control_kb=control_bytes / 1000,
        told_cpu=account.told_cpu(),
        control_verdict="within" if within else "**over**",
        base_writes=aims.LIMIT_WRITES - account.keyed_room(),
        keyed=account.keyed_room(),
        fleet_reads=account.reads(),
        token_us=event * 1e6,
        node_tokens=aims.TOKENS / aims.NODES,
        token_cores=event * aims.TOKENS / aims.NODES,
        in_force=aims.LIMIT_IN_FORCE,
        fanout=HEARTBEAT_FANOUT,
        rounds=GOSSIP_ROUNDS,
        spread=GOSSIP_ROUNDS * HEARTBEAT + 1,
        failures=aims.FAILURES_A_DAY,
        replaced=aims.REPLACED_A_DAY,
        parts=23,
        replaced_reads=aims.REPLACED_A_DAY * 24,
        silent=silent,
        dead=max(silent, DEAD_SECONDS),
        rack=VMS_A_RACK,
        rack_share=VMS_A_RACK / aims.NODES,
        hall=aims.NODES // aims.HALLS,
        cut_records=per_node * 3600,
        cut_mb=per_node * 3600 * record_bytes() / 1e6,
        record_bytes=record_bytes(),
        slopes="\n".join(slope_rows(measured)),
    )


if __name__ == "__main__":
    PAGE.write_text(page(json.loads(OUTPUT.read_text())), encoding="utf-8")
