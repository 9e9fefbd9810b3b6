# Licensed under the Apache License 2.0: see LICENSE for details.

"""Which of the requests at endpoints that ended is held to end them."""

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
from walnutquay.state.requests import crashes
from walnutquay.state.requests.crashes import CrashHistory
from walnutquay.state.requests.crashtypes import CrashTarget, CrashTrace

OLD = CrashTarget(ServiceName("engine"), VersionName("v1"))
NEW = CrashTarget(ServiceName("engine"), VersionName("v2"))
OTHER = CrashTarget(ServiceName("plain"), VersionName("v1"))
BAD, GOOD = Fingerprint("bad"), Fingerprint("good")
# Seconds for which an answer had begun as the endpoint ended.
SOON, LATE = 0.1, 2.0


def trace(
    fingerprint: str,
    endpoint: str,
    target: CrashTarget = OLD,
    ran: float | None = SOON,
    age: float = 0.0,
    held: float = math.inf,
) -> CrashTrace:
    """:returns: that a request was at an endpoint which ended."""
    name = Fingerprint(fingerprint)
    return CrashTrace(name, target, EndpointName(endpoint), age, ran, held=held)


def answer(fingerprint: str, target: CrashTarget = OLD, age: float = 0.0) -> CrashTrace:
    """:returns: that a request was answered."""
    name = Fingerprint(fingerprint)
    return CrashTrace(name, target, EndpointName("e"), age, answered=True)


class BookCase(unittest.TestCase):
    """A book, and a clock that each step moves on."""

    def setUp(self) -> None:
        self.book = CrashHistory()
        self.now = 100.0

    def take(self, *traces: CrashTrace) -> None:
        for one in traces:
            self.now += 0.01
            self.book.record(one, self.now)

    def end(self, endpoint: str, *names: str, **more) -> None:
        """Have an endpoint end that had some requests."""
        self.now += 2.0 * crashes.SAME_CRASH_SECONDS
        self.take(*(trace(name, endpoint, **more) for name in names))

    def blocked(self, target: CrashTarget = OLD) -> set[str]:
        return set(self.book.blocked.get(target, ()))


class SentLaterTest(BookCase):
    """What was sent to an endpoint after its end did not end it.

    Four endpoints had ended at one moment.  A request that broke at one of them was
    sent to a second and a third, whose connections were reset 3 and 32 ms later: all
    three counted against it, and it was refused for good.  "endpoint-ended" of the two
    others stood in other VMs' lines at 25.37 s, and it was sent to them at 25.391 and
    25.394 s.
    """

    # Which request broke, where, when, and how long its endpoint had had it.
    OWN = (
        (BAD, "a", 25.391, 1.035),
        (BAD, "b", 25.394, 0.003),
        (BAD, "c", 25.426, 0.032),
    )
    OTHERS = (("x", "a", 25.38, 2.0), ("y", "b", 25.37, 2.0), ("z", "c", 25.37, 2.0))

    def take_all(self, *rows: tuple[str, str, float, float]) -> None:
        """Take in what VMs have noticed, some time after it."""
        for name, endpoint, at, held in rows:
            seen = trace(name, endpoint, age=26.0 - at)
            self.book.record(dataclasses.replace(seen, held=held), 26.0)

    def test_it_is_not_held_to_have_ended_them(self):
        self.take_all(*self.OTHERS, *self.OWN)
        self.assertEqual(self.blocked(), set())
        self.assertEqual(len(self.book.evidence(BAD, OLD.service)), 1)

    def test_news_of_the_others_that_come_later_free_it(self):
        self.take_all(*self.OWN)
        self.assertEqual(self.blocked(), {BAD})
        self.take_all(*self.OTHERS)
        self.assertEqual(self.blocked(), set())

    def test_news_that_come_again_tell_when_it_was_sent(self):
        rows = ((BAD, "a", 25.1, 0.04), (BAD, "b", 25.3, 0.04))
        self.take_all(*rows, ("x", "c", 25.5, 2.0))
        last = trace(BAD, "c", held=0.04)
        # It was noted at 25.51, and the first news of it came 0.1 s later.
        self.book.record(last, 25.61)
        self.assertEqual(self.blocked(), set())
        self.book.record(dataclasses.replace(last, age=0.2), 25.71)
        self.assertEqual(self.blocked(), {BAD})

    def test_what_was_there_before_counts(self):
        for at, endpoint in ((25.1, "a"), (25.25, "b"), (25.4, "c")):
            beside = (f"beside at {endpoint}", endpoint, at - 0.002, 2.0)
            self.take_all((BAD, endpoint, at, 0.1), beside)
        self.assertEqual(self.blocked(), {BAD})


