# Licensed under the Apache License 2.0: see LICENSE for details.

"""Attribution of endpoint crashes to the requests that were running there."""

from __future__ import annotations

import dataclasses
import math
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from walnutquay.state.process.ids import (
    EndpointName,
    Fingerprint,
    ServiceName,
    VersionName,
)
from walnutquay.state.requests import crashevidence as crashes
from walnutquay.state.requests.crashes import CrashHistory
from walnutquay.state.requests.crashtypes import CrashTarget, CrashTrace

OLD = CrashTarget(ServiceName("engine"), VersionName("v1"))
NEW = CrashTarget(ServiceName("engine"), VersionName("v2"))
OTHER = CrashTarget(ServiceName("plain"), VersionName("v1"))
BAD, GOOD = Fingerprint("bad"), Fingerprint("good")
# Seconds between the start of an answer and the endpoint's crash.
SOON, LATE = 0.1, 2.0


def trace(
    fingerprint: str,
    endpoint: str,
    target: CrashTarget = OLD,
    ran: float | None = SOON,
    age: float = 0.0,
    held: float = math.inf,
) -> CrashTrace:
    """:returns: the trace of a request that was running at an endpoint crash."""
    name = Fingerprint(fingerprint)
    return CrashTrace(name, target, EndpointName(endpoint), age, ran, held=held)


def answer(fingerprint: str, target: CrashTarget = OLD, age: float = 0.0) -> CrashTrace:
    """:returns: the trace of an answered request."""
    name = Fingerprint(fingerprint)
    return CrashTrace(name, target, EndpointName("e"), age, answered=True)


class CrashHistoryCase(unittest.TestCase):
    """A crash history, and a clock that every step advances."""

    def setUp(self) -> None:
        self.history = CrashHistory()
        self.now = 100.0

    def record(self, *traces: CrashTrace) -> None:
        for one in traces:
            self.now += 0.01
            self.history.record(one, self.now)

    def crash(self, endpoint: str, *names: str, **more) -> None:
        """Record a crash of an endpoint that was running some requests."""
        self.now += 2.0 * crashes.SAME_CRASH_SECONDS
        self.record(*(trace(name, endpoint, **more) for name in names))

    def blocked(self, target: CrashTarget = OLD) -> set[str]:
        return set(self.history.blocked.get(target, ()))


class SentAfterCrashTest(CrashHistoryCase):
    """A crash is not attributed to a request that was sent after it.

    Guards against blocking an innocent request when four endpoints crash at the same
    moment.  The request is interrupted at one of them and retried at a second and a
    third, whose connections are reset 3 and 32 ms later; all three crashes counted
    against it, and it was refused permanently.  Other VMs had logged "endpoint-ended"
    for those two at 25.37 s, before the request was sent to them at 25.391 and
    25.394 s.
    """

    # Rows of request, endpoint, time of the crash and seconds since sending it there.
    OWN = (
        (BAD, "a", 25.391, 1.035),
        (BAD, "b", 25.394, 0.003),
        (BAD, "c", 25.426, 0.032),
    )
    OTHERS = (("x", "a", 25.38, 2.0), ("y", "b", 25.37, 2.0), ("z", "c", 25.37, 2.0))

    def record_all(self, *rows: tuple[str, str, float, float]) -> None:
        """Record the crashes that VMs noticed, some time after them."""
        for name, endpoint, at, held in rows:
            noticed = trace(name, endpoint, age=26.0 - at)
            self.history.record(dataclasses.replace(noticed, held=held), 26.0)

    def test_the_request_is_not_blocked(self):
        self.record_all(*self.OTHERS, *self.OWN)
        self.assertEqual(self.blocked(), set())
        self.assertEqual(len(self.history.evidence(BAD, OLD.service)), 1)

    def test_later_traces_of_other_requests_unblock_it(self):
        self.record_all(*self.OWN)
        self.assertEqual(self.blocked(), {BAD})
        self.record_all(*self.OTHERS)
        self.assertEqual(self.blocked(), set())

    def test_a_repeated_trace_corrects_the_time_of_sending(self):
        rows = ((BAD, "a", 25.1, 0.04), (BAD, "b", 25.3, 0.04))
        self.record_all(*rows, ("x", "c", 25.5, 2.0))
        last = trace(BAD, "c", held=0.04)
        # It was noticed at 25.51 s, and the first trace arrived 0.1 s later.
        self.history.record(last, 25.61)
        self.assertEqual(self.blocked(), set())
        self.history.record(dataclasses.replace(last, age=0.2), 25.71)
        self.assertEqual(self.blocked(), {BAD})

    def test_a_request_sent_before_the_crashes_is_blocked(self):
        for at, endpoint in ((25.1, "a"), (25.25, "b"), (25.4, "c")):
            concurrent = (f"concurrent at {endpoint}", endpoint, at - 0.002, 2.0)
            self.record_all((BAD, endpoint, at, 0.1), concurrent)
        self.assertEqual(self.blocked(), {BAD})


