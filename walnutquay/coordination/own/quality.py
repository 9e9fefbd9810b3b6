# Licensed under the Apache License 2.0: see LICENSE for details.

"""Quality of answers: ratings, and the cascade steps learnt from them."""

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

# The subject of the counts of ratings: this prefix, cascade, class and version.
RATED = "rated"
# The maximum number of ratings requested in the background at once; others are skipped.
MAX_SAMPLING = 16
# The share of answers to rate: all of a version in roll-out, since its test needs
# ratings, and at least OLD_SAMPLE of the version that it is compared with.
NEW_SAMPLE = 1.0
OLD_SAMPLE = 0.1


class AnswerQuality:
    """Rates answers, and chooses the steps of a cascade by what ratings have shown.

    :param context: the state shared by this process.
    :param rater: the adapter to the rating service.
    :param outcome_counts: the outcome counts of all VMs.
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
        outcome_counts.listeners.append(self.on_outcome_counts)

    def steps(
        self,
        cascade: Cascade,
        request_class: str,
        steps: tuple[Version, ...],
        stream: bool,
    ) -> tuple[Version, ...]:
        """Skip the first steps of a cascade that are not worth their cost.

        :param cascade: the cascade.
        :param request_class: the request class that the caller named.
        :param steps: the versions to try, in order.
        :param stream: whether the answer is streamed.  A streamed answer cannot be
            replaced by that of a later step, so the first step is chosen by how often
            its answers are good enough.
        :returns: the versions to try, in order.
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

    def record_usage(self, turn: ChatTurn, usage: chat.Usage) -> None:
        """Record the tokens that a request used.

        :param turn: a request that was answered.
        :param usage: the tokens it used.
        """
        self.learner.record_tokens(
            turn.arrival.request_class, usage.input_tokens, usage.output_tokens
        )

    async def reaches_quality(self, turn: ChatTurn, answer: bytes) -> bool:
        """Rate an answer, and record the rating.

        :param turn: the request.
        :param answer: a chat completion, as JSON.
        :returns: whether it reaches the required quality; True if it cannot be rated.
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
        self.health.record_rating(turn.target, reached)
        parts = (RATED, turn.plan.cascade, turn.arrival.request_class, turn.target)
        self.outcome_counts.add(SEPARATOR.join(parts), reached)
        return reached

    def sample(self, turn: ChatTurn, answer: bytes) -> None:
        """Rate a sample of the answers whose rating no request waits for.

        :param turn: the request, in its current state.
        :param answer: a chat completion, as JSON.
        """
        if self.should_sample(turn):
            self.rate_in_background(turn, answer)

    def should_sample(self, turn: ChatTurn) -> bool:
        """Return whether to rate an answer whose rating no request waits for.

        :param turn: the request.
        """
        if not turn.plan.quality:
            return False
        share = turn.plan.sample
        if turn.target in self.health.table.trials:
            share = NEW_SAMPLE
        elif self.health.table.stages_of(turn.target):
            share = max(share, OLD_SAMPLE)
        return self.context.rng.random() < share

    def rate_in_background(self, turn: ChatTurn, answer: bytes) -> None:
        """Rate an answer in the background.

        :param turn: the request, in its current state.
        :param answer: a chat completion, as JSON.
        """
        if len(self.sampling.running) >= MAX_SAMPLING:
            self.context.metrics.count("ratings_left_out")
            return
        self.sampling.spawn(self.reaches_quality(turn.snapshot(), answer))

    def on_outcome_counts(self, subject: str, good: int, bad: int) -> None:
        """Learn from ratings counted by any VM.

        :param subject: the subject of the counts.
        :param good: the number of answers that reached the quality.
        :param bad: the number of answers that did not.
        """
        if not subject.startswith(RATED + SEPARATOR):
            return
        # Callers name the class, so it may contain the separator.
        _, cascade, rest = subject.split(SEPARATOR, 2)
        request_class, version = rest.rsplit(SEPARATOR, 1)
        self.learner.record_ratings(
            QualityKey(cascade, request_class, version), good, bad
        )
