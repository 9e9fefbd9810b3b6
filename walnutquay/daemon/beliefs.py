# Licensed under the Apache License 2.0: see LICENSE for details.

"""What a VM believes, by subject, for ``walnutquay debug``."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from walnutquay.coordination.own.parts import Parts
from walnutquay.transport.timers import monotonic


def _members(parts: Parts) -> Any:
    now = monotonic()
    table = parts.members.table
    return {
        "listed": {
            name: f"{address.host}:{address.port}"
            for name, address in table.listed_addresses.items()
        },
        "members": {
            name: {
                "state": table.state_of(member, now).value,
                "incarnation": member.latest.incarnation,
                "counter": member.latest.counter,
                "revision": member.latest.revision,
                "heard": now - member.last_seen_at,
            }
            for name, member in table.members.items()
        },
        "watches": parts.configurations.is_watcher(),
    }


def _endpoints(parts: Parts) -> Any:
    now = monotonic()
    return {
        name: {
            "in_flight": facts.in_flight,
            "slow_by": round(facts.slow_by(now), 2),
            "load": facts.load(now),
            "reported": facts.reported,
            "report_age": now - facts.reported_at,
            "failures": facts.failures,
            "ejected_for": max(0.0, facts.ejected_until - now),
            "incarnation": facts.incarnation,
            "leaving": {s.value: i for s, i in facts.leaving.items()},
        }
        for name, facts in parts.table.states.items()
    }


def _queues(parts: Parts) -> Any:
    return {
        name: {
            "length": queue.length,
            "running": queue.running,
            "mean_seconds": queue.mean_seconds,
            "organisations": {
                organisation: len(entry.waiting)
                for organisation, entry in queue.queues.items()
            },
        }
        for name, queue in parts.admission.queues.items()
    }


def _claims(parts: Parts) -> Any:
    return {
        request: {"name": run.claim_name, "state": run.state.value}
        for request, run in parts.claims.table.runs.items()
    }


def _bills(parts: Parts) -> Any:
    billing = parts.billing
    return {
        "next_number": billing.next_number,
        "stored_below": billing.log.next_batch,
        "waiting": len(billing.log.records),
        "copy_peer": billing.copy_peer,
        "kept": {
            incarnation: {
                "vm": billing.vm_of[incarnation],
                "records": len(kept.records),
                "stored_below": kept.next_batch,
            }
            for incarnation, kept in billing.kept.items()
        },
    }


def _timers(parts: Parts) -> Any:
    return [
        {"name": s.name, "period": s.period, "calls": s.calls}
        for s in parts.context.timers.subscriptions
    ]


def _configuration(parts: Parts) -> Any:
    configurations = parts.configurations
    return {
        "revision": configurations.head.revision,
        "parts": configurations.head.parts,
        "confirmed": configurations.confirmed_age(),
        "operations": len(configurations.head.operations),
        "failed_policies": configurations.programs.failed,
    }


def _leases(parts: Parts) -> Any:
    lease = parts.rollouts.lease
    now = monotonic()
    return {
        lease.duty: {
            "version": str(lease.view.version),
            "holder": lease.view.value.vm if lease.view.value else "",
            "held_here_for": max(0.0, lease.view.held_until - now),
            "fence": lease.view.fence(now),
        }
    }


def _worths(parts: Parts) -> Any:
    """What cascades have learnt: by cascade, class and version."""
    return [
        {
            "cascade": key.cascade,
            "class": key.request_class,
            "version": key.version,
            "reached": round(worth.good, 1),
            "missed": round(worth.bad, 1),
        }
        for key, worth in parts.quality.learner.quality_counts.entries.items()
    ]


def _settings(parts: Parts) -> Any:
    return [list(row) for row in parts.settings.rows()]


BELIEFS: dict[str, Callable[[Parts], Any]] = {
    "members": _members,
    "endpoints": _endpoints,
    "queues": _queues,
    "claims": _claims,
    "bills": _bills,
    "leases": _leases,
    "timers": _timers,
    "configuration": _configuration,
    "settings": _settings,
    "worths": _worths,
}
