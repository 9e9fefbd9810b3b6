# Licensed under the Apache License 2.0: see LICENSE for details.

"""How good answers are: ratings, what is learnt from them, and what follows."""

from __future__ import annotations

from walnutquay.coordination.own.health import SEPARATOR, VersionHealth
from walnutquay.coordination.own.outcomecounts import OutcomeCounts
from walnutquay.coordination.own.rater import Rater
from walnutquay.coordination.own.turns import ChatTurn
from walnutquay.coordination.process.context import Context
from walnutquay.coordination.process.tasks import Tasks
from walnutquay.protocol import chat
from walnutquay.state.own.learning import QualityKey, StepLearner
from walnutquay.state.process.events import EventKind
from walnutquay.state.store.parts import Cascade, Version

# What the counts of ratings are called: this, cascade, class and version.
RATED = "rated"
SUBJECT_PARTS = 4
# Ratings that are asked for in the background at once; more are left out.
MAX_SAMPLING = 16
# Of a version in roll-out all answers are rated, for its test needs ratings; of the
# one it is compared with at least this share.
NEW_SAMPLE = 1.0
OLD_SAMPLE = 0.1


class AnswerQuality:
    """Has answers rated, learns from it, and chooses a cascade's steps by it.

    :param context: what this process shares.
    :param rater: the adapter to the rater.
    :param outcome_counts: the counts of all VMs.
    :param health: the tests of versions in roll-out.
    """

    def __init__(
        self,
        context: Context,
        rater: Rater,
        outcome_counts: OutcomeCounts,
        health: VersionHealth,
    ) -> None:
        self.context = context
        self.rater = rater
        self.outcome_counts = outcome_counts
        self.health = health
        self.learner = StepLearner(context.rng)
        self.sampling = Tasks()
        outcome_counts.listeners.append(self.on_tally)

    def steps(
        self,
        cascade: Cascade,
        request_class: str,
        steps: tuple[Version, ...],
        stream: bool,
    ) -> tuple[Version, ...]:
        """Leave out the steps that are not worth their cost.

        :param cascade: the cascade.
        :param request_class: the caller's class of request.
        :param steps: the versions to try, in order.
        :param stream: whether the answer is streamed: then it cannot be taken
            back, and what counts is how often the first is good enough.
        :returns: the versions to try.
        """
        if len(steps) < 2 or not cascade.quality or not cascade.learn:
            return steps
        if not stream:
            first = self.learner.first_step(cascade.name, request_class, steps)
        elif cascade.reach:
            first = self.learner.only_step(
                cascade.name, request_class, steps, cascade.reach
            )
        else:
            first = 0
        if first:
            self.context.metrics.count("cascade_steps_skipped", first)
        return steps[first:]

    def took(self, turn: ChatTurn, usage: chat.Usage) -> None:
        """:param turn: a request that was answered.

        :param usage: the tokens it took.
        """
        self.learner.record_tokens(
            turn.arrival.request_class, usage.input_tokens, usage.output_tokens
        )

    async def reaches(self, turn: ChatTurn, answer: bytes) -> bool:
        """Have an answer rated, and learn from it.

        :param turn: the request.
        :param answer: a chat completion, as JSON.
        :returns: whether it is good enough; so is one that is not rated.
        """
        rating = await self.rater.rate(
            turn.arrival.request_class, turn.target, turn.arrival.body, answer
        )
        if rating is None:
            return True
        self.context.timeline.emit(
            EventKind.RATED,
            request=turn.arrival.request,
            version=turn.target,
            detail=f"{rating:.2f}",
        )
        reached = rating >= turn.plan.quality
        self.health.note_rating(turn.target, reached)
        parts = (RATED, turn.plan.cascade, turn.arrival.request_class, turn.target)
        self.outcome_counts.add(SEPARATOR.join(parts), reached)
        return reached

    def sample(self, turn: ChatTurn, answer: bytes) -> None:
        """Have some of the answers rated that nobody waits to have rated.

        :param turn: the request, as it stands now.
        :param answer: a chat completion, as JSON.
        """
        if self.wants_sample(turn):
            self.rate_later(turn, answer)

    def wants_sample(self, turn: ChatTurn) -> bool:
        """:param turn: a request whose answer nobody waits to have rated.

        :returns: whether it is to be rated all the same.
        """
        if not turn.plan.quality:
            return False
        share = turn.plan.sample
        if turn.target in self.health.table.trials:
            share = NEW_SAMPLE
        elif self.health.table.stages_of(turn.target):
            share = max(share, OLD_SAMPLE)
        return self.context.rng.random() < share

    def rate_later(self, turn: ChatTurn, answer: bytes) -> None:
        """Have an answer rated in the background.

        :param turn: the request, as it stands now.
        :param answer: a chat completion, as JSON.
        """
        if len(self.sampling.running) >= MAX_SAMPLING:
            self.context.metrics.count("ratings_left_out")
            return
        self.sampling.spawn(self.reaches(turn.snapshot(), answer))

    def on_tally(self, subject: str, good: int, bad: int) -> None:
        """Learn from ratings, of this VM or of others.

        :param subject: what was counted.
        :param good: answers that reached the quality.
        :param bad: answers that did not.
        """
        if not subject.startswith(RATED + SEPARATOR):
            return
        # A class is named by callers and may have the separator in it.
        _, cascade, rest = subject.split(SEPARATOR, 2)
        request_class, version = rest.rsplit(SEPARATOR, 1)
        self.learner.record_ratings(
            QualityKey(cascade, request_class, version), good, bad
        )
