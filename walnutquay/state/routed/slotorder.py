# Licensed under the Apache License 2.0: see LICENSE for details.

"""The order in which waiting requests get slots.

Answers lasting overload with urgent and less urgent requests, and organisations that
ask for many times their usual.  The more urgent go first.  Among alike urgent ones,
those that can be in time go before those that cannot, and organisations take turns by
the work that they have had, relative to their weights (start-time fair queueing).
Within an organisation, callers who return as told go first, then the oldest.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from itertools import count

from walnutquay.state.process.ids import OrganisationName
from walnutquay.state.routed.slotforecast import DecayingRate, clip
from walnutquay.state.routed.slottypes import WaitingRequest

# One grant in so many goes to a caller who returned as told, else to what has waited
# longest, whatever its rank: a promise is kept, nobody starves, and the most urgent
# lose a sixteenth at most.
RESERVE_INTERVAL = 16
# Ranks beyond this are treated alike.
MAX_RANK = 15
MIN_WEIGHT, MAX_WEIGHT = 0.01, 100.0
# Less work than this is what rounding leaves.
NO_WORK_SECONDS = 1e-9


@dataclass(slots=True, eq=False)
class Waiting:
    """A request in the queue.

    :param request: the request.
    :param rank: the rank that it waits in, where 0 goes first.
    :param work: how long its work takes at the usual pace; seconds.
    :param returned: whether its caller returned as told.
    :param in_time_until: until when an answer is in time; monotonic seconds.
    :param deadline: until when an answer is of use; monotonic seconds.
    :param late: whether it waits behind those that can be in time.
    :param present: whether it still waits.
    """

    request: WaitingRequest
    rank: int
    work: float
    returned: bool
    in_time_until: float
    deadline: float
    late: bool = False
    present: bool = True

    def can_be_in_time(self, now: float) -> bool:
        """Return whether its answer would be in time if it were sent.

        :param now: monotonic seconds.
        """
        return now + self.work <= self.in_time_until


# A heap of waiting requests by what goes first.  Requests that left stay in it until
# they come to the top.
WaitingHeap = list[tuple[bool, float, int, Waiting]]
# Whether a request may have a slot at a time; monotonic seconds.
MayHold = Callable[[Waiting, float], bool]


def _always(waiting: Waiting, now: float) -> bool:
    """Return that any request may have a slot."""
    return True


@dataclass(slots=True, eq=False)
class OrganisationQueue:
    """What one organisation waits for in one rank.

    :param weight: its share, relative to others.
    :param tag: the work that it has had, relative to its weight.
    :param work: the work that waits and can be in time; seconds.
    :param heap: its requests.
    :param admitted: the work that was let into it lately.
    """

    weight: float
    tag: float = 0.0
    work: float = 0.0
    heap: WaitingHeap = field(default_factory=list)
    admitted: DecayingRate = field(default_factory=DecayingRate)


@dataclass(slots=True, eq=False)
class Rank:
    """The requests that are alike urgent.

    :param queues: those that can be in time, by organisation.
    :param turns: organisations with requests, by their tags; entries whose tag is not
        the organisation's own are out of date.
    :param virtual_time: the tag of the organisation that had the last turn.
    :param work: the work that waits and can be in time; seconds.
    :param late: those that cannot be in time, the oldest first.
    :param late_work: their work; seconds.
    :param admitted: the work that was let into it lately.
    """

    queues: dict[OrganisationName, OrganisationQueue] = field(default_factory=dict)
    turns: list[tuple[float, int, OrganisationName]] = field(default_factory=list)
    virtual_time: float = 0.0
    work: float = 0.0
    late: WaitingHeap = field(default_factory=list)
    late_work: float = 0.0
    admitted: DecayingRate = field(default_factory=DecayingRate)


class SlotOrder:
    """The waiting requests of one service, in their order."""

    def __init__(self) -> None:
        self.ranks: dict[int, Rank] = {}
        self.sorted_ranks: list[int] = []
        self.grants = 0
        # All whose callers returned as told, the oldest first.
        self.returned: WaitingHeap = []
        self.returned_count = 0
        self.numbers = count()

    def rank(self, number: int) -> Rank:
        """Return a rank; it is created if there is none.

        :param number: its number.
        """
        if number not in self.ranks:
            self.ranks[number] = Rank()
            self.sorted_ranks = sorted(self.ranks)
        return self.ranks[number]

    def queue(self, number: int, name: OrganisationName) -> OrganisationQueue:
        """Return an organisation's queue in a rank; it is created if there is none.

        :param number: the rank's number.
        :param name: the organisation.
        """
        rank = self.rank(number)
        queue = rank.queues.get(name)
        if queue is None:
            queue = rank.queues[name] = OrganisationQueue(1.0, rank.virtual_time)
        return queue

    def admit(self, waiting: Waiting, now: float) -> None:
        """Add a request that arrives, and count it.

        :param waiting: the request.
        :param now: monotonic seconds.
        """
        # Counted as it is let in: a forecast that waited for its grant would promise
        # the same room again meanwhile.
        name = waiting.request.organisation
        self.rank(waiting.rank).admitted.add(waiting.work, now)
        self.queue(waiting.rank, name).admitted.add(waiting.work, now)
        self.add(waiting)

    def add(self, waiting: Waiting) -> None:
        """Add a request.

        :param waiting: the request.
        """
        rank = self.rank(waiting.rank)
        request = waiting.request
        if waiting.returned:
            self._push(self.returned, waiting)
            self.returned_count += 1
        if waiting.late:
            rank.late_work += waiting.work
            self._push(rank.late, waiting)
            return
        queue = self.queue(waiting.rank, request.organisation)
        queue.weight = clip(request.weight, MIN_WEIGHT, MAX_WEIGHT)
        has_turn = bool(queue.heap)
        if queue.work < NO_WORK_SECONDS and queue.tag < rank.virtual_time:
            # Who asked for less than its share saves nothing up.
            queue.tag = rank.virtual_time
            has_turn = False
        queue.work += waiting.work
        rank.work += waiting.work
        self._push(queue.heap, waiting)
        if not has_turn:
            self._push_turn(rank, queue, request.organisation)

    def remove(self, waiting: Waiting) -> None:
        """Remove a request, without a grant.

        :param waiting: the request.
        """
        if not waiting.present:
            return
        waiting.present = False
        self.returned_count -= waiting.returned
        rank = self.ranks[waiting.rank]
        if waiting.late:
            rank.late_work = max(0.0, rank.late_work - waiting.work)
            return
        queue = rank.queues[waiting.request.organisation]
        queue.work = max(0.0, queue.work - waiting.work)
        rank.work = max(0.0, rank.work - waiting.work)

    def grant(self, waiting: Waiting) -> None:
        """Remove a request that is granted a slot, and charge its organisation.

        :param waiting: the request.
        """
        self.remove(waiting)
        self.grants += 1
        rank = self.rank(waiting.rank)
        name = waiting.request.organisation
        queue = self.queue(waiting.rank, name)
        if not waiting.late:
            rank.virtual_time = max(rank.virtual_time, queue.tag)
        self._charge(rank, queue, name, waiting.work)

    def correct(self, waiting: Waiting, seconds: float) -> None:
        """Charge an organisation what its request took beyond what was forecast.

        :param waiting: the request.
        :param seconds: how long it took.
        """
        name = waiting.request.organisation
        rank = self.rank(waiting.rank)
        queue = self.queue(waiting.rank, name)
        self._charge(rank, queue, name, seconds - waiting.work)

    def next(self, now: float, may_hold: MayHold = _always) -> Waiting | None:
        """Return the request that goes next; to be granted, removed or set aside.

        :param now: monotonic seconds.
        :param may_hold: tells which requests may have a slot.
        """
        if (self.grants + 1) % RESERVE_INTERVAL == 0:
            chosen = _first(self.returned)
            if chosen is None or not may_hold(chosen, now):
                chosen = self._oldest(now)
            if chosen is not None and may_hold(chosen, now):
                return chosen
        for number in self.sorted_ranks:
            head = self._head(self.ranks[number], now)
            if head is not None and not may_hold(head, now):
                head = self._behind(self.ranks[number], now, may_hold)
            if head is not None:
                return head
        return None

    def restore(self, waiting: Waiting) -> Waiting:
        """Add a request again that was removed as no endpoint suited it.

        :param waiting: the request.
        :returns: what stands for it from now on.
        """
        again = replace(waiting, present=True)
        self.add(again)
        return again

    def in_order(self, now: float) -> list[tuple[int, list[Waiting]]]:
        """Return what waits by the number of its rank, the late behind the others.

        :param now: monotonic seconds.
        """
        found = []
        for number in self.sorted_ranks:
            rank = self.ranks[number]
            self._head(rank, now)
            heaps = [queue.heap for queue in rank.queues.values()]
            entries = sorted(entry for heap in heaps for entry in heap)
            entries += sorted(rank.late)
            found.append((number, [entry[3] for entry in entries if entry[3].present]))
        return found

    def compact(self, now: float) -> None:
        """Drop what is out of date, so that memory is bounded by what waits.

        :param now: monotonic seconds.
        """
        self.returned = _present(self.returned)
        for rank in self.ranks.values():
            rank.late = _present(rank.late)
            for name, queue in list(rank.queues.items()):
                queue.heap = _present(queue.heap)
                idle = not queue.heap and queue.admitted.per_second(now) < 1e-3
                if idle and queue.tag <= rank.virtual_time:
                    del rank.queues[name]
            rank.turns = []
            for name, queue in rank.queues.items():
                self._push_turn(rank, queue, name)

    def _oldest(self, now: float) -> Waiting | None:
        """Return what has waited longest of all that does not go first."""
        heads = []
        for number in self.sorted_ranks:
            rank = self.ranks[number]
            heads += [self._head_in_time(rank, now), _first(rank.late)]
        found = [head for head in heads if head is not None]
        if len(found) < 2:
            return None
        return min(found[1:], key=lambda head: head.request.asked_at)

    def _head(self, rank: Rank, now: float) -> Waiting | None:
        """Return what goes first in a rank."""
        return self._head_in_time(rank, now) or _first(rank.late)

    def _behind(self, rank: Rank, now: float, may_hold: MayHold) -> Waiting | None:
        """Return what goes first in a rank of those that may have a slot."""
        queues = sorted(rank.queues.values(), key=lambda queue: queue.tag)
        heads = [self._first_in_time(rank, queue, now) for queue in queues]
        late = sorted(entry for entry in rank.late if entry[3].present)
        refused = set()
        for head in [*heads, *(entry[3] for entry in late)]:
            if head is None:
                continue
            # Requests that are alike are asked about once: many may wait.
            kind = head.request.organisation, head.work
            if kind not in refused and may_hold(head, now):
                return head
            refused.add(kind)
        return None

    def _head_in_time(self, rank: Rank, now: float) -> Waiting | None:
        """Return what goes first of what can be in time; the others become late."""
        while rank.turns:
            tag, _, name = rank.turns[0]
            queue = rank.queues.get(name)
            head = None
            if queue is not None and queue.tag == tag:
                head = self._first_in_time(rank, queue, now)
            if head is not None:
                return head
            heapq.heappop(rank.turns)
        return None

    def _first_in_time(
        self, rank: Rank, queue: OrganisationQueue, now: float
    ) -> Waiting | None:
        """Return what goes first of an organisation; what is late is moved."""
        while (head := _first(queue.heap)) is not None:
            if head.can_be_in_time(now):
                return head
            heapq.heappop(queue.heap)
            queue.work = max(0.0, queue.work - head.work)
            rank.work = max(0.0, rank.work - head.work)
            rank.late_work += head.work
            head.late = True
            self._push(rank.late, head)
        queue.work = 0.0
        return None

    def _charge(
        self, rank: Rank, queue: OrganisationQueue, name: OrganisationName, work: float
    ) -> None:
        """Add work that an organisation has had."""
        queue.tag += work / queue.weight
        self._push_turn(rank, queue, name)

    def _push_turn(
        self, rank: Rank, queue: OrganisationQueue, name: OrganisationName
    ) -> None:
        """Give an organisation with requests its turn by its tag."""
        if queue.heap:
            heapq.heappush(rank.turns, (queue.tag, next(self.numbers), name))

    def _push(self, heap: WaitingHeap, waiting: Waiting) -> None:
        """Add a request to a heap."""
        asked_at = waiting.request.asked_at
        entry = (not waiting.returned, asked_at, next(self.numbers), waiting)
        heapq.heappush(heap, entry)


def _first(heap: WaitingHeap) -> Waiting | None:
    """Return the first request of a heap that still waits."""
    while heap:
        if heap[0][3].present:
            return heap[0][3]
        heapq.heappop(heap)
    return None


def _present(heap: WaitingHeap) -> WaitingHeap:
    """Return a heap without the requests that left."""
    kept = [entry for entry in heap if entry[3].present]
    heapq.heapify(kept)
    return kept
