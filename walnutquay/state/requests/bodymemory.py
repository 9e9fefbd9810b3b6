# Licensed under the Apache License 2.0: see LICENSE for details.

"""The memory that the bodies of requests take, over all callers."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass

from walnutquay.state.process.ids import OrganisationName

# A body up to this size is small: it is read before anything could be decided.
SMALL_BYTES = 64 << 10
# The share of the memory that large bodies leave to small ones.
SMALL_SHARE = 0.25
# A body that is announced has room for so long before any of it has come; seconds.
GRACE_SECONDS = 1.0
# An organisation that has asked for room so lately is one of those that share it.
ASKING_SECONDS = 5.0
# What one organisation may hold while no other asks: one that begins to finds room.
ALONE_SHARE = 0.75
# How long a large body is held, before any has been; seconds.
FIRST_HOLD_SECONDS = 1.0
# The weight of the newest in the means.
NEWEST_WEIGHT = 0.2
MIN_WAIT_SECONDS = 0.1
MAX_WAIT_SECONDS = 10.0


@dataclass(eq=False, slots=True)
class LargeBody:
    """A large body that is held, or comes in.

    :param organisation: whose request it is.
    :param announced: bytes that its head announces; 0 if it says nothing.
    :param since: when its head had come; monotonic seconds.
    :param came: bytes that have come.
    :param seconds: the time in which it must have come.
    """

    organisation: OrganisationName
    announced: int
    since: float
    seconds: float
    came: int = 0

    def reserved(self, now: float) -> int:
        """Return the bytes that are kept for it.

        What was announced and does not come is given back.

        :param now: monotonic seconds.
        """
        late = now - self.since - GRACE_SECONDS
        due = self.announced * late / self.seconds
        return self.came if self.came < due else max(self.came, self.announced)


class BodyMemory:
    """Decides which bodies of requests are read, so that memory is left for others.

    Small bodies find room while large ones hold all that they may.  Organisations that
    ask for room at the same time share it evenly.

    :param limit: bytes of all bodies together.
    :param seconds: the time in which a body must have come.
    """

    def __init__(self, limit: int, seconds: float) -> None:
        self.limit = limit
        self.seconds = seconds
        self.small = 0
        self.large: set[LargeBody] = set()
        # How long large bodies were held, and their size, on average.
        self.hold_seconds = FIRST_HOLD_SECONDS
        self.usual_bytes = float(SMALL_BYTES)
        # When each organisation has asked for room last; monotonic seconds.
        self.asked: dict[OrganisationName, float] = {}
        # Bytes whose callers were told to return and are not due yet, and when that
        # was counted; monotonic seconds.
        self.promised = 0.0
        self.counted_at = 0.0

    @property
    def large_limit(self) -> float:
        """Bytes of all large bodies together."""
        return self.limit * (1.0 - SMALL_SHARE)

    def held(self, now: float) -> int:
        """Return the bytes that are held, or kept for what comes.

        :param now: monotonic seconds.
        """
        return self.small + sum(body.reserved(now) for body in self.large)

    # Small bodies.

    def take_small(self, size: int) -> bool:
        """Make room for a part of a small body.

        :param size: its bytes.
        :returns: whether there is room.
        """
        if self.small + size > self.limit * SMALL_SHARE and self._is_full(size):
            return False
        self.small += size
        return True

    def _is_full(self, size: int) -> bool:
        return self.small + size + sum(body.came for body in self.large) > self.limit

    def give_back_small(self, size: int) -> None:
        """Note that small bodies, or parts of them, are not held any more.

        :param size: their bytes.
        """
        self.small -= size

    # Large bodies.

    def take_large(
        self, organisation: OrganisationName, announced: int, now: float
    ) -> LargeBody | None:
        """Make room for a large body.

        :param organisation: whose request it is.
        :param announced: bytes that its head announces; 0 if it says nothing.
        :param now: monotonic seconds.
        :returns: what is held from now on; None if there is no room.
        """
        self.asked[organisation] = now
        body = LargeBody(organisation, announced, now, self.seconds)
        if not self._has_room(body, max(announced, SMALL_BYTES), now):
            return None
        self.large.add(body)
        return body

    def grow(self, body: LargeBody, size: int, now: float) -> bool:
        """Make room for what has come of a large body.

        :param body: the body.
        :param size: the bytes that have come now.
        :param now: monotonic seconds.
        :returns: whether there is room.
        """
        more = body.came + size - body.reserved(now)
        if more > 0 and not self._has_room(body, more, now):
            return False
        body.came += size
        return True

    def give_back(self, body: LargeBody, now: float) -> None:
        """Note that a large body is not held any more.

        :param body: the body.
        :param now: monotonic seconds.
        """
        self.large.discard(body)
        self.hold_seconds += NEWEST_WEIGHT * (now - body.since - self.hold_seconds)
        size = max(body.came, body.announced)
        self.usual_bytes += NEWEST_WEIGHT * (size - self.usual_bytes)

    def _has_room(self, body: LargeBody, more: int, now: float) -> bool:
        by_organisation: dict[OrganisationName, int] = defaultdict(int)
        for other in self.large:
            by_organisation[other.organisation] += other.reserved(now)
        held = sum(by_organisation.values())
        if not self.large - {body}:
            # One that is larger than all room would never be read otherwise.
            return True
        if held + more > self.large_limit or self.small + held + more > self.limit:
            return False
        own = by_organisation[body.organisation]
        return not own or own + more <= self._share(now, body.organisation)

    def _share(self, now: float, organisation: OrganisationName) -> float:
        """Return the bytes that one of the organisations which ask may hold."""
        self.asked = {
            name: at for name, at in self.asked.items() if at > now - ASKING_SECONDS
        }
        sharing = len({*self.asked, organisation})
        return self.large_limit * (1.0 / sharing if sharing > 1 else ALONE_SHARE)

    # Refusals.

    def seconds_until_room(self, announced: int, now: float) -> float:
        """Return when a body that found no room should come again.

        Those who were told so before come first.

        :param announced: bytes that its head announces; 0 if it says nothing.
        :param now: monotonic seconds.
        :returns: seconds from now.
        """
        rate = self.large_limit / max(self.hold_seconds, MIN_WAIT_SECONDS)
        due = (now - self.counted_at) * rate
        largest = max((body.reserved(now) for body in self.large), default=0)
        size = announced or max(self.usual_bytes, largest)
        self.promised = max(0.0, self.promised - due) + size
        self.counted_at = now
        return min(max(self.promised / rate, MIN_WAIT_SECONDS), MAX_WAIT_SECONDS)
