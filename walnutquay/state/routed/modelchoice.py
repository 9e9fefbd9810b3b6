# Licensed under the Apache License 2.0: see LICENSE for details.

"""Which model of a cascade by size answers, and when a larger one is asked.

Each step takes what has the greatest expected value: the chance that the answer is
good enough, times what an answer at that time is worth, less what the run costs and
what it takes from others who wait for the same engine.  A good answer in time counts
as 1.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

from walnutquay.state.process.ids import RouteName
from walnutquay.state.routed.confidence import FadingMean, chance_good, step_of
from walnutquay.state.routed.gains import Gains, ModelPair
from walnutquay.state.store.catalogue import Route

# What a good answer after its aim is worth, beside one in time.
LATE_VALUE = 0.3
# What a run of a route's most costly model costs, as a part of a good answer's worth:
# operators state prices and no worth, and would not list a model that eats it up.
MAX_RUN_COST = 0.15
# A forecast of an answer's beginning may be off by this part of the aim either way.
FORECAST_ERROR = 0.25
# How many points more the largest model thinks of its answers than the smallest does
# on the same request, until some have been seen.
FIRST_GAIN = 50.0
# A mean of no observations.
NOTHING = FadingMean()


@dataclass(frozen=True, slots=True)
class Forecast:
    """How one model would serve a request now.

    :param wait: seconds of reading before it at the engine that it would go to;
        infinite where there is none.
    :param reading: seconds to read its prompt there.
    :param cost: the model's price of a thousand tokens.
    """

    wait: float
    reading: float
    cost: float


@dataclass(frozen=True, slots=True)
class Demand:
    """The prompts that a service's engines get at present.

    :param arrivals: prompts for each engine a second.
    :param busy: the part of their time for which engines read.
    :param weight: the mean weight of those prompts; see :func:`priority_weight`.
    :param readings: seconds to read each of the last ones.
    """

    arrivals: float = 0.0
    busy: float = 0.0
    weight: float = 1.0
    readings: tuple[float, ...] = ()

    def longer(self, reading: float) -> float:
        """:param reading: seconds to read a prompt.

        :returns: the share of prompts that are read at least as long.
        """
        if not self.readings:
            return 1.0
        return sum(item >= reading for item in self.readings) / len(self.readings)


def priority_weight(priority: int) -> float:
    """:param priority: a request's rank, 0 the most urgent.

    :returns: what it counts beside others.
    """
    return 1.0 / (1 + max(0, priority))


@dataclass(frozen=True, slots=True)
class ChoiceContext:
    """A request at the moment of a choice.

    :param route: its route.
    :param priority: its rank.
    :param elapsed: seconds since it came.
    :param left: seconds until its deadline.
    :param demand: what the service's engines get besides.
    :param forecasts: one for each of the route's models.
    """

    route: Route
    priority: int
    elapsed: float
    left: float
    demand: Demand
    forecasts: Sequence[Forecast]

    def worth_at(self, seconds: float) -> float:
        """:param seconds: from now until the answer begins.

        :returns: what a good answer is worth then.
        """
        if seconds >= self.left:
            return 0.0
        aim = self.route.objective_seconds
        spread = 2.0 * FORECAST_ERROR * aim
        over = (self.elapsed + seconds - aim) / spread + 0.5
        return 1.0 - min(1.0, max(0.0, over)) * (1.0 - LATE_VALUE)

    def price(self, model: int) -> float:
        """:param model: the index of a model.

        :returns: what a run of it costs, its own price and the harm to others.
        """
        dearest = max(item.cost for item in self.forecasts)
        own = self.forecasts[model].cost / dearest if dearest > 0 else 0.0
        return MAX_RUN_COST * own + self.harm(model)

    def harm(self, model: int) -> float:
        """Estimate what others lose who come while the engine is busy with this.

        Whoever comes finds the work that is left then, and is late the likelier, the
        closer that is to the aim: its share of the aim, squared.  Over a busy period
        that makes a sum which grows with the cube of the work.  Engines read shorter
        prompts first, so those that come wait for this reading at the most; longer
        ones for all that is before it too.

        :param model: the index of a model.
        """
        forecast = self.forecasts[model]
        aim = self.route.objective_seconds
        behind_all = _late_seconds(forecast.wait + forecast.reading, aim)
        behind_all -= _late_seconds(forecast.wait, aim)
        behind_this = _late_seconds(forecast.reading, aim)
        longer = self.demand.longer(forecast.reading)
        late = longer * behind_all + (1.0 - longer) * behind_this
        late *= self.demand.arrivals
        weight = self.demand.weight / priority_weight(self.priority)
        return late * (1.0 - LATE_VALUE) * weight


def _late_seconds(work: float, aim: float) -> float:
    """:param work: seconds of work before an engine.

    :param aim: the time in which answers should begin; seconds.
    :returns: the sum, over the time in which the work is done, of the chance that who
        comes then is late.
    """
    if work <= aim:
        return work**3 / (3.0 * aim * aim)
    return aim / 3.0 + work - aim


@dataclass(frozen=True, slots=True)
class CascadeDecision:
    """What is best to do with an answer.

    :param larger: the index of the model to ask instead; None to keep it.
    :param value: the expected value of doing so.
    :param kept: the expected value of keeping the answer.
    """

    larger: int | None
    value: float
    kept: float


class ModelChoice:
    """Chooses among the models of routes that leave the choice to us."""

    def __init__(self) -> None:
        # How much more larger models think of their answers, on all routes.
        self.gains = Gains()
        # The same by route, smaller model, step of its opinion, larger model.
        self.steps: dict[tuple[RouteName, int, int, int], FadingMean] = {}

    def learn(
        self, route: Route, smaller: int, opinion: float, larger: int, second: float
    ) -> None:
        """Learn from two opinions on the same request.

        :param route: its route.
        :param smaller: the index of the model that answered first.
        :param opinion: its opinion of its answer.
        :param larger: the index of the model that answered then.
        :param second: its opinion.
        """
        self.gains.add(pair_of(route, smaller, larger), opinion, second)
        key = (route.name, smaller, step_of(opinion), larger)
        self.steps.setdefault(key, FadingMean()).add(second - opinion)

    def next(
        self, case: ChoiceContext, model: int, opinion: float | None
    ) -> CascadeDecision:
        """Decide about an answer before any of it is sent.

        :param case: the request.
        :param model: the index of the model that answers.
        :param opinion: its opinion of its answer; None where it gave none.
        """
        if opinion is None:
            return CascadeDecision(None, 1.0, 1.0)
        scatter = self.gains.scatter()
        kept = chance_good(opinion, scatter) * case.worth_at(0.0)
        best = CascadeDecision(None, kept, kept)
        for larger in range(model + 1, len(case.route.models)):
            gain = self._gain(case.route, model, step_of(opinion), larger)
            chance = chance_good(opinion + gain, scatter)
            forecast = case.forecasts[larger]
            if math.isinf(forecast.wait):
                # Nobody could answer, and the answer that is there would be lost.
                continue
            worth = case.worth_at(forecast.wait + forecast.reading)
            value = chance * worth - case.price(larger)
            if value > best.value:
                best = CascadeDecision(larger, value, kept)
        return best

    def _gain(self, route: Route, smaller: int, step: int, larger: int) -> float:
        """Expect how many points more a larger model will think of its answer.

        What is seen on all routes is known first, and is the guess for each step.
        """
        part = (larger - smaller) / (len(route.models) - 1)
        guess = self.gains.gain(pair_of(route, smaller, larger), FIRST_GAIN * part)
        key = (route.name, smaller, step, larger)
        return self.steps.get(key, NOTHING).value(guess)


def pair_of(route: Route, smaller: int, larger: int) -> ModelPair:
    """:param route: a route with models.

    :param smaller: the index of one.
    :param larger: the index of another.
    """
    return ModelPair(route.models[smaller], route.models[larger])