class ToldAgainTest(BookCase):
    """News that are told again with less delay move a request's send as well.

    A VM took in three ends 27 ms after they were noticed, and took in the same again
    without a delay: two of them were now before the request was sent there, 4 and 7 ms
    before its ends.  "request-freed" stood in its lines, and it ended two more engines.
    """

    # Where it broke, and how long its endpoint had had it.
    HELD = (("a", 0.007), ("b", 0.004), ("c", 0.012))

    def take_after(self, delay: float) -> None:
        """Take in all ends, which another VM noticed at one moment."""
        for endpoint, held in self.HELD:
            told = dataclasses.replace(trace(BAD, endpoint), held=held)
            self.book.record(told, self.now + delay)

    def test_it_stays_blocked(self):
        self.take_after(0.027)
        self.assertEqual(self.blocked(), {BAD})
        self.take_after(0.0)
        self.assertEqual(self.blocked(), {BAD})


class SameMomentTest(BookCase):
    """Endpoints that are lost together are not ended by a request that met three.

    Of four that were lost within 30 ms a request had been at three: it broke at the
    first, and was sent on to the second and the third before anybody had noticed that
    these were gone.
    """

    def lose(self, *times: float) -> None:
        """Let endpoints be lost, of which all but the last had the request."""
        for number, at in enumerate(times):
            self.now = at
            name = "beside" if number == len(times) - 1 else BAD
            self.book.record(trace(name, f"e{number}"), at)

    def test_it_is_not_blocked(self):
        self.lose(25.375, 25.378, 25.380, 25.400)
        self.assertEqual(self.blocked(), set())

    def test_one_that_ended_all_of_them_is(self):
        self.lose(25.1, 25.2, 25.3, 25.5)
        self.assertEqual(self.blocked(), {BAD})


class BlockingTest(BookCase):
    """Three ends block a request, fewer do not."""

    def test_three_ends(self):
        for number, expected in ((1, set()), (2, set()), (3, {BAD})):
            self.end(f"e{number}", BAD)
            self.assertEqual(self.blocked(), expected)
        self.assertTrue(self.book.is_blocked(BAD, OLD))
        self.assertFalse(self.book.is_blocked(GOOD, OLD))
        self.assertFalse(self.book.is_blocked(BAD, OTHER))

    def test_many_vms_tell_of_one_end(self):
        for age in (0.0, 0.01, 0.3):
            self.take(trace(BAD, "e1", age=age))
        self.assertEqual(len(self.book.crashes), 1)
        self.assertEqual(self.blocked(), set())

    def test_an_endpoint_that_is_back_under_its_name_ends_anew(self):
        for _ in range(3):
            self.end("e1", BAD)
        self.assertEqual(self.blocked(), {BAD})


