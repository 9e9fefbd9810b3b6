# Licensed under the Apache License 2.0: see LICENSE for details.

"""Attribution of endpoint crashes to parts that prompts share."""

from __future__ import annotations

import itertools
import math
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from walnutquay.state.process.ids import (
    EndpointName,
    Fingerprint,
    PartName,
    RequestId,
    ServiceName,
    VersionName,
)
from walnutquay.state.requests import crashevidence
from walnutquay.state.requests.crashes import CrashHistory
from walnutquay.state.requests.crashtypes import CrashTarget, CrashTrace
from walnutquay.state.requests.features import RequestFeatures
from walnutquay.state.requests.retests import (
    CONFIRMED_SECONDS,
    PROVISIONAL_SECONDS,
    Retests,
)

OLD = CrashTarget(ServiceName("engine"), VersionName("v1"))
NEW = CrashTarget(ServiceName("engine"), VersionName("v2"))
# Seconds between the start of an answer and the endpoint's crash.
SOON, LATE = 0.05, 1.5
BAD, FIRST = "bad0", "5c1e"


def parts_of(*names: str) -> tuple[PartName, ...]:
    return tuple(PartName(name) for name in names)


def crash_trace(
    request: str,
    endpoint: str,
    parts: tuple[str, ...],
    target: CrashTarget = OLD,
    ran: float | None = SOON,
    held: float = 0.3,
) -> CrashTrace:
    """:returns: the trace of a prompt that was running at an endpoint crash."""
    names = parts_of(*parts)
    return CrashTrace(
        Fingerprint(request),
        target,
        EndpointName(endpoint),
        0.0,
        ran,
        held=held,
        parts=names,
    )


def answer_trace(*parts: str, target: CrashTarget = OLD) -> CrashTrace:
    """:returns: the trace of an answered prompt."""
    nobody, nowhere = Fingerprint(""), EndpointName("")
    names = parts_of(*parts)
    return CrashTrace(nobody, target, nowhere, 0.0, answered=True, parts=names)


class PartCase(unittest.TestCase):
    """A crash history, with a clock that every crash advances."""

    def setUp(self) -> None:
        self.history = CrashHistory()
        self.now = 100.0
        self.numbers = itertools.count()

    def crash(self, *prompts: tuple[str, ...], after: float = 1.0, **more) -> None:
        """Record the crash of an endpoint that was running prompts like no others."""
        self.now += after
        endpoint = f"e{next(self.numbers)}"
        for number, parts in enumerate(prompts):
            one = crash_trace(f"{endpoint}-{number}", endpoint, parts, **more)
            self.history.record(one, self.now)

    def answer(self, *parts: str, target: CrashTarget = OLD) -> None:
        """Record an answer, after all crashes so far."""
        self.now += 0.1
        self.history.record(answer_trace(*parts, target=target), self.now)

    def refused(self, *parts: str, target: CrashTarget = OLD) -> bool:
        """:returns: whether a new request with some parts is blocked."""
        features = RequestFeatures(Fingerprint("new"), parts_of(*parts)).all()
        return self.history.verdict_on(features, target) is not None


class CrashingPartTest(PartCase):
    """A part that is at all crashes, and is never answered, is blocked."""

    def test_wherever_it_stands_and_whatever_stands_beside_it(self):
        for number in range(3):
            place = number % 2
            parts = [FIRST, f"q{number}"]
            parts.insert(place, BAD)
            self.crash(tuple(parts), (FIRST, f"r{number}"))
            self.answer(FIRST)
        self.assertTrue(self.refused("x", BAD, "y"))
        self.assertFalse(self.refused(FIRST, "q0"))

    def test_not_after_two_crashes(self):
        for _ in range(2):
            self.crash((FIRST, BAD))
            self.answer(FIRST)
        self.assertFalse(self.refused(BAD))

    def test_two_parts_are_each_found_by_their_own_crashes(self):
        for number in range(6):
            self.crash((FIRST, f"bad{number % 2}"))
            self.answer(FIRST)
        self.assertTrue(self.refused("bad0"))
        self.assertTrue(self.refused("bad1"))
        self.assertFalse(self.refused(FIRST))

    def test_one_request_at_several_crashes_is_blamed_as_a_whole(self):
        for number in range(3):
            self.now += 1.0
            one = crash_trace("same", f"e{number}", (FIRST, BAD))
            self.history.record(one, self.now)
            self.answer(FIRST)
        self.assertEqual(self.history.blocked, {OLD: frozenset({"same"})})
        self.assertFalse(self.refused(BAD))
        # A second request shows that the first was not alone the cause.
        self.crash((FIRST, BAD))
        self.answer(FIRST)
        self.assertTrue(self.refused(BAD))

    def test_only_for_the_version_that_crashed(self):
        for _ in range(3):
            self.crash((BAD,))
            self.answer(FIRST)
        self.assertFalse(self.refused(BAD, target=NEW))
        features = RequestFeatures(Fingerprint("new"), parts_of(BAD)).all()
        self.assertIsNotNone(self.history.verdict_elsewhere(features, NEW))
        self.crash((BAD,), target=NEW)
        self.assertTrue(self.refused(BAD, target=NEW))

    def test_free_where_another_version_has_answered_it(self):
        for _ in range(3):
            self.crash((BAD,))
            self.answer(FIRST)
        names = parts_of(BAD)
        self.assertEqual(self.history.parts_in_doubt(names, NEW), names)
        self.answer(BAD, target=NEW)
        features = RequestFeatures(Fingerprint("new"), names).all()
        self.assertIsNone(self.history.verdict_elsewhere(features, NEW))
        self.assertTrue(self.refused(BAD))


