# Licensed under the Apache License 2.0: see LICENSE for details.

"""Load beyond the room, endpoints of uneven speed, and requests held in vain."""

from __future__ import annotations

from lab.mutants.mutation import Mutation

ORDER = "tests.state.routed.test_slotorder.SlotOrderTest"
QUEUE = "tests.state.routed.test_slotqueue"
ASKS = "tests.coordination.routed.test_slotasks.NewsTest"
STALLS = "tests.coordination.routed.test_stalls"
HEADS = "tests.state.routed.test_stalls.HeadTest"

MUTATIONS = [
    Mutation(
        "overload: urgency is ignored in the order of slots",
        "state/routed/slotorder.py",
        "self.sorted_ranks = sorted(self.ranks)",
        "self.sorted_ranks = list(self.ranks)",
        f"{ORDER}.test_the_more_urgent_first",
    ),
    Mutation(
        "overload: the priority of a question is ignored",
        "state/routed/slotqueue.py",
        "self.demand.rank(request.priority, request.organisation, now)",
        "self.demand.rank(0, request.organisation, now)",
        f"{QUEUE}.GrantTest.test_the_more_urgent_first",
    ),
    Mutation(
        "overload: organisations' shares are ignored",
        "state/routed/slotorder.py",
        "        queue.tag += work / queue.weight\n",
        "",
        f"{ORDER}.test_shares_by_work",
    ),
    Mutation(
        "overload: organisations' weights are ignored",
        "state/routed/slotorder.py",
        "queue.tag += work / queue.weight",
        "queue.tag += work",
        f"{ORDER}.test_shares_by_weight",
    ),
    Mutation(
        "overload: returns are forgotten",
        "state/routed/slotreturns.py",
        "        self.times[work] = at\n",
        "",
        f"{QUEUE}.ReturnTest.test_as_told_goes_before_new_requests",
    ),
    Mutation(
        "overload: a question that is repeated asks for a second slot",
        "state/routed/slotqueue.py",
        "if self.knows(key) or key in self.history.ended:",
        "if key in self.history.ended:",
        f"{QUEUE}.GrantTest.test_a_doubled_question_changes_nothing",
    ),
    Mutation(
        "overload: a grant is counted twice at its endpoint",
        "state/routed/slotforecast.py",
        "        if key not in self.granted:\n            if len(",
        "        if True:\n            if len(",
        "tests.state.routed.test_slotforecast.EndpointRoomTest",
    ),
    Mutation(
        "overload: grants do not end by themselves",
        "state/routed/slotgrants.py",
        "while self.ends and self.ends[0][0] <= now:",
        "while False:",
        f"{QUEUE}.EndTest.test_a_grant_ends_with_its_deadline",
    ),
    Mutation(
        "overload: a request that is refused is sent on",
        "coordination/routed/slotsharing.py",
        "return Error(self._refusal(asking, answer.reason, answer.retry_after))",
        "return Ok(SlotTicket(asking.service, asking.number))",
        f"{ASKS}.test_a_refusal_says_not_run_and_when_to_return",
    ),
    Mutation(
        "overload: a refusal of the sharing is not heeded before the dispatch",
        "coordination/routed/slotchoice.py",
        "                if acquired.is_error():\n"
        "                    return acquired\n"
        "                ticket = acquired.ok\n",
        "                ticket = acquired.ok if acquired.is_ok() else None\n",
        "tests.coordination.routed.test_sharedslots.SharedTest."
        "test_a_refusal_ran_nothing_and_says_so",
    ),
    Mutation(
        "overload: the fourth figure of the load is inverted",
        "platform/calls.py",
        "pace = float(text) / USUAL_PACE",
        "pace = USUAL_PACE / float(text)",
        "tests.platform.test_load_header",
    ),
    Mutation(
        "overload: the keeper's silence is not noticed",
        "coordination/routed/slotasks.py",
        "        self.ranking.pass_over(keeper, monotonic())\n",
        "",
        "tests.coordination.routed.test_slotsharing.KeeperTest.test_killed",
    ),
    Mutation(
        "overload: a silent keeper is asked again and again",
        "coordination/routed/slotasks.py",
        "        asking.silent += 1\n",
        "",
        "tests.coordination.routed.test_slotasks.SilentTest",
    ),
    Mutation(
        "overload: all services are covered where the settings say never",
        "state/routed/overloadscope.py",
        "return self.coverage is Coverage.PACED and service in self.paced",
        "return service in self.paced",
        "tests.state.routed.test_overloadscope",
    ),
    Mutation(
        "stalls: one is never noticed",
        "coordination/routed/stalls.py",
        "self.stalls.check_head(self.turn, self.grant)",
        "pass",
        f"{STALLS}.MovedRequestTest.test_safe_call",
    ),
    Mutation(
        "stalls: one of a stream that has begun is never noticed",
        "coordination/routed/streaming.py",
        "if self.stalls.applies_to(turn) and self.stalls.check_gap(turn, grant, gap):",
        "if False:",
        f"{STALLS}.MovedRequestTest.test_silent_stream",
    ),
    Mutation(
        "stalls: a request that may not be repeated is moved",
        "state/routed/stalls.py",
        "if not wait.movable or usual is None:",
        "if usual is None:",
        f"{HEADS}.test_unsafe_work_is_never_moved",
    ),
    Mutation(
        "stalls: a request that may not be repeated counts as one that may",
        "coordination/routed/turn.py",
        "return route.repeatable and self.sends < route.attempts",
        "return self.sends < route.attempts",
        f"{STALLS}.KeptRequestTest.test_unsafe_call_is_answered_before_its_deadline",
    ),
]