class BesideTest(BookCase):
    """What was only beside it is not blocked for it."""

    def test_at_some_of_its_ends(self):
        self.end("e1", BAD, GOOD)
        self.end("e2", BAD, GOOD)
        self.end("e3", BAD)
        self.assertEqual(self.blocked(), {BAD})

    def test_at_all_of_its_ends_and_begun_long_before(self):
        for number in range(3):
            self.end(f"e{number}", GOOD, ran=LATE)
            self.take(trace(BAD, f"e{number}"))
        self.assertEqual(self.blocked(), {BAD})

    def test_at_all_of_its_ends_and_not_begun(self):
        for number in range(3):
            self.end(f"e{number}", GOOD, ran=None)
            self.take(trace(BAD, f"e{number}"))
        self.assertEqual(self.blocked(), {BAD})

    def test_at_all_of_its_ends_and_begun_where_it_had_not(self):
        bad = ((None, 0.111), (0.083, 0.382), (None, 0.571))
        good = ((2.172, 2.285), (0.256, 0.384), (0.412, 0.571))
        for number, rows in enumerate(zip(bad, good, strict=True)):
            self.now += 2.0 * crashes.SAME_CRASH_SECONDS
            for name, (ran, held) in zip((BAD, GOOD), rows, strict=True):
                self.take(trace(name, f"e{number}", ran=ran, held=held))
        self.assertEqual(self.blocked(), {BAD})

    def test_one_that_was_taken_for_it_is_freed_by_the_next_end(self):
        for number in range(3):
            self.end(f"e{number}", GOOD, ran=SOON / 2)
            self.take(trace(BAD, f"e{number}"))
        self.assertEqual(self.blocked(), {GOOD})
        self.end("e4", BAD)
        self.assertEqual(self.blocked(), {BAD})

    def test_two_that_end_endpoints_and_one_beside_both(self):
        self.end("e1", "bad-1", GOOD)
        self.end("e2", "bad-1")
        self.end("e3", "bad-1", "bad-2", GOOD)
        self.end("e4", "bad-2")
        self.end("e5", "bad-2", GOOD)
        self.assertEqual(self.blocked(), {"bad-1", "bad-2"})

    def test_one_beside_each_of_three(self):
        for number in range(1, 4):
            self.end(f"e{number}", f"bad-{number}", GOOD)
        for number in range(1, 4):
            self.end(f"f{number}", f"bad-{number}")
        self.assertEqual(self.blocked(), set())
        for number in range(1, 4):
            self.end(f"g{number}", f"bad-{number}")
        self.assertEqual(self.blocked(), {"bad-1", "bad-2", "bad-3"})

    def test_one_end_of_another_cause(self):
        self.end("e1", BAD)
        self.end("e2", BAD, GOOD, ran=LATE)
        self.end("e3", BAD, GOOD, ran=LATE)
        self.end("e4", GOOD, ran=LATE)
        self.assertEqual(self.blocked(), {BAD})


class AnsweredTest(BookCase):
    """A request that is answered is held for harmless by that version."""

    def test_it_is_no_suspect_any_more(self):
        self.end("e1", GOOD)
        self.end("e2", GOOD)
        self.assertTrue(self.book.is_suspect(GOOD))
        self.take(answer(GOOD))
        self.assertFalse(self.book.is_suspect(GOOD))
        self.end("e3", GOOD)
        self.assertEqual(self.blocked(), set())

    def test_news_of_an_end_before_it_come_late(self):
        self.take(answer(GOOD))
        self.assertFalse(self.book.record(trace(GOOD, "e1", age=5.0), self.now))
        self.assertFalse(self.book.is_suspect(GOOD))


class OtherVersionTest(BookCase):
    """Another version of the service may be better, and is tried with care."""

    def setUp(self) -> None:
        super().setUp()
        for number in range(3):
            self.end(f"e{number}", BAD)

    def test_it_is_known_there(self):
        self.assertTrue(self.book.is_blocked_elsewhere(BAD, NEW))
        self.assertFalse(self.book.is_blocked_elsewhere(BAD, OTHER))
        self.assertFalse(self.book.is_blocked_elsewhere(GOOD, NEW))
        self.assertFalse(self.book.is_blocked(BAD, NEW))

    def test_one_end_is_enough(self):
        self.end("n1", BAD, target=NEW)
        self.assertTrue(self.book.is_blocked(BAD, NEW))

    def test_an_answer_frees_it_there_only(self):
        self.take(answer(BAD, NEW))
        self.assertFalse(self.book.is_blocked_elsewhere(BAD, NEW))
        self.assertFalse(self.book.is_blocked(BAD, NEW))
        self.assertTrue(self.book.is_blocked(BAD, OLD))