class SoundPartTest(PartCase):
    """Parts that sound prompts share with the crashing ones are not blocked."""

    def test_answered_between_the_crashes(self):
        for _ in range(8):
            self.crash((FIRST,))
            self.answer(FIRST)
        self.assertEqual(self.history.verdicts, {})

    def test_endpoints_that_are_lost_together_count_once(self):
        self.answer(FIRST)
        for _ in range(5):
            self.crash((FIRST,), (FIRST, "q"), after=0.01)
        self.answer("other")
        self.assertEqual(self.history.verdicts, {})

    def test_a_version_that_answers_nothing_is_at_fault_itself(self):
        for _ in range(6):
            self.crash((FIRST,), (FIRST, "q"))
        self.assertFalse(self.refused(FIRST))
        self.assertFalse(self.refused(FIRST, "q"))
        self.assertEqual(self.history.blocked_parts, {})

    def test_two_parts_that_are_always_together_are_blocked_together_only(self):
        for _ in range(3):
            self.crash((FIRST, "q", BAD))
            self.answer(FIRST)
        self.assertTrue(self.refused("q", BAD))
        self.assertFalse(self.refused("q"))
        self.assertFalse(self.refused(BAD))
        self.crash((FIRST, BAD))
        self.assertTrue(self.refused(BAD))
        self.assertFalse(self.refused("q"))

    def test_part_whose_answers_ran_much_longer_is_told_apart(self):
        for number in range(3):
            self.crash((BAD, "q"))
            slow = crash_trace("slow", f"e{number}", ("q",), ran=LATE)
            self.history.record(slow, self.now)
            self.answer(FIRST)
        self.assertTrue(self.refused(BAD))
        self.assertFalse(self.refused("q"))

    def test_freed_by_an_answer_and_blocked_again_by_new_crashes_only(self):
        for _ in range(3):
            self.crash((BAD,))
            self.answer(FIRST)
        self.answer(BAD)
        self.assertFalse(self.refused(BAD))
        self.crash((BAD,))
        self.answer(FIRST)
        self.assertFalse(self.refused(BAD))

    def test_a_crash_that_is_told_after_a_later_answer_does_not_count(self):
        crash = crash_trace("r", "e1", (BAD,))
        self.answer(BAD)
        self.now += 0.5
        late = CrashTrace(
            crash.fingerprint, OLD, crash.endpoint, 2.0, SOON, parts=crash.parts
        )
        self.history.record(late, self.now)
        self.assertEqual(self.history.parts.crashes_by_part, {})

    def test_request_that_was_sent_after_the_crash(self):
        for _ in range(3):
            self.crash(("p",), held=-0.01)
            self.answer(FIRST)
        self.assertFalse(self.refused("p"))


class SuspectTest(PartCase):
    """Two crashes make a part suspect: requests with it share one endpoint."""

    def suspect(self, *parts: str) -> bool:
        assert self.history.verdicts is not None
        features = RequestFeatures(Fingerprint("new"), parts_of(*parts)).all()
        return self.history.early_suspect(features) is not None

    def test_after_two_crashes(self):
        self.crash((FIRST, BAD))
        self.answer(FIRST)
        self.assertFalse(self.suspect(BAD))
        self.crash((FIRST, BAD))
        self.answer(FIRST)
        self.assertTrue(self.suspect("x", BAD))
        self.assertFalse(self.suspect(FIRST))

    def test_not_what_endpoints_answered_for_some_time(self):
        for _ in range(2):
            self.crash((FIRST,), ran=LATE)
        self.assertFalse(self.suspect(FIRST))


