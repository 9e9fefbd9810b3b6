# Licensed under the Apache License 2.0: see LICENSE for details.

"""How long answers of a service usually take, by what all VMs have seen.

A version on trial is slow if its answers take longer than those of the old one.  A VM
that has just started, or one of many, has seen too few of these to tell.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

import xxhash

from walnutquay.state.process.counts import LatestTable
from walnutquay.state.process.ids import HallName, ServiceName, VmName
from walnutquay.state.requests.durations import MIN_SAMPLES, DurationTable

# Services that are kept; a platform has a few.
MAX_SERVICES = 100
# Counts are told in 16 bits.
MAX_SEEN = 65_535
# Stands for the VMs whose times this one was told as it started.
MANY = VmName("")


@dataclass(frozen=True, slots=True)
class UsualTime:
    """How long one kind of answer takes.

    :param kind: the number of the kind; see :func:`kind_number`.
    :param seconds: the mean.
    :param seen: the answers that it stands for.
    """

    kind: int
    seconds: float
    seen: int


def kind_number(kind: str) -> int:
    """Number a kind of answer, for its name is six times as long.

    :param kind: the kind.
    :returns: a number below 2 to the 64; all VMs number alike.
    """
    return xxhash.xxh3_64_intdigest(kind.encode())


class UsualTimes:
    """What is usual, learnt here and told by others."""

    def __init__(self) -> None:
        self.own: LatestTable[ServiceName, DurationTable] = LatestTable(
            MAX_SERVICES, DurationTable
        )
        # What each other VM has told last, and each other data hall; by kind.
        self.told: dict[ServiceName, dict[VmName, dict[int, UsualTime]]] = {}
        self.told_by_hall: dict[ServiceName, dict[HallName, dict[int, UsualTime]]] = {}
        # All of that together: from 194 VMs' rows a ratio takes 5 microseconds so, and
        # 151 where they are put together each time (processor time of 2,000 ratios).
        self.all_told: dict[ServiceName, dict[int, UsualTime]] = {}

    def learn(self, service: ServiceName, kind: str, seconds: float) -> None:
        """:param service: a service.

        :param kind: a kind of answer.
        :param seconds: how long one of the old version took.
        """
        self.own.touch(service).learn(kind, seconds)

    def ratio(self, service: ServiceName, kind: str, seconds: float) -> float | None:
        """:param service: a service.

        :param kind: a kind of answer.
        :param seconds: how long one took.
        :returns: how many times as long as usual; None where that is not known.
        """
        own = self.own.get(service)
        ratio = own.ratio(kind, seconds) if own is not None else None
        if ratio is not None:
            return ratio
        usual = self._usual_of(service, kind)
        if usual.seen < MIN_SAMPLES or not usual.seconds:
            return None
        return seconds / usual.seconds

    def _usual_of(self, service: ServiceName, kind: str) -> UsualTime:
        """Give what this VM and the others have seen of one kind."""
        number = kind_number(kind)
        if service not in self.all_told:
            rows = _merged(self._told(service))
            self.all_told[service] = {row.kind: row for row in rows}
        told = self.all_told[service].get(number)
        own = [row for row in self.rows(service) if row.kind == number]
        return _mean(number, own + ([told] if told is not None else []))

    def rows(self, service: ServiceName) -> tuple[UsualTime, ...]:
        """:param service: a service.

        :returns: what this VM has seen itself.
        """
        own = self.own.get(service)
        if own is None:
            return ()
        return tuple(
            UsualTime(kind_number(kind), pace.seconds, min(pace.seen, MAX_SEEN))
            for kind, pace in own.means.entries.items()
        )

    def rows_of_hall(self, service: ServiceName) -> tuple[UsualTime, ...]:
        """:param service: a service.

        :returns: what the VMs of this data hall have seen together.
        """
        told = self.told.get(service, {}).values()
        return _merged([*self.rows(service), *_flat(told)])

    def all_rows(self, service: ServiceName) -> tuple[UsualTime, ...]:
        """:param service: a service.

        :returns: all that is known here, for a VM that starts.
        """
        return _merged([*self.rows(service), *self._told(service)])

    def hear(self, service: ServiceName, vm: VmName, rows: Iterable[UsualTime]) -> None:
        """Take in what another VM has seen, in place of what it told before.

        :param service: the service.
        :param vm: the VM.
        :param rows: what it has seen.
        """
        by_kind = {row.kind: row for row in rows}
        if by_kind:
            self.told.setdefault(service, {})[vm] = by_kind
            self.all_told.pop(service, None)

    def hear_hall(
        self, service: ServiceName, hall: HallName, rows: Iterable[UsualTime]
    ) -> None:
        """Take in what the VMs of another data hall have seen.

        :param service: the service.
        :param hall: the hall.
        :param rows: what they have seen, in place of what was told of it before.
        """
        by_kind = {row.kind: row for row in rows}
        if by_kind:
            self.told_by_hall.setdefault(service, {})[hall] = by_kind
            self.all_told.pop(service, None)

    def recover(self, service: ServiceName, rows: Iterable[UsualTime]) -> None:
        """Take in what many VMs had seen, as this one starts.

        :param service: the service.
        :param rows: what they had seen.
        """
        self.hear(service, MANY, rows)

    def _told(self, service: ServiceName) -> list[UsualTime]:
        vms = self.told.get(service, {}).values()
        halls = self.told_by_hall.get(service, {}).values()
        return [*_flat(vms), *_flat(halls)]


def _flat(told: Iterable[dict[int, UsualTime]]) -> list[UsualTime]:
    return [row for rows in told for row in rows.values()]


def _merged(rows: Iterable[UsualTime]) -> tuple[UsualTime, ...]:
    by_kind: dict[int, list[UsualTime]] = {}
    for row in rows:
        by_kind.setdefault(row.kind, []).append(row)
    return tuple(_mean(kind, found) for kind, found in by_kind.items())


def _mean(kind: int, rows: list[UsualTime]) -> UsualTime:
    """Put together what several have seen of one kind."""
    seen = sum(row.seen for row in rows)
    if not seen:
        return UsualTime(kind, 0.0, 0)
    seconds = sum(row.seconds * row.seen for row in rows) / seen
    return UsualTime(kind, seconds, min(seen, MAX_SEEN))
