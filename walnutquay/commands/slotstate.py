# Licensed under the Apache License 2.0: see LICENSE for details.

"""What a fleet's figures say of scarce slots: who waits, who has them, refusals."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

# What the counters of denials begin and end with.
DENIED = "slots_denied_"
TOTAL = "_total"
# The counter of all denials, whatever their reasons.
ALL_DENIED = "slots_denied_total"


class Figure(Protocol):
    """One figure of the text exposition format."""

    name: str
    labels: dict[str, str]
    value: float


@dataclass(frozen=True, slots=True)
class SlotWaiting:
    """Requests that wait for a scarce slot.

    :param service: the service.
    :param organisation: whose they are.
    :param priority: their rank, where 0 is the most urgent.
    :param hall: the data hall of the VMs that have their callers.
    :param count: how many there are.
    :param oldest: seconds for which the oldest has waited.
    """

    service: str
    organisation: str
    priority: int
    hall: str
    count: int
    oldest: float


@dataclass(frozen=True, slots=True)
class SlotGrants:
    """The scarce slots of an endpoint, as the VM that shares them out counts them.

    :param service: the service.
    :param endpoint: the endpoint.
    :param slots: its slots.
    :param granted: those that are granted.
    :param oldest: the age of the oldest grant; seconds.
    """

    service: str
    endpoint: str
    slots: int
    granted: int
    oldest: float


def slot_waiting(figures: Iterable[Figure]) -> tuple[SlotWaiting, ...]:
    """Return what waits for scarce slots at a VM.

    :param figures: all figures of the VM.
    """
    names = ("service", "organisation", "priority", "hall")
    counts = _by_labels(figures, "slot_waiting", names)
    ages = _by_labels(figures, "slot_oldest_wait_seconds", names)
    return tuple(
        SlotWaiting(
            service,
            organisation,
            int(priority),
            hall,
            int(count),
            ages.get((service, organisation, priority, hall), 0.0),
        )
        for (service, organisation, priority, hall), count in counts.items()
    )


def slot_grants(figures: Iterable[Figure]) -> tuple[SlotGrants, ...]:
    """Return the slots that a VM shares out.

    :param figures: all figures of the VM.
    """
    names = ("service", "endpoint")
    granted = _by_labels(figures, "slot_grants", names)
    slots = _by_labels(figures, "slot_capacity", names)
    ages = _by_labels(figures, "slot_oldest_grant_seconds", names)
    return tuple(
        SlotGrants(*key, int(slots.get(key, 0)), int(count), ages.get(key, 0.0))
        for key, count in granted.items()
    )


def slots_denied(figures: Iterable[Figure]) -> dict[str, int]:
    """Return how many requests of a VM got no slot, by reason.

    :param figures: all figures of the VM.
    """
    return {
        one.name.removeprefix(DENIED).removesuffix(TOTAL): int(one.value)
        for one in figures
        if one.name.startswith(DENIED) and one.name != ALL_DENIED
    }


def _by_labels(
    figures: Iterable[Figure], name: str, labels: tuple[str, ...]
) -> dict[tuple[str, ...], float]:
    return {
        tuple(one.labels.get(label, "") for label in labels): one.value
        for one in figures
        if one.name == name
    }


def organisation_label(organisation: str) -> str:
    """Return the text that stands for an organisation.

    :param organisation: its name; empty for callers without a known key.
    """
    return organisation or "(no key)"


class VmSlots(Protocol):
    """What one VM's figures say of scarce slots."""

    slot_waiting: tuple[SlotWaiting, ...]
    slot_grants: tuple[SlotGrants, ...]
    slots_denied: dict[str, int]


def slots_text(states: Iterable[VmSlots]) -> list[str]:
    """Return lines for people on the scarce slots of a fleet.

    :param states: the states of all VMs.
    """
    states = list(states)
    lines = [
        f"slots: {row.service} at {row.endpoint}: {row.granted} of {row.slots} "
        f"granted, the oldest for {row.oldest:.1f} s"
        for row in sorted(
            (row for one in states for row in one.slot_grants),
            key=lambda row: (row.service, row.endpoint),
        )
        if row.granted
    ]
    lines += [
        f"waiting for slots: {row.count} of {organisation_label(row.organisation)} for "
        f"{row.service}, "
        f"priority {row.priority}, in {row.hall}, the oldest for {row.oldest:.1f} s"
        for row in _added(row for one in states for row in one.slot_waiting)
    ]
    denied: Counter[str] = Counter()
    for one in states:
        denied.update(one.slots_denied)
    lines += [
        f"refused for want of slots: {count}, {reason.replace('_', ' ')}"
        for reason, count in sorted(denied.items())
    ]
    return lines


def _added(rows: Iterable[SlotWaiting]) -> list[SlotWaiting]:
    """Add up what waits at several VMs, the oldest first."""
    found: dict[tuple[str, str, int, str], SlotWaiting] = {}
    for row in rows:
        key = (row.service, row.organisation, row.priority, row.hall)
        known = found.get(key)
        count = row.count + (known.count if known else 0)
        oldest = max(row.oldest, known.oldest if known else 0.0)
        found[key] = SlotWaiting(*key, count, oldest)
    return sorted(found.values(), key=lambda row: -row.oldest)
