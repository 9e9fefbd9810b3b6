# Licensed under the Apache License 2.0: see LICENSE for details.

"""How many questions of other VMs one VM decides.

The load: a service so busy that the VM which shares out its slots would spend its
processor on questions, and serve its own callers late.
"""

from __future__ import annotations

# At some 0.3 ms of processor time for each question, an eighth of a core.
MAX_QUESTIONS_A_SECOND = 500.0
# Questions of a burst that are decided beyond that rate; seconds of it.
BURST_SECONDS = 0.5


class QuestionLimit:
    """Limits the questions that are decided in a second.

    :param rate: how many.
    """

    def __init__(self, rate: float = MAX_QUESTIONS_A_SECOND) -> None:
        self.rate = rate
        self.left = rate * BURST_SECONDS
        self.at = float("-inf")

    def take(self, now: float) -> bool:
        """Return whether one more question is decided.

        :param now: monotonic seconds.
        """
        most = self.rate * BURST_SECONDS
        self.left = min(most, self.left + max(0.0, now - self.at) * self.rate)
        self.at = max(self.at, now)
        if self.left < 1.0:
            return False
        self.left -= 1.0
        return True
