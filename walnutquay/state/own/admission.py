# Licensed under the Apache License 2.0: see LICENSE for details.

"""Queues before the pools: fair shares, deadlines, and refusals at once."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from walnutquay.state.process.ids import OrganisationName, RequestId
from walnutquay.state.requests.refusals import Refusal, RefusalCode
from walnutquay.state.store.parts import Pool

# Until a pool has answered something, its requests are taken to last this long.
FIRST_GUESS_SECONDS = 0.5
# Weight of the newest duration in the running mean.
MEAN_WEIGHT = 0.1
MIN_RETRY_AFTER = 0.1


@dataclass(slots=True)
class QueuedRequest:
    """A request that waits for an endpoint.

    :param request: its id.
    :param organisation: whose it is.
    :param weight: the organisation's weight.
    :param deadline: when it is given up on; monotonic seconds.
    :param target: the version or service that is to run.
    :param tried: endpoints that have failed it.
    """

    request: RequestId
    organisation: OrganisationName
    weight: float
    deadline: float
    target: str
    tried: frozenset[str] = frozenset()


@dataclass(slots=True)
class _OrganisationQueue:
    """One organisation's queue in one pool and its virtual finish time."""

    waiting: deque[QueuedRequest] = field(default_factory=deque)
    finish: float = 0.0
    # When its last request was served, if others have waited ever since, and the
    # running mean of the time from one to the next; seconds.
    served_at: float | None = None
    interval: float = 0.0

    def served(self, now: float) -> None:
        """:param now: when one of its requests was served; monotonic seconds."""
        if self.served_at is not None:
            weight = MEAN_WEIGHT if self.interval else 1.0
            self.interval += weight * (now - self.served_at - self.interval)
        self.served_at = now if self.waiting else None


class PoolQueue:
    """The queue of one pool on one VM.

    Each organisation has a queue of its own; the one whose virtual finish time
    is the least is served next, and each turn moves its time on by the inverse
    of its weight (start-time fair queueing with unit cost).

    :param pool: the pool's configuration.
    """

    def __init__(self, pool: Pool) -> None:
        self.pool = pool
        self.queues: dict[str, _OrganisationQueue] = {}
        self.length = 0
        # The virtual time of the last request that was served.
        self.virtual_now = 0.0
        # Running mean of how long a request holds its endpoint; seconds.
        self.mean_seconds = FIRST_GUESS_SECONDS
        # Requests that run now from this VM.
        self.running = 0

    def expected_wait(
        self, slots: int, organisation: OrganisationName, weight: float
    ) -> float:
        """Estimate the wait of a request that joins now.

        Its organisation's own requests are served before it, and in the meantime
        of each other one as many as their weights say, if it has so many.

        :param slots: requests that the pool runs at once for this VM.
        :param organisation: whose it is.
        :param weight: the organisation's weight.
        :returns: seconds.
        """
        own = self.queues.get(organisation)
        turns = (len(own.waiting) if own is not None else 0) + 1
        before = float(turns)
        for name, queue in self.queues.items():
            if name != organisation and queue.waiting:
                share = turns * queue.waiting[0].weight / weight
                before += min(len(queue.waiting), share)
        wait = before * self.mean_seconds / max(1, slots)
        if own is None or own.served_at is None:
            return wait
        # Of others more will come meanwhile: what it got lately says how many.
        return max(wait, turns * own.interval)

    def latest_start(self, deadline: float) -> float:
        """:param deadline: when an answer is due; monotonic seconds.

        :returns: when its request must have begun.
        """
        return deadline - self.mean_seconds

    def offer(self, waiting: QueuedRequest, now: float, slots: int) -> Refusal | None:
        """Let a request join the queue, or refuse it at once.

        :param waiting: the request.
        :param now: monotonic seconds.
        :param slots: requests that the pool runs at once for this VM.
        :returns: why not, or None.
        """
        wait = self.expected_wait(slots, waiting.organisation, waiting.weight)
        if self.length >= self._limit(waiting):
            return Refusal(
                RefusalCode.QUEUE_FULL,
                f"the queue of pool {self.pool.name} is full",
                max(MIN_RETRY_AFTER, wait),
            )
        if now + wait > waiting.deadline:
            return Refusal(
                RefusalCode.DEADLINE,
                f"pool {self.pool.name} cannot begin this before its deadline",
                max(MIN_RETRY_AFTER, wait),
            )
        queue = self.queues.setdefault(waiting.organisation, _OrganisationQueue())
        if not queue.waiting:
            queue.finish = max(queue.finish, self.virtual_now) + 1 / waiting.weight
        queue.waiting.append(waiting)
        self.length += 1
        return None

    def _limit(self, waiting: QueuedRequest) -> float:
        """Bound the queue for one organisation.

        One that already fills its share of the queue meets the end earlier than
        one that has nothing waiting, so a large one cannot shut out the rest.
        """
        own = self.queues.get(waiting.organisation)
        held = len(own.waiting) if own is not None else 0
        others = sum(1 for queue in self.queues.values() if queue.waiting)
        if held and others > 1 and held > self.pool.queue_length / others:
            return self.pool.queue_length * 0.9
        return self.pool.queue_length

    def next(
        self, can_run: Callable[[QueuedRequest], bool], now: float
    ) -> QueuedRequest | None:
        """Take the request that is served next.

        :param can_run: tells whether there is room for a request now.
        :param now: monotonic seconds.
        :returns: the request, or None.
        """
        order = sorted(
            (item for item in self.queues.items() if item[1].waiting),
            key=lambda item: (item[1].finish, item[0]),
        )
        for _, queue in order:
            for index, waiting in enumerate(queue.waiting):
                if can_run(waiting):
                    return self._take(queue, index, now)
        return None

    def _take(self, queue: _OrganisationQueue, index: int, now: float) -> QueuedRequest:
        waiting = queue.waiting[index]
        del queue.waiting[index]
        queue.served(now)
        self.length -= 1
        self.virtual_now = max(self.virtual_now, queue.finish)
        if queue.waiting:
            queue.finish += 1 / waiting.weight
        return waiting

    def remove(self, request: RequestId) -> bool:
        """Take a request out, for its caller has gone.

        :param request: its id.
        :returns: whether it was there.
        """
        for queue in self.queues.values():
            for index, waiting in enumerate(queue.waiting):
                if waiting.request == request:
                    del queue.waiting[index]
                    self.length -= 1
                    if not queue.waiting:
                        queue.served_at = None
                    return True
        return False

    def record_duration(self, seconds: float) -> None:
        """Learn how long a request held its endpoint.

        :param seconds: how long.
        """
        self.mean_seconds += MEAN_WEIGHT * (seconds - self.mean_seconds)


class RetryBudget:
    """Bounds retries to a share of the first tries, so that none can storm.

    :param share: retries allowed for each first try.
    :param reserve: retries that may be saved up.
    """

    def __init__(self, share: float = 0.1, reserve: float = 10.0) -> None:
        self.share = share
        self.reserve = reserve
        self.left = reserve

    def first_try(self) -> None:
        """Count a first try."""
        self.left = min(self.reserve, self.left + self.share)

    def take(self) -> bool:
        """:returns: whether one retry may be made; it is then counted."""
        if self.left < 1.0:
            return False
        self.left -= 1.0
        return True
