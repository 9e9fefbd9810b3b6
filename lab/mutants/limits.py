# Licensed under the Apache License 2.0: see LICENSE for details.

"""Rate limits that endpoints name."""

from __future__ import annotations

from lab.mutants.mutation import Mutation

MUTATIONS = [
    Mutation(
        "rate limits: requests need no permit",
        "coordination/routed/slotchoice.py",
        "if not self.limits.needs_permit(chosen):",
        "if True:",
        "tests.coordination.routed.test_ratelimits.LimitExceededTest",
    ),
    Mutation(
        "rate limits: each VM issues its own permits",
        "coordination/routed/issuers.py",
        "self.primaries[name] = primary_issuer(name, vms)",
        "self.primaries[name] = self.vm",
        "tests.coordination.routed.test_ratelimiter.SeveralVmsTest."
        "test_one_vm_issues_the_permits",
    ),
    Mutation(
        "rate limits: permits are not counted",
        "state/routed/permits.py",
        "        self.tokens -= 1.0",
        "        pass",
        "tests.state.routed.test_permits.PermitQueueTest",
    ),
    Mutation(
        "rate limits: other VMs are not told",
        "coordination/routed/ratelimits.py",
        "            self._announce([name])",
        "            pass",
        "tests.coordination.routed.test_ratelimiter.SeveralVmsTest."
        "test_vms_that_were_not_told_learn_from_their_peers",
    ),
    Mutation(
        "rate limits: a VM that starts does not ask",
        "coordination/routed/ratelimits.py",
        "        self.tasks.spawn(self._query_peers())\n        self.context.timers.on",
        "        self.context.timers.on",
        "tests.coordination.routed.test_ratelimiter.SeveralVmsTest."
        "test_a_vm_that_starts_learns_from_its_peers",
    ),
    Mutation(
        "rate limits: issuers are not told what answers to other VMs name",
        "coordination/routed/ratelimits.py",
        "            self._confirm(instance)",
        "            pass",
        "tests.coordination.routed.test_ratelimiter.SeveralVmsTest."
        "test_answers_to_other_vms_confirm_a_limit_at_its_issuer",
    ),
    Mutation(
        "rate limits: a limit that nothing confirms holds for ever",
        "state/routed/ratelimits.py",
        "if self.per_second is None or age >= EXPIRY_SECONDS:",
        "if self.per_second is None:",
        "tests.state.routed.test_ratelimits.NamedLimitTest",
    ),
    Mutation(
        "rate limits: an answer that was overtaken relaxes a limit",
        "state/routed/ratelimits.py",
        "if overtaken and (same or limit.is_laxer_than(before)):",
        "if overtaken and same:",
        "tests.state.routed.test_ratelimits.RateLimitTableTest",
    ),
    Mutation(
        "rate limits: the limit of an earlier start holds for the next one",
        "coordination/routed/ratelimits.py",
        "            self.table.forget(name)",
        "            pass",
        "tests.coordination.routed.test_ratelimits.LearningTest."
        "test_another_start_is_not_limited",
    ),
    Mutation(
        "rate limits: a retry that is held back is charged",
        "coordination/routed/budgets.py",
        "            self.of(turn.service).give_back()",
        "            pass",
        "tests.coordination.routed.test_ratelimiter.RetryBudgetTest",
    ),
]
