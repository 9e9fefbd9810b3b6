# Licensed under the Apache License 2.0: see LICENSE for details.

"""The decision to keep an answer or to ask a larger model of a cascade by size.

Each decision takes the option with the greatest expected value: the probability that
the answer is good enough, times the value of an answer at that time, minus the cost of
the run and the loss for other requests that wait for the same engine.  A good answer in
time has the value 1.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

from walnutquay.state.process.ids import RouteName
from walnutquay.state.routed.confidence import FadingMean, bin_of, chance_good
from walnutquay.state.routed.gains import Gains, ModelPair
from walnutquay.state.store.catalogue import Route

# The value of a good answer that begins after the objective, relative to one in time.
LATE_VALUE = 0.3
# The cost of a run of a route's most expensive model, relative to the value of a good
# answer.  Operators configure prices but no value of an answer; they would not list a
# model whose cost uses up that value.
MAX_RUN_COST = 0.15
# The error of a forecast of when an answer begins, in either direction, as a fraction
# of the objective.
FORECAST_ERROR = 0.25
# The assumed gain in confidence from the smallest to the largest model on the same
# request until some pairs have been observed; points.
INITIAL_GAIN = 50.0
# A mean of no observations.
NO_OBSERVATIONS = FadingMean()


@dataclass(frozen=True, slots=True)
class Forecast:
    """The expected times and the price if one model served a request now.

    :param wait: seconds of reading queued before the request at the engine that would
        be chosen; infinite if there is no engine.
    :param reading: seconds to read the prompt there.
    :param cost: the model's price for a thousand tokens.
    """

    wait: float
    reading: float
    cost: float


@dataclass(frozen=True, slots=True)
class Demand:
    """The current rate of prompts at a service's engines.

    :param arrivals: prompts per engine and second.
    :param busy: the fraction of time that engines spend reading prompts.
    :param weight: the mean weight of those prompts; see :func:`priority_weight`.
    :param readings: seconds to read each of the most recent prompts.
    """

    arrivals: float = 0.0
    busy: float = 0.0
    weight: float = 1.0
    readings: tuple[float, ...] = ()

    def fraction_at_least(self, reading: float) -> float:
        """Return the fraction of prompts that take at least a given time to read.

        :param reading: the time; seconds.
        """
        if not self.readings:
            return 1.0
        return sum(item >= reading for item in self.readings) / len(self.readings)


def priority_weight(priority: int) -> float:
    """Return the weight of a request relative to others.

    :param priority: its priority; 0 is the most urgent.
    """
    return 1.0 / (1 + max(0, priority))


@dataclass(frozen=True, slots=True)
class ChoiceContext:
    """A request and its environment at the time of a decision.

    :param route: the request's route.
    :param priority: its priority; 0 is the most urgent.
    :param elapsed: seconds since it arrived.
    :param time_left: seconds until its deadline.
    :param demand: the current load on the service's engines.
    :param forecasts: a forecast for each of the route's models.
    """

    route: Route
    priority: int
    elapsed: float
    time_left: float
    demand: Demand
    forecasts: Sequence[Forecast]

    def value_at(self, seconds: float) -> float:
        """Return the value of a good answer that begins after some time.

        :param seconds: the time from now until the answer begins.
        """
        if seconds >= self.time_left:
            return 0.0
        objective = self.route.objective_seconds
        spread = 2.0 * FORECAST_ERROR * objective
        late_chance = (self.elapsed + seconds - objective) / spread + 0.5
        return 1.0 - min(1.0, max(0.0, late_chance)) * (1.0 - LATE_VALUE)

    def total_cost(self, model: int) -> float:
        """Return the cost of a run: its own price and the harm to other requests.

        :param model: the index of the model.
        """
        max_cost = max(item.cost for item in self.forecasts)
        own = self.forecasts[model].cost / max_cost if max_cost > 0 else 0.0
        return MAX_RUN_COST * own + self.harm(model)

    def harm(self, model: int) -> float:
        """Estimate the loss of value for requests that arrive during this run.

        A request that arrives while the engine is busy waits for the work that remains
        then.  Its probability of being late is estimated as the square of that work's
        ratio to the objective, which over a busy period adds up to a sum that grows
        with the cube of the work.  Engines read shorter prompts first, so a shorter
        prompt that arrives waits for this reading at most; a longer one also waits for
        all reading queued before it.

        :param model: the index of a model.
        """
        forecast = self.forecasts[model]
        objective = self.route.objective_seconds
        delay_all = _late_seconds(forecast.wait + forecast.reading, objective)
        delay_all -= _late_seconds(forecast.wait, objective)
        delay_this = _late_seconds(forecast.reading, objective)
        longer = self.demand.fraction_at_least(forecast.reading)
        late = longer * delay_all + (1.0 - longer) * delay_this
        late *= self.demand.arrivals
        weight = self.demand.weight / priority_weight(self.priority)
        return late * (1.0 - LATE_VALUE) * weight


def _late_seconds(work: float, objective: float) -> float:
    """Integrate the probability that an arriving request is late over a busy period.

    :param work: seconds of work queued at an engine.
    :param objective: the time in which answers should begin; seconds.
    :returns: the integral over the time in which the work is done; seconds.
    """
    if work <= objective:
        return work**3 / (3.0 * objective * objective)
    return objective / 3.0 + work - objective


@dataclass(frozen=True, slots=True)
class CascadeDecision:
    """The best option for an answer.

    :param larger: the index of the model to ask instead; None to keep the answer.
    :param value: the expected value of this option.
    :param kept: the expected value of keeping the answer.
    """

    larger: int | None
    value: float
    kept: float


class ModelChoice:
    """Chooses among the models of routes that leave the choice to the router."""

    def __init__(self) -> None:
        # The gains in confidence of larger models, over all routes.
        self.gains = Gains()
        # The gains by route, smaller model, bin of its confidence, and larger model.
        self.gains_by_bin: dict[tuple[RouteName, int, int, int], FadingMean] = {}

    def learn(
        self, route: Route, smaller: int, first: float, larger: int, second: float
    ) -> None:
        """Update the gains from two confidence values for the same request.

        :param route: the request's route.
        :param smaller: the index of the model that answered first.
        :param first: its confidence in its answer.
        :param larger: the index of the model that answered second.
        :param second: its confidence.
        """
        self.gains.add(model_pair(route, smaller, larger), first, second)
        key = (route.name, smaller, bin_of(first), larger)
        self.gains_by_bin.setdefault(key, FadingMean()).add(second - first)

    def next(
        self, context: ChoiceContext, model: int, confidence: float | None
    ) -> CascadeDecision:
        """Decide whether to keep an answer before any of it is sent.

        :param context: the request and its environment.
        :param model: the index of the model that answers.
        :param confidence: its confidence in its answer; None if it reported none.
        """
        if confidence is None:
            return CascadeDecision(None, 1.0, 1.0)
        scatter = self.gains.scatter()
        kept = chance_good(confidence, scatter) * context.value_at(0.0)
        best = CascadeDecision(None, kept, kept)
        for larger in range(model + 1, len(context.route.models)):
            gain = self._gain(context.route, model, bin_of(confidence), larger)
            chance = chance_good(confidence + gain, scatter)
            forecast = context.forecasts[larger]
            if math.isinf(forecast.wait):
                # No engine could serve the request; the present answer would be lost.
                continue
            answer_value = context.value_at(forecast.wait + forecast.reading)
            value = chance * answer_value - context.total_cost(larger)
            if value > best.value:
                best = CascadeDecision(larger, value, kept)
        return best

    def _gain(
        self, route: Route, smaller: int, confidence_bin: int, larger: int
    ) -> float:
        """Return the expected gain in confidence of a larger model; points.

        Enough observations over all routes are available sooner than for one bin, so
        their gain is the initial guess for each bin.
        """
        fraction = (larger - smaller) / (len(route.models) - 1)
        guess = self.gains.gain(
            model_pair(route, smaller, larger), INITIAL_GAIN * fraction
        )
        key = (route.name, smaller, confidence_bin, larger)
        return self.gains_by_bin.get(key, NO_OBSERVATIONS).value(guess)


def model_pair(route: Route, smaller: int, larger: int) -> ModelPair:
    """Return the pair of two of a route's models.

    :param route: the route.
    :param smaller: the index of the smaller model.
    :param larger: the index of the larger model.
    """
    return ModelPair(route.models[smaller], route.models[larger])