class RepeatedTraceTest(CrashHistoryCase):
    """A repeated trace with less delay also moves the time of sending.

    Guards against unblocking a crashing request.  A VM received three crashes 27 ms
    after they were noticed, and received the same crashes again without delay.  The
    crash times moved, but the times of sending, 4 and 7 ms before two of the crashes,
    did not; these two then seemed to precede the sending.  The VM logged
    "request-freed", and the request crashed two more engines.
    """

    # Rows of endpoint and seconds between sending the request to it and its crash.
    HELD = (("a", 0.007), ("b", 0.004), ("c", 0.012))

    def record_after(self, delay: float) -> None:
        """Record all crashes, which another VM noticed at the same moment."""
        for endpoint, held in self.HELD:
            repeated = dataclasses.replace(trace(BAD, endpoint), held=held)
            self.history.record(repeated, self.now + delay)

    def test_the_request_stays_blocked(self):
        self.record_after(0.027)
        self.assertEqual(self.blocked(), {BAD})
        self.record_after(0.0)
        self.assertEqual(self.blocked(), {BAD})


class SimultaneousCrashesTest(CrashHistoryCase):
    """Simultaneous crashes are not attributed to a request that met three of them.

    Guards against blocking an innocent request.  Four endpoints were lost within 30 ms,
    and the request was at three of them: it was interrupted at the first, and was
    retried at the second and the third before any VM had noticed their loss.
    """

    def lose(self, *times: float) -> None:
        """Record the loss of endpoints, all but the last running the request."""
        for number, at in enumerate(times):
            self.now = at
            name = "concurrent" if number == len(times) - 1 else BAD
            self.history.record(trace(name, f"e{number}"), at)

    def test_the_request_is_not_blocked_after_one_moment(self):
        self.lose(25.375, 25.378, 25.380, 25.400)
        self.assertEqual(self.blocked(), set())

    def test_a_request_at_crashes_at_different_moments_is_blocked(self):
        self.lose(25.1, 25.2, 25.3, 25.5)
        self.assertEqual(self.blocked(), {BAD})


class BlockingTest(CrashHistoryCase):
    """Three crashes block a request, and fewer do not."""

    def test_three_crashes(self):
        for number, expected in ((1, set()), (2, set()), (3, {BAD})):
            self.crash(f"e{number}", BAD)
            self.assertEqual(self.blocked(), expected)
        self.assertTrue(self.history.is_blocked(BAD, OLD))
        self.assertFalse(self.history.is_blocked(GOOD, OLD))
        self.assertFalse(self.history.is_blocked(BAD, OTHER))

    def test_traces_from_many_vms_are_one_crash(self):
        for age in (0.0, 0.01, 0.3):
            self.record(trace(BAD, "e1", age=age))
        self.assertEqual(len(self.history.crashes), 1)
        self.assertEqual(self.blocked(), set())

    def test_a_restarted_endpoint_with_the_same_name_can_crash_again(self):
        for _ in range(3):
            self.crash("e1", BAD)
        self.assertEqual(self.blocked(), {BAD})