class RetestTest(PartCase):
    """Few requests test whether a blocked part still crashes endpoints."""

    def block(self, crashes: int) -> Retests:
        for _ in range(crashes):
            self.crash((BAD,))
            self.answer(FIRST)
        [self.verdict] = self.history.verdicts[OLD]
        return Retests()

    def test_soon_while_few_crashes_are_known(self):
        retests = self.block(3)
        last = self.verdict.crashes[-1].at
        self.assertFalse(retests.is_due(self.verdict, last + 0.5 * PROVISIONAL_SECONDS))
        self.assertTrue(retests.is_due(self.verdict, last + PROVISIONAL_SECONDS))

    def test_rarely_once_it_is_confirmed(self):
        retests = self.block(4)
        last = self.verdict.crashes[-1].at
        self.assertFalse(retests.is_due(self.verdict, last + 10 * PROVISIONAL_SECONDS))
        self.assertTrue(retests.is_due(self.verdict, last + CONFIRMED_SECONDS))

    def test_one_at_a_time(self):
        retests = self.block(3)
        one, other = RequestId("one"), RequestId("other")
        self.assertTrue(retests.start(self.verdict, OLD, one, 10.0, 0.0))
        self.assertFalse(retests.start(self.verdict, OLD, other, 11.0, 1.0))
        self.assertTrue(retests.start(self.verdict, OLD, one, 10.0, 2.0))
        self.assertTrue(retests.start(self.verdict, OLD, other, 20.0, 11.0))


class BoundsTest(PartCase):
    """Memory is bounded, whatever callers name as parts."""

    def test_many_parts_at_many_crashes(self):
        for crash in range(60):
            prompts = [
                tuple(f"p{crash}-{number}-{n}" for n in range(200))
                for number in range(20)
            ]
            self.crash(*prompts)
        kept = sum(
            len(parts)
            for crash in self.history.crashes
            for parts in crash.parts.values()
        )
        limit = crashevidence.MAX_TRACES * crashevidence.PARTS_PER_TRACE
        self.assertLessEqual(kept, limit)
        self.assertLessEqual(len(self.history.parts.crashes_by_part), limit)

    def test_old_evidence_is_forgotten(self):
        self.crash((FIRST,))
        self.history.expire(self.now + crashevidence.FORGOTTEN_SECONDS + 1.0)
        self.assertEqual(self.history.parts.crashes_by_part, {})

    def test_evidence_of_a_block_is_kept_for_a_day(self):
        for _ in range(3):
            self.crash((BAD,))
            self.answer(FIRST)
        self.history.expire(self.now + crashevidence.FORGOTTEN_SECONDS + 1.0)
        self.assertTrue(self.refused(BAD))
        self.history.expire(self.now + crashevidence.BLOCKED_SECONDS + 1.0)
        self.assertFalse(self.refused(BAD))


NAMES = st.sampled_from(["a", "b", "c"])
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("crash"), st.integers(0, 30), st.frozensets(NAMES)),
        st.tuples(st.just("answer"), st.integers(0, 30), st.frozensets(NAMES)),
    ),
    max_size=14,
)


class ExportTest(PartCase):
    """VMs with the same evidence come to the same verdicts, in whichever order."""

    @settings(derandomize=True, max_examples=200)
    @given(STEPS, st.randoms(use_true_random=False))
    def test_order_does_not_matter(self, steps, random):
        traces = []
        for number, (kind, at, names) in enumerate(steps):
            parts = parts_of(*sorted(names))
            one = crash_trace(f"r{number}", f"e{number}", tuple(parts))
            if kind == "answer":
                one = answer_trace(*parts)
            traces.append((60.0 - at - number / 100.0, one))
        first, second, third = CrashHistory(), CrashHistory(), CrashHistory()
        self.record(first, traces)
        random.shuffle(traces)
        self.record(second, [*traces, *traces])
        for one in first.traces(500.0):
            third.record(one, 500.0)
        for history in (second, third):
            self.assertEqual(self.verdicts(history), self.verdicts(first))
            self.assertEqual(history.digest(), first.digest())

    def record(self, history: CrashHistory, traces) -> None:
        for age, one in traces:
            aged = CrashTrace(
                one.fingerprint,
                one.target,
                one.endpoint,
                age,
                one.ran,
                one.answered,
                one.held,
                one.parts,
            )
            history.record(aged, 400.0)

    def verdicts(self, history: CrashHistory) -> set[tuple]:
        found = (one for rows in history.verdicts.values() for one in rows)
        return {(one.feature, one.features, one.moments) for one in found}

    def test_stored_evidence_restores_the_block(self):
        for _ in range(3):
            self.crash((FIRST, BAD), (FIRST, "q"))
            self.answer(FIRST)
        again = CrashHistory()
        for one in self.history.blocked_part_traces(self.now):
            again.record(one, 900.0)
        self.assertEqual(self.verdicts(again), self.verdicts(self.history))
        self.assertFalse(
            math.isinf(again.crashes[0].sent[next(iter(again.crashes[0].ran))])
        )
