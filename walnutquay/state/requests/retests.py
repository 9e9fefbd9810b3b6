# Licensed under the Apache License 2.0: see LICENSE for details.

"""Single requests that test whether a block still holds."""

from __future__ import annotations

from walnutquay.state.process.ids import Feature, RequestId
from walnutquay.state.requests.crashtypes import CrashTarget
from walnutquay.state.requests.verdicts import Verdict

# A part at the fewest crashes that block it may have been there by chance: one request
# soon shows it.  A confirmed one costs an endpoint each time.
PROVISIONAL_SECONDS = 2.0
CONFIRMED_SECONDS = 3600.0


class Retests:
    """The requests that run although they are blocked, one at a time for each block."""

    def __init__(self) -> None:
        # The request that tests a block, and its deadline.
        self.running: dict[tuple[Feature, CrashTarget], tuple[RequestId, float]] = {}

    def is_due(self, verdict: Verdict, now: float) -> bool:
        """Return whether the version of a verdict may be tested again.

        Whole requests are not: nothing but themselves is refused.

        :param verdict: the verdict.
        :param now: monotonic seconds.
        """
        if verdict.part is None:
            return False
        wait = PROVISIONAL_SECONDS if verdict.is_provisional else CONFIRMED_SECONDS
        return now >= verdict.crashes[-1].at + wait

    def is_testing(self, request: RequestId) -> bool:
        """Return whether a request tests a block.

        :param request: the request.
        """
        return any(tester == request for tester, _ in self.running.values())

    def start(
        self,
        verdict: Verdict,
        target: CrashTarget,
        request: RequestId,
        deadline: float,
        now: float,
    ) -> bool:
        """Let a request test a block, unless another one does.

        :param verdict: the verdict that blocks it.
        :param target: the version that would run it.
        :param request: the request.
        :param deadline: its deadline; monotonic seconds.
        :param now: monotonic seconds.
        :returns: whether it may run.
        """
        key = (verdict.feature, target)
        self.running = {
            name: test for name, test in self.running.items() if now < test[1]
        }
        tester, _ = self.running.setdefault(key, (request, deadline))
        return tester == request