class ConcurrentRequestTest(CrashHistoryCase):
    """A request that only ran next to a crashing request is not blocked."""

    def test_present_at_some_of_the_crashes(self):
        self.crash("e1", BAD, GOOD)
        self.crash("e2", BAD, GOOD)
        self.crash("e3", BAD)
        self.assertEqual(self.blocked(), {BAD})

    def test_present_at_all_crashes_and_started_long_before(self):
        for number in range(3):
            self.crash(f"e{number}", GOOD, ran=LATE)
            self.record(trace(BAD, f"e{number}"))
        self.assertEqual(self.blocked(), {BAD})

    def test_present_at_all_crashes_and_not_started(self):
        for number in range(3):
            self.crash(f"e{number}", GOOD, ran=None)
            self.record(trace(BAD, f"e{number}"))
        self.assertEqual(self.blocked(), {BAD})

    def test_present_at_all_crashes_and_started_if_the_other_had_not(self):
        bad = ((None, 0.111), (0.083, 0.382), (None, 0.571))
        good = ((2.172, 2.285), (0.256, 0.384), (0.412, 0.571))
        for number, rows in enumerate(zip(bad, good, strict=True)):
            self.now += 2.0 * crashes.SAME_CRASH_SECONDS
            for name, (ran, held) in zip((BAD, GOOD), rows, strict=True):
                self.record(trace(name, f"e{number}", ran=ran, held=held))
        self.assertEqual(self.blocked(), {BAD})

    def test_the_next_crash_unblocks_a_wrongly_blocked_request(self):
        for number in range(3):
            self.crash(f"e{number}", GOOD, ran=SOON / 2)
            self.record(trace(BAD, f"e{number}"))
        self.assertEqual(self.blocked(), {GOOD})
        self.crash("e4", BAD)
        self.assertEqual(self.blocked(), {BAD})

    def test_one_next_to_two_crashing_requests(self):
        self.crash("e1", "bad-1", GOOD)
        self.crash("e2", "bad-1")
        self.crash("e3", "bad-1", "bad-2", GOOD)
        self.crash("e4", "bad-2")
        self.crash("e5", "bad-2", GOOD)
        self.assertEqual(self.blocked(), {"bad-1", "bad-2"})

    def test_one_next_to_each_of_three_crashing_requests(self):
        for number in range(1, 4):
            self.crash(f"e{number}", f"bad-{number}", GOOD)
        for number in range(1, 4):
            self.crash(f"f{number}", f"bad-{number}")
        self.assertEqual(self.blocked(), set())
        for number in range(1, 4):
            self.crash(f"g{number}", f"bad-{number}")
        self.assertEqual(self.blocked(), {"bad-1", "bad-2", "bad-3"})

    def test_one_crash_with_another_cause(self):
        self.crash("e1", BAD)
        self.crash("e2", BAD, GOOD, ran=LATE)
        self.crash("e3", BAD, GOOD, ran=LATE)
        self.crash("e4", GOOD, ran=LATE)
        self.assertEqual(self.blocked(), {BAD})


class AnsweredTest(CrashHistoryCase):
    """A version that answered a request considers it harmless."""

    def test_an_answered_request_is_no_longer_a_suspect(self):
        self.crash("e1", GOOD)
        self.crash("e2", GOOD)
        self.assertTrue(self.history.is_suspect(GOOD))
        self.record(answer(GOOD))
        self.assertFalse(self.history.is_suspect(GOOD))
        self.crash("e3", GOOD)
        self.assertEqual(self.blocked(), set())

    def test_a_late_trace_of_a_crash_before_the_answer_is_ignored(self):
        self.record(answer(GOOD))
        self.assertFalse(self.history.record(trace(GOOD, "e1", age=5.0), self.now))
        self.assertFalse(self.history.is_suspect(GOOD))


class OtherVersionTest(CrashHistoryCase):
    """Another version of the service may work, and is tried with care."""

    def setUp(self) -> None:
        super().setUp()
        for number in range(3):
            self.crash(f"e{number}", BAD)

    def test_a_request_blocked_for_another_version_is_reported(self):
        self.assertTrue(self.history.is_blocked_elsewhere(BAD, NEW))
        self.assertFalse(self.history.is_blocked_elsewhere(BAD, OTHER))
        self.assertFalse(self.history.is_blocked_elsewhere(GOOD, NEW))
        self.assertFalse(self.history.is_blocked(BAD, NEW))

    def test_one_crash_of_the_other_version_blocks_it(self):
        self.crash("n1", BAD, target=NEW)
        self.assertTrue(self.history.is_blocked(BAD, NEW))

    def test_an_answer_unblocks_it_for_that_version_only(self):
        self.record(answer(BAD, NEW))
        self.assertFalse(self.history.is_blocked_elsewhere(BAD, NEW))
        self.assertFalse(self.history.is_blocked(BAD, NEW))
        self.assertTrue(self.history.is_blocked(BAD, OLD))