class BoundsTest(BookCase):
    """Memory is bounded, and what is old is forgotten."""

    def test_the_oldest_go_first_and_blocked_ones_last(self):
        for number in range(3):
            self.end(f"e{number}", GOOD, ran=LATE)
            self.take(trace(BAD, f"e{number}"))
        for number in range(crashes.MAX_CRASHES + 50):
            self.end(f"f{number}", f"r{number}")
        self.assertLessEqual(len(self.book.crashes), crashes.MAX_CRASHES + 3)
        self.assertEqual(self.blocked(), {BAD})
        self.assertFalse(self.book.is_suspect(GOOD))
        self.assertFalse(self.book.is_suspect(Fingerprint("r0")))

    def test_many_requests_at_each_end(self):
        for number in range(200):
            self.end(f"e{number}", *(f"r{number}-{n}" for n in range(100)))
        traces = sum(len(end.ran) for end in self.book.crashes)
        self.assertLessEqual(traces, crashes.MAX_TRACES)
        self.assertEqual(len(self.book.crashes_by_request), traces)

    def test_blocked_ones_go_where_there_are_too_many(self):
        for number in range(crashes.MAX_CRASHES):
            self.end(f"e{number}", f"bad-{number // 3}")
        last = (crashes.MAX_CRASHES - 1) // 3
        for number in range(3):
            self.end(f"f{number}", "bad-new")
        self.assertIn("bad-new", self.blocked())
        self.assertIn(f"bad-{last - 1}", self.blocked())
        self.assertNotIn("bad-0", self.blocked())
        self.assertLessEqual(len(self.book.crashes), crashes.MAX_CRASHES)

    def test_many_answers(self):
        for number in range(crashes.MAX_ANSWERED + 100):
            self.take(answer(f"r{number}"))
        self.assertEqual(len(self.book.answered), crashes.MAX_ANSWERED)

    def test_time(self):
        self.end("e1", GOOD)
        for number in range(3):
            self.end(f"e{number}", BAD)
        self.book.expire(self.now + crashes.FORGOTTEN_SECONDS + 60.0)
        self.assertFalse(self.book.is_suspect(GOOD))
        self.assertEqual(self.blocked(), {BAD})
        self.book.expire(self.now + crashes.BLOCKED_SECONDS + 60.0)
        self.assertEqual(self.blocked(), set())
        self.assertEqual((self.book.crashes, self.book.crashes_by_request), ([], {}))


ENDS = st.lists(
    st.tuples(
        st.sampled_from(["a", "b", "c", "d"]),
        st.sampled_from(["e1", "e2", "e3", "e4", "e5"]),
        st.sampled_from([None, SOON, LATE]),
    ),
    max_size=16,
    unique_by=lambda row: row[:2],
)


class TellingTest(unittest.TestCase):
    """VMs that know the same come to the same verdict, however they heard of it."""

    @settings(derandomize=True, max_examples=200)
    @given(ENDS, st.randoms(use_true_random=False))
    def test_in_any_order(self, rows, random):
        traces = [trace(name, endpoint, ran=ran) for name, endpoint, ran in rows]
        first, second, third = CrashHistory(), CrashHistory(), CrashHistory()
        for one in traces:
            first.record(one, 100.0)
        random.shuffle(traces)
        for one in [*traces, *traces]:
            second.record(one, 100.2)
        for one in first.traces(100.5):
            third.record(one, 100.5)
        for book in (second, third):
            self.assertEqual(book.blocked, first.blocked)
            self.assertEqual(book.digest(), first.digest())

    def test_what_is_kept_for_good(self):
        book = CrashHistory()
        for number in range(3):
            book.record(trace(BAD, f"e{number}"), 100.0)
            book.record(trace(GOOD, f"e{number}", ran=LATE), 100.0)
        kept = list(book.blocked_traces(101.0))
        self.assertEqual({one.fingerprint for one in kept}, {BAD})
        again = CrashHistory()
        for one in kept:
            again.record(one, 500.0)
        self.assertEqual(again.blocked, book.blocked)
