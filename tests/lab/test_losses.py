# Licensed under the Apache License 2.0: see LICENSE for details.

"""What days lost is charged to causes, wholly."""

from __future__ import annotations

import unittest
from pathlib import Path

import orjson

from lab.days.bench import ClassCount, DayRun, Report, RequestClass, read_report
from lab.days.losses import NO_LINE, TOO_SMALL, UNEXPLAINED, Loss, losses_of, table
from tests.history.test_history import line
from walnutquay.history.causes import Cause
from walnutquay.history.report import judge

DRAFT = RequestClass("draft", "stream", 2000.0, 20000.0, 3.0, 1.0)
LOOKUP = RequestClass("lookup", "safe", 400.0, 3000.0, 1.0, 0.25)


def a_day(**counts: ClassCount) -> DayRun:
    """:returns: a day that ended so."""
    full = {"draft": ClassCount(10, 0, 0, 1.0), "lookup": ClassCount(10, 0, 0, 1.0)}
    report = Report(0.5, full | counts, {"machines": 0.02}, {}, ())
    return DayRun("day", 1, report, Path("unused"))


def lookup(number: int, *rest) -> list:
    """:returns: the lines of a request to the lookup route."""
    facts = {"route_kind": "safe", "aim_ms": 400, "left_ms": 2990}
    name = f"r{number}"
    first = line("received", float(number), name, **facts)
    later = [
        line(kind, number + 0.1 * (i + 1), name, **more)
        for i, (kind, more) in enumerate(rest)
    ]
    return [first, *later]


FAILED = (
    ("dispatched", {"endpoint": "p1"}),
    ("failed", {"endpoint": "p1", "status": 500, "detail": "it answered 500"}),
    ("answered", {"status": 500}),
)


class LossTest(unittest.TestCase):
    """One day."""

    def losses(self, day: DayRun, lines: list) -> list[Loss]:
        """:returns: what it lost."""
        return losses_of(day, judge(lines), (DRAFT, LOOKUP))

    def by_cause(self, losses: list[Loss], cause: str) -> float:
        """:returns: what a cause cost."""
        return sum(loss.share for loss in losses if loss.cause == cause)

    def test_failures_go_to_their_causes(self):
        day = a_day(lookup=ClassCount(10, 0, 2, 0.8))
        losses = self.losses(day, lookup(1, *FAILED) + lookup(2, *FAILED))
        # Two of ten requests, each a fortieth of all that was owed.
        expected = 2 / 40
        found = self.by_cause(losses, Cause.ENDPOINT_ERROR.value)
        self.assertAlmostEqual(found, expected)

    def test_requests_without_a_line_are_a_cause_of_their_own(self):
        day = a_day(lookup=ClassCount(10, 0, 4, 0.6))
        losses = self.losses(day, lookup(1, *FAILED) + lookup(2, *FAILED))
        self.assertAlmostEqual(self.by_cause(losses, NO_LINE), 2 / 40)

    def test_what_the_lines_do_not_tell_is_unexplained(self):
        day = a_day(lookup=ClassCount(10, 0, 1, 0.9))
        losses = self.losses(day, lookup(1, ("dispatched", {"endpoint": "p1"})))
        self.assertAlmostEqual(self.by_cause(losses, UNEXPLAINED), 1 / 40)

    def test_all_that_was_lost_is_charged(self):
        day = a_day(draft=ClassCount(10, 3, 1, 0.6), lookup=ClassCount(10, 2, 1, 0.7))
        losses = self.losses(day, lookup(1, *FAILED))
        credit = sum(loss.share for loss in losses if loss.name)
        self.assertAlmostEqual(credit, (10 * 3 * 0.4 + 10 * 0.3) / 40)
        self.assertGreater(self.by_cause(losses, TOO_SMALL), 0.0)
        self.assertAlmostEqual(self.by_cause(losses, "price: machines"), 0.02)

    def test_the_largest_comes_first(self):
        losses = [Loss("small", "draft", 0.01), Loss("large", "draft", 0.1)]
        text = table([losses])
        self.assertLess(text.index("large"), text.index("small"))


class ReportTest(unittest.TestCase):
    """The bench's report is read into types."""

    def test_it_is_read(self):
        plain = {
            "G": 0.6,
            "classes": [
                {
                    "name": "draft",
                    "n": 11,
                    "in_aim": 7,
                    "late": 2,
                    "refused": 1,
                    "failed": 1,
                    "not_owed": 1,
                    "worth": 0.7,
                }
            ],
            "windows": [{"name": "0", "worth": 0.9}, {"name": "2", "worth": None}],
            "breaks": {"DRAIN": 1},
            "fault": None,
            "prices": [["machines", 480.0, 0.02]],
        }
        report = read_report(orjson.dumps(plain))
        self.assertEqual(report.classes["draft"], ClassCount(10, 2, 2, 0.7))
        self.assertEqual(report.windows, {0.0: 0.9})
        self.assertEqual(
            (report.broken, report.prices), (("DRAIN",), {"machines": 0.02})
        )


if __name__ == "__main__":
    unittest.main()
