# Licensed under the Apache License 2.0: see LICENSE for details.

"""The stages of a request: no sequence of steps leads to a false "not run"."""

from __future__ import annotations

import unittest
from collections.abc import Iterator

from walnutquay.exceptions import EndpointError, NotStartedError, SpentStageError
from walnutquay.state.requests.refusals import Refusal, RefusalCode
from walnutquay.state.requests.stages import (
    Admitted,
    Continuing,
    Dispatched,
    NotRun,
    Received,
    Stage,
    Unclaimed,
    receive,
    receive_keyed,
)

REFUSAL = Refusal(RefusalCode.QUEUE_FULL, "full", 1.0)
PROOF = NotStartedError("refused")

# The steps that each stage offers.  The depth of the search is a number of steps.
STEPS = {
    Unclaimed: ("granted", "repeated", "unknown"),
    Received: ("admit", "refuse"),
    Admitted: ("dispatch", "refuse"),
    Dispatched: ("answered", "unknown", "not_started", "proceed"),
    Continuing: ("dispatch", "answered", "unknown"),
}
ARGUMENTS = {"refuse": (REFUSAL,), "dispatch": ("e1",), "not_started": (PROOF,)}
DEPTH = 9


def paths(steps: tuple[str, ...], keyed: bool) -> Iterator[tuple[tuple, list[Stage]]]:
    """Yield every sequence of steps, with the stages that it goes through."""
    stages: list[Stage] = [receive_keyed("r") if keyed else receive("r")]
    for step in steps:
        stages.append(getattr(stages[-1], step)(*ARGUMENTS.get(step, ())))
    yield steps, stages
    if len(steps) < DEPTH:
        for step in STEPS.get(type(stages[-1]), ()):
            yield from paths((*steps, step), keyed)


class StagesTest(unittest.TestCase):
    """All sequences of steps up to a depth, from both initial stages."""

    def test_not_run_is_reached_only_if_every_dispatch_was_reverted(self):
        seen = 0
        for keyed in (False, True):
            for steps, stages in paths((), keyed):
                if not isinstance(stages[-1], NotRun):
                    continue
                seen += 1
                reverted = steps.count("not_started")
                self.assertEqual(steps.count("dispatch"), reverted, steps)
                self.assertFalse(stages[-1].progress.may_have_run)
        self.assertGreater(seen, 10)

    def test_a_keyed_request_is_refused_only_after_its_claim(self):
        for steps, stages in paths((), True):
            if isinstance(stages[-1], NotRun):
                self.assertIn("granted", steps)

    def test_a_stage_that_was_left_raises(self):
        for steps, stages in paths((), False):
            for old in stages[:-1]:
                for step in STEPS[type(old)]:
                    with self.assertRaises(SpentStageError, msg=(steps, step)):
                        getattr(old, step)(*ARGUMENTS.get(step, ()))

    def test_not_run_cannot_be_created_after_a_dispatch(self):
        running = receive("r").admit().dispatch("e1")
        with self.assertRaises(TypeError):
            NotRun(running, REFUSAL)
        self.assertFalse(hasattr(running, "refuse"))

    def test_only_not_started_error_reverts_a_dispatch(self):
        running = receive("r").admit().dispatch("e1")
        with self.assertRaises(TypeError):
            running.not_started(EndpointError("cut"))
