# Licensed under the Apache License 2.0: see LICENSE for details.

"""Runs days of a deployment on the users' bench, several seeds at a time.

The bench is theirs and stands outside the repository: its path is an argument, and
all that is known of its reports stands here.
"""

from __future__ import annotations

import subprocess
import tomllib
from collections.abc import Iterable, Mapping, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import orjson


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A kind of request, as a deployment values it.

    :param name: its name.
    :param kind: ``safe``, ``unsafe`` or ``stream``.
    :param aim_ms: an answer within this time earns its worth.
    :param deadline_ms: how long its callers wait.
    :param worth: of an answer in time.
    :param late_worth: of a later one.
    """

    name: str
    kind: str
    aim_ms: float
    deadline_ms: float
    worth: float
    late_worth: float


@dataclass(frozen=True, slots=True)
class ClassCount:
    """How the requests of one kind ended.

    :param asked: requests that were owed an answer.
    :param late: answered late.
    :param failed: refused for good, or failed.
    :param credit: the part of their worth that was earned.
    """

    asked: float
    late: float
    failed: float
    credit: float


@dataclass(frozen=True, slots=True)
class Report:
    """A day as the bench reports it.

    :param worth: what it was worth, less all prices.
    :param classes: counts by kind of request.
    :param prices: what was taken off, by its name.
    :param windows: the part of the credit that was earned, by second.
    :param broken: names of rules that were broken, or the fault that ended the day.
    """

    worth: float
    classes: Mapping[str, ClassCount]
    prices: Mapping[str, float]
    windows: Mapping[float, float]
    broken: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class DayRun:
    """A run of a day.

    :param day: the day.
    :param seed: its seed.
    :param report: how it went.
    :param log: the file with the VMs' lines.
    """

    day: str
    seed: int
    report: Report
    log: Path


def read_classes(site: Path) -> list[RequestClass]:
    """:param site: a deployment's file.

    :returns: its kinds of request.
    """
    plain = tomllib.loads(site.read_text(encoding="utf-8"))
    return [
        RequestClass(
            item["name"],
            item["kind"],
            float(item["aim_ms"]),
            float(item["deadline_ms"]),
            float(item["worth"]),
            float(item["late_worth"]),
        )
        for item in plain["classes"]
    ]


def read_report(data: bytes) -> Report:
    """:param data: a report, as the bench has written it."""
    plain: dict[str, Any] = orjson.loads(data)
    classes = {
        item["name"]: ClassCount(
            item["n"] - item["not_owed"],
            item["late"],
            item["failed"] + item["refused"],
            item["worth"] if item["worth"] is not None else 1.0,
        )
        for item in plain["classes"]
    }
    windows = {
        float(item["name"]): item["worth"]
        for item in plain["windows"]
        if item["worth"] is not None
    }
    broken = tuple(plain["breaks"]) + ((plain["fault"],) if plain["fault"] else ())
    prices = {name: price for name, _, price in plain["prices"]}
    return Report(plain["G"], classes, prices, windows, broken)


@dataclass(frozen=True, slots=True)
class Bench:
    """Where and how days are run.

    :param program: the bench.
    :param repository: the sources to run.
    :param site: the deployment's file.
    :param folder: where reports and logs go.
    :param why: a line for the journal.
    :param timed: whether processor time is charged.
    """

    program: Path
    repository: Path
    site: Path
    folder: Path
    why: str
    timed: bool = False

    def run(self, day: str, seed: int) -> DayRun:
        """Run one day.

        :param day: its name, or a file with a day of one's own.
        :param seed: its seed.
        """
        stem = self.folder / f"{self.site.stem}-{Path(day).stem}-{seed}"
        report, log = stem.with_suffix(".json"), stem.with_suffix(".log")
        command = [self.program, "run", self.site, day, "--seed", str(seed)]
        command += ["--log", "all", "--report", report, "--why", self.why]
        if not self.timed:
            command.append("--no-cpu")
        with log.open("wb") as output:
            subprocess.run(
                [str(part) for part in command],
                cwd=self.repository,
                stdout=output,
                stderr=subprocess.STDOUT,
                check=True,
            )
        return DayRun(day, seed, read_report(report.read_bytes()), log)

    def run_all(
        self, days: Sequence[str], seeds: Iterable[int], jobs: int
    ) -> list[DayRun]:
        """Run days, several at once.

        :param days: the days.
        :param seeds: the seeds of each.
        :param jobs: how many at once.
        """
        wanted = [(day, seed) for day in days for seed in seeds]
        with ThreadPoolExecutor(jobs) as pool:
            return list(pool.map(lambda one: self.run(*one), wanted))