class BoundsTest(CrashHistoryCase):
    """Memory is bounded, and old entries are forgotten."""

    def test_the_oldest_entries_are_evicted_first_and_blocked_ones_last(self):
        for number in range(3):
            self.crash(f"e{number}", GOOD, ran=LATE)
            self.record(trace(BAD, f"e{number}"))
        for number in range(crashes.MAX_CRASHES + 50):
            self.crash(f"f{number}", f"r{number}")
        self.assertLessEqual(len(self.history.crashes), crashes.MAX_CRASHES + 3)
        self.assertEqual(self.blocked(), {BAD})
        self.assertFalse(self.history.is_suspect(GOOD))
        self.assertFalse(self.history.is_suspect(Fingerprint("r0")))

    def test_many_requests_at_each_crash(self):
        for number in range(200):
            self.crash(f"e{number}", *(f"r{number}-{n}" for n in range(100)))
        traces = sum(len(crash.ran) for crash in self.history.crashes)
        self.assertLessEqual(traces, crashes.MAX_TRACES)
        self.assertEqual(len(self.history.crashes_by_request), traces)

    def test_blocked_requests_are_evicted_if_there_are_too_many(self):
        for number in range(crashes.MAX_CRASHES):
            self.crash(f"e{number}", f"bad-{number // 3}")
        last = (crashes.MAX_CRASHES - 1) // 3
        for number in range(3):
            self.crash(f"f{number}", "bad-new")
        self.assertIn("bad-new", self.blocked())
        self.assertIn(f"bad-{last - 1}", self.blocked())
        self.assertNotIn("bad-0", self.blocked())
        self.assertLessEqual(len(self.history.crashes), crashes.MAX_CRASHES)

    def test_answers_are_bounded(self):
        for number in range(crashes.MAX_ANSWERED + 100):
            self.record(answer(f"r{number}"))
        self.assertEqual(len(self.history.answered), crashes.MAX_ANSWERED)

    def test_old_entries_are_forgotten(self):
        self.crash("e1", GOOD)
        for number in range(3):
            self.crash(f"e{number}", BAD)
        self.history.expire(self.now + crashes.FORGOTTEN_SECONDS + 60.0)
        self.assertFalse(self.history.is_suspect(GOOD))
        self.assertEqual(self.blocked(), {BAD})
        self.history.expire(self.now + crashes.BLOCKED_SECONDS + 60.0)
        self.assertEqual(self.blocked(), set())
        self.assertEqual(
            (self.history.crashes, self.history.crashes_by_request), ([], {})
        )


CRASH_ROWS = st.lists(
    st.tuples(
        st.sampled_from(["a", "b", "c", "d"]),
        st.sampled_from(["e1", "e2", "e3", "e4", "e5"]),
        st.sampled_from([None, SOON, LATE]),
    ),
    max_size=16,
    unique_by=lambda row: row[:2],
)


class ExportTest(unittest.TestCase):
    """VMs with the same traces block the same requests, however they received them."""

    @settings(derandomize=True, max_examples=200)
    @given(CRASH_ROWS, st.randoms(use_true_random=False))
    def test_the_order_of_traces_does_not_matter(self, rows, random):
        traces = [trace(name, endpoint, ran=ran) for name, endpoint, ran in rows]
        first, second, third = CrashHistory(), CrashHistory(), CrashHistory()
        for one in traces:
            first.record(one, 100.0)
        random.shuffle(traces)
        for one in [*traces, *traces]:
            second.record(one, 100.2)
        for one in first.traces(100.5):
            third.record(one, 100.5)
        for history in (second, third):
            self.assertEqual(history.blocked, first.blocked)
            self.assertEqual(history.digest(), first.digest())

    def test_traces_of_blocked_requests_restore_the_blocks(self):
        history = CrashHistory()
        for number in range(3):
            history.record(trace(BAD, f"e{number}"), 100.0)
            history.record(trace(GOOD, f"e{number}", ran=LATE), 100.0)
        kept = list(history.blocked_traces(101.0))
        self.assertEqual({one.fingerprint for one in kept}, {BAD})
        again = CrashHistory()
        for one in kept:
            again.record(one, 500.0)
        self.assertEqual(again.blocked, history.blocked)
