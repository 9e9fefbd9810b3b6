# Licensed under the Apache License 2.0: see LICENSE for details.

"""Cascades learn at which step to start, by class of request."""

from __future__ import annotations

import random
import unittest

import orjson

from tests.fleetcase import FleetCase
from walnutquay.protocol import chat
from walnutquay.state.own.learning import (
    MAX_COUNTED_RATINGS,
    MIN_RATINGS,
    QualityKey,
    StepLearner,
)
from walnutquay.state.store.parts import Version

CHEAP = Version(name="cheap", model="cheap", price_output=1.0)
MIDDLE = Version(name="middle", model="middle", price_output=4.0)
STRONG = Version(name="strong", model="strong", price_output=10.0)
STEPS = (CHEAP, MIDDLE, STRONG)

# The success rate of each step -> the step to start at for the lowest expected cost.
FIRST_STEPS = [
    ((0.9, 0.9, 0.9), "cheap"),
    ((0.3, 0.9, 0.9), "cheap"),
    ((0.02, 0.9, 0.9), "middle"),
    ((0.02, 0.1, 0.9), "strong"),
    # A step that costs as much as it saves may be chosen by chance; a worse one not.
    ((0.02, 0.02, 0.9), "strong"),
]
# The success rate of each step, the required rate -> the step for a stream.
STREAM_STEPS = [
    ((0.95, 0.95, 0.95), 0.8, "cheap"),
    ((0.5, 0.95, 0.95), 0.8, "middle"),
    ((0.5, 0.5, 0.5), 0.8, "strong"),
    ((0.5, 0.5, 0.95), 0.2, "cheap"),
]


def trained_learner(shares: tuple[float, ...], ratings: int = 300) -> StepLearner:
    """Return a learner that has recorded some ratings of each step.

    :param shares: the share of ratings that reach the quality, by step.
    :param ratings: number of ratings of each step.
    """
    learner = StepLearner(random.Random(1))
    for version, share in zip(STEPS, shares, strict=True):
        reached = round(share * ratings)
        learner.record_ratings(
            QualityKey("c", "tag", version.name), reached, ratings - reached
        )
    return learner


class FirstStepTest(unittest.TestCase):
    """The chosen step has the lowest expected cost."""

    def test_first_step(self):
        for shares, expected in FIRST_STEPS:
            with self.subTest(shares=shares):
                learner = trained_learner(shares)
                chosen = [learner.first_step("c", "tag", STEPS) for _ in range(50)]
                self.assertEqual({STEPS[i].name for i in chosen}, {expected})

    def test_only_step_of_streams(self):
        for shares, reach, expected in STREAM_STEPS:
            with self.subTest(shares=shares, reach=reach):
                learner = trained_learner(shares)
                chosen = learner.only_step("c", "tag", STEPS, reach)
                self.assertEqual(STEPS[chosen].name, expected)

    def test_steps_with_few_ratings_are_not_skipped(self):
        learner = trained_learner((0.0, 0.9, 0.9), MIN_RATINGS - 1)
        self.assertEqual(learner.first_step("c", "tag", STEPS), 0)
        self.assertEqual(learner.only_step("c", "tag", STEPS, 0.9), 0)

    def test_classes_and_cascades_are_learnt_separately(self):
        learner = trained_learner((0.0, 0.0, 0.9))
        self.assertEqual(learner.first_step("c", "recap", STEPS), 0)
        self.assertEqual(learner.first_step("other", "tag", STEPS), 0)

    def test_cost_depends_on_the_token_counts_of_the_class(self):
        input_priced = Version(name="reads", model="reads", price_input=1.0)
        output_priced = Version(name="writes", model="writes", price_output=1.0)
        learner = StepLearner(random.Random(1))
        learner.record_tokens("long", 1000, 10)
        learner.record_tokens("short", 10, 1000)
        self.assertEqual(learner.cost("long", input_priced), 1.0)
        self.assertEqual(learner.cost("long", output_priced), 0.01)
        self.assertEqual(learner.cost("short", output_priced), 1.0)

    def test_new_ratings_outweigh_many_earlier_ones(self):
        learner = trained_learner((0.0, 0.9, 0.9), 100_000)
        key = QualityKey("c", "tag", "cheap")
        self.assertLessEqual(learner.quality_counts.get(key).seen, MAX_COUNTED_RATINGS)
        learner.record_ratings(key, round(MAX_COUNTED_RATINGS), 0)
        self.assertEqual(learner.first_step("c", "tag", STEPS), 0)


class WholeOfTest(unittest.TestCase):
    """A streamed answer is assembled so that it can be rated."""

    def test_text_is_joined_in_order(self):
        chunks = [
            {"choices": [{"delta": {"role": "assistant"}}]},
            {"choices": [{"delta": {"content": "good "}}]},
            {"choices": [{"delta": {"content": "word"}}]},
            {"choices": [{"delta": {}, "finish_reason": "stop"}], "usage": {}},
        ]
        events = [b"data: " + orjson.dumps(c) + b"\n\n" for c in chunks]
        whole = orjson.loads(chat.whole_of([*events, chat.END_MARK]))
        self.assertEqual(whole["choices"][0]["message"]["content"], "good word")


class FleetLearningTest(FleetCase):
    """With real processes: ratings recorded by one VM reach the others."""

    engine_options = {"versions": {"small-1": 0.0, "small-2": 0.0, "large-1": 0.95}}

    def content(self):
        content = super().content()
        content["cascades"][0].update(reach=0.8, sample=1.0)
        for version in content["versions"]:
            if version["name"] == "large-1":
                version["price_output"] = 0.6
        return content

    async def served_by(self, vm: str, stream: bool) -> str:
        """Return the version that answers a new session."""
        answer = await self.chat(vm, f"{vm} {stream}", stream=stream)
        self.assertEqual(answer.status, 200)
        return answer.headers["x-walnutquay-version"]

    async def record_ratings_on_one_vm(self) -> None:
        """Let one VM record enough ratings for the other to skip the first step."""
        for number in range(MIN_RATINGS + 2):
            await self.chat("vm-a1", f"p{number}")

        async def skipped() -> bool:
            await self.served_by("vm-b1", stream=False)
            counters = (await self.status("vm-b1"))["metrics"]["counters"]
            return counters.get("cascade_steps_skipped", 0) > 0

        await self.until(skipped, "the other VM skips the first step")

    async def test_a_step_that_always_fails_is_skipped_by_all_vms(self):
        first = await self.chat("vm-a1", "a session", stream=True)
        self.assertEqual(first.headers["x-walnutquay-version"], "small-1")
        await self.record_ratings_on_one_vm()
        self.assertEqual(await self.served_by("vm-b1", stream=True), "large-1")
        _, rows = await self.fleet.administer(
            self.vm("vm-b1"), "GET", "/v1/debug/worths"
        )
        small = next(row for row in rows if row["version"] == "small-1")
        self.assertEqual(small["reached"], 0)
        self.assertGreaterEqual(small["missed"], MIN_RATINGS)
        # An existing session continues with its version.
        token = first.headers[chat.HEADER_TOKEN]
        again = await self.chat(
            "vm-b1", "its next turn", stream=True, header_x_walnutquay_token=token
        )
        self.assertEqual(again.headers["x-walnutquay-version"], "small-1")
