# Licensed under the Apache License 2.0: see LICENSE for details.

"""Cascades learn where to begin, by class of request."""

from __future__ import annotations

import random
import unittest

import orjson

from tests.fleetcase import FleetCase
from walnutquay.protocol import chat
from walnutquay.state.own.learning import MAX_WEIGHT, MIN_RATED, QualityKey, StepLearner
from walnutquay.state.store.parts import Version

CHEAP = Version(name="cheap", model="cheap", price_output=1.0)
MIDDLE = Version(name="middle", model="middle", price_output=4.0)
STRONG = Version(name="strong", model="strong", price_output=10.0)
STEPS = (CHEAP, MIDDLE, STRONG)

# How often each step reaches the quality -> where to begin for the least cost
BEGINNINGS = [
    ((0.9, 0.9, 0.9), "cheap"),
    ((0.3, 0.9, 0.9), "cheap"),
    ((0.02, 0.9, 0.9), "middle"),
    ((0.02, 0.1, 0.9), "strong"),
    # What costs as much as it saves is a matter of chance; what costs more is not.
    ((0.02, 0.02, 0.9), "strong"),
]
# How often each reaches it, the share that is asked for -> what a stream runs on
STREAMS = [
    ((0.95, 0.95, 0.95), 0.8, "cheap"),
    ((0.5, 0.95, 0.95), 0.8, "middle"),
    ((0.5, 0.5, 0.5), 0.8, "strong"),
    ((0.5, 0.5, 0.95), 0.2, "cheap"),
]


def learnt(shares: tuple[float, ...], ratings: int = 300) -> StepLearner:
    """:returns: a learner that has seen so many ratings of each step."""
    learner = StepLearner(random.Random(1))
    for version, share in zip(STEPS, shares, strict=True):
        reached = round(share * ratings)
        learner.record_ratings(
            QualityKey("c", "tag", version.name), reached, ratings - reached
        )
    return learner


class FirstStepTest(unittest.TestCase):
    """The step with the least expected cost comes first."""

    def test_table(self):
        for shares, expected in BEGINNINGS:
            with self.subTest(shares=shares):
                learner = learnt(shares)
                found = [learner.first_step("c", "tag", STEPS) for _ in range(50)]
                self.assertEqual({STEPS[i].name for i in found}, {expected})

    def test_streams(self):
        for shares, reach, expected in STREAMS:
            with self.subTest(shares=shares, reach=reach):
                learner = learnt(shares)
                found = learner.only_step("c", "tag", STEPS, reach)
                self.assertEqual(STEPS[found].name, expected)

    def test_nothing_is_left_out_before_it_is_known(self):
        learner = learnt((0.0, 0.9, 0.9), MIN_RATED - 1)
        self.assertEqual(learner.first_step("c", "tag", STEPS), 0)
        self.assertEqual(learner.only_step("c", "tag", STEPS, 0.9), 0)

    def test_classes_and_cascades_are_learnt_apart(self):
        learner = learnt((0.0, 0.0, 0.9))
        self.assertEqual(learner.first_step("c", "recap", STEPS), 0)
        self.assertEqual(learner.first_step("other", "tag", STEPS), 0)

    def test_the_size_of_a_class_tells_what_it_costs(self):
        reads = Version(name="reads", model="reads", price_input=1.0)
        writes = Version(name="writes", model="writes", price_output=1.0)
        learner = StepLearner(random.Random(1))
        learner.record_tokens("long", 1000, 10)
        learner.record_tokens("short", 10, 1000)
        self.assertEqual(learner.cost("long", reads), 1.0)
        self.assertEqual(learner.cost("long", writes), 0.01)
        self.assertEqual(learner.cost("short", writes), 1.0)

    def test_news_get_through(self):
        learner = learnt((0.0, 0.9, 0.9), 100_000)
        key = QualityKey("c", "tag", "cheap")
        self.assertLessEqual(learner.quality_counts.get(key).seen, MAX_WEIGHT)
        learner.record_ratings(key, round(MAX_WEIGHT), 0)
        self.assertEqual(learner.first_step("c", "tag", STEPS), 0)


class WholeOfTest(unittest.TestCase):
    """A streamed answer is put together to be rated."""

    def test_words_in_order(self):
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
    """Over real processes: what one VM has seen rated, the others know."""

    engine_options = {"versions": {"small-1": 0.0, "small-2": 0.0, "large-1": 0.95}}

    def content(self):
        content = super().content()
        content["cascades"][0].update(reach=0.8, sample=1.0)
        for version in content["versions"]:
            if version["name"] == "large-1":
                version["price_output"] = 0.6
        return content

    async def served_by(self, vm: str, stream: bool) -> str:
        """:returns: the version that answers a new session."""
        answer = await self.chat(vm, f"{vm} {stream}", stream=stream)
        self.assertEqual(answer.status, 200)
        return answer.headers["x-walnutquay-version"]

    async def learn(self) -> None:
        """Let the first VM see more ratings than it takes."""
        for number in range(MIN_RATED + 2):
            await self.chat("vm-a1", f"p{number}")

        async def skipped() -> bool:
            await self.served_by("vm-b1", stream=False)
            counters = (await self.status("vm-b1"))["metrics"]["counters"]
            return counters.get("cascade_steps_skipped", 0) > 0

        await self.until(skipped, "the other VM leaves the first step out")

    async def test_a_step_that_is_worth_nothing_is_left_out_everywhere(self):
        first = await self.chat("vm-a1", "a session", stream=True)
        self.assertEqual(first.headers["x-walnutquay-version"], "small-1")
        await self.learn()
        self.assertEqual(await self.served_by("vm-b1", stream=True), "large-1")
        _, quality_counts = await self.fleet.administer(
            self.vm("vm-b1"), "GET", "/v1/debug/worths"
        )
        small = next(row for row in quality_counts if row["version"] == "small-1")
        self.assertEqual(small["reached"], 0)
        self.assertGreaterEqual(small["missed"], MIN_RATED)
        # A session that has begun goes on with its version.
        token = first.headers[chat.HEADER_TOKEN]
        again = await self.chat(
            "vm-b1", "its next turn", stream=True, header_x_walnutquay_token=token
        )
        self.assertEqual(again.headers["x-walnutquay-version"], "small-1")
