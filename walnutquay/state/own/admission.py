# Licensed under the Apache License 2.0: see LICENSE for details.

"""Request queues of the pools: fair shares, deadlines and immediate refusals."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from walnutquay.state.process.ids import OrganisationName, RequestId
from walnutquay.state.requests.refusals import Refusal, RefusalCode
from walnutquay.state.store.parts import Pool

# The assumed duration of a request until one has ended in the pool.
INITIAL_MEAN_SECONDS = 0.5
# Weight of the latest value in the running means.
MEAN_WEIGHT = 0.1
MIN_RETRY_AFTER = 0.1


@dataclass(slots=True)
class QueuedRequest:
    """A request that waits for an endpoint.

    :param request: the request's id.
    :param organisation: the organisation that sent it.
    :param weight: the organisation's weight.
    :param deadline: the latest time at which it may start; monotonic seconds.
    :param target: the version or service that it needs.
    :param tried: the endpoints at which it has failed.
    """

    request: RequestId
    organisation: OrganisationName
    weight: float
    deadline: float
    target: str
    tried: frozenset[str] = frozenset()


@dataclass(slots=True)
class _OrganisationQueue:
    """One organisation's queue in one pool, and its virtual finish time."""

    waiting: deque[QueuedRequest] = field(default_factory=deque)
    finish: float = 0.0
    # When its last request was served, or None if the queue has been empty since;
    # monotonic seconds.
    served_at: float | None = None
    # The running mean of the time between two requests served; seconds.
    interval: float = 0.0

    def record_served(self, now: float) -> None:
        """Update the mean interval after a request has been served.

        :param now: monotonic seconds.
        """
        if self.served_at is not None:
            weight = MEAN_WEIGHT if self.interval else 1.0
            self.interval += weight * (now - self.served_at - self.interval)
        self.served_at = now if self.waiting else None


class PoolQueue:
    """The queue of one pool on one VM.

    Each organisation has its own queue.  The queue with the smallest virtual finish
    time is served next, which advances that time by the inverse of the organisation's
    weight (start-time fair queueing with unit cost).

    :param pool: the pool's configuration.
    """

    def __init__(self, pool: Pool) -> None:
        self.pool = pool
        self.queues: dict[str, _OrganisationQueue] = {}
        self.length = 0
        # The greatest virtual finish time of a served request.
        self.virtual_time = 0.0
        # The running mean of the time for which a request uses its endpoint; seconds.
        self.mean_seconds = INITIAL_MEAN_SECONDS
        # The number of requests of this VM that are running.
        self.running = 0

    def expected_wait(
        self, slots: int, organisation: OrganisationName, weight: float
    ) -> float:
        """Estimate the wait of a request that is queued now.

        The queued requests of its organisation are served before it.  Meanwhile each
        other organisation is served in proportion to its weight, until its queue is
        empty.

        :param slots: the number of requests that the pool runs at once for this VM.
        :param organisation: the organisation that sent the request.
        :param weight: the organisation's weight.
        :returns: seconds.
        """
        own = self.queues.get(organisation)
        own_requests = (len(own.waiting) if own is not None else 0) + 1
        requests = float(own_requests)
        for name, queue in self.queues.items():
            if name != organisation and queue.waiting:
                share = own_requests * queue.waiting[0].weight / weight
                requests += min(len(queue.waiting), share)
        wait = requests * self.mean_seconds / max(1, slots)
        if own is None or own.served_at is None:
            return wait
        # Other organisations will add requests meanwhile.  The interval at which this
        # one has recently been served accounts for them.
        return max(wait, own_requests * own.interval)

    def latest_start(self, deadline: float) -> float:
        """Return the latest time at which a request can start and meet its deadline.

        :param deadline: when the answer is due; monotonic seconds.
        :returns: monotonic seconds.
        """
        return deadline - self.mean_seconds

    def offer(self, waiting: QueuedRequest, now: float, slots: int) -> Refusal | None:
        """Queue a request, or refuse it at once.

        :param waiting: the request.
        :param now: monotonic seconds.
        :param slots: the number of requests that the pool runs at once for this VM.
        :returns: the refusal, or None if the request has been queued.
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
            queue.finish = max(queue.finish, self.virtual_time) + 1 / waiting.weight
        queue.waiting.append(waiting)
        self.length += 1
        return None

    def _limit(self, waiting: QueuedRequest) -> float:
        """Return the queue length at which a request is refused.

        It is lower for an organisation that exceeds its share of the queue, so that a
        large organisation cannot crowd out the others.
        """
        own = self.queues.get(waiting.organisation)
        queued = len(own.waiting) if own is not None else 0
        organisations = sum(1 for queue in self.queues.values() if queue.waiting)
        if (
            queued
            and organisations > 1
            and queued > self.pool.queue_length / organisations
        ):
            return self.pool.queue_length * 0.9
        return self.pool.queue_length

    def next(
        self, can_run: Callable[[QueuedRequest], bool], now: float
    ) -> QueuedRequest | None:
        """Remove and return the request to serve next.

        :param can_run: returns whether a request can start now.
        :param now: monotonic seconds.
        :returns: the request, or None if no queued request can start.
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
        queue.record_served(now)
        self.length -= 1
        self.virtual_time = max(self.virtual_time, queue.finish)
        if queue.waiting:
            queue.finish += 1 / waiting.weight
        return waiting

    def remove(self, request: RequestId) -> bool:
        """Remove a request, for example because its caller has disconnected.

        :param request: the request's id.
        :returns: whether it was queued.
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
        """Update the mean duration with that of a request that has ended.

        :param seconds: the time for which the request used its endpoint.
        """
        self.mean_seconds += MEAN_WEIGHT * (seconds - self.mean_seconds)


class RetryBudget:
    """Limits retries to a share of the first attempts, to prevent retry storms.

    :param share: the number of retries allowed for each first attempt.
    :param reserve: the maximum number of unused retries that are saved.
    """

    def __init__(self, share: float = 0.1, reserve: float = 10.0) -> None:
        self.share = share
        self.reserve = reserve
        self.left = reserve

    def first_try(self) -> None:
        """Count a first attempt."""
        self.left = min(self.reserve, self.left + self.share)

    def take(self) -> bool:
        """Count a retry if one is allowed.

        :returns: whether the retry is allowed.
        """
        if self.left < 1.0:
            return False
        self.left -= 1.0
        return True
