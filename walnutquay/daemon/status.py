# Licensed under the Apache License 2.0: see LICENSE for details.

"""What a VM tells operators of itself, the others and roll-outs."""

from __future__ import annotations

from typing import Any

from walnutquay.coordination.own.parts import Parts
from walnutquay.state.process.ids import MemberState
from walnutquay.state.store.parts import Rollout
from walnutquay.transport.timers import monotonic


def rollout_status(parts: Parts, rollout: Rollout) -> dict[str, Any]:
    """Show a roll-out, and how far it has come.

    :param parts: the parts of a daemon.
    :param rollout: the roll-out.
    :returns: it, its tests, and which engines that are to run the new version
        have it, as far as this VM knows.
    """
    loaded = parts.endpoint_monitor.loaded
    wanted = parts.configurations.current.endpoints_of_version.get(rollout.new, [])
    return {
        **rollout.model_dump(mode="json"),
        "tests": parts.health.table.counts(rollout.new),
        "verdict": parts.health.table.verdict(rollout.new).value,
        "loaded": [e.name for e in wanted if rollout.new in loaded.get(e.name, ())],
        "wanted": [e.name for e in wanted],
        "unchanged_for": parts.health.unchanged_for(rollout.new),
    }


def vm_status(parts: Parts) -> dict[str, Any]:
    """:param parts: the parts of a daemon.

    :returns: how its VM and, as it sees them, the others are.
    """
    now = monotonic()
    configurations = parts.configurations
    members = [
        {
            "vm": member.latest.vm,
            "hall": member.latest.hall,
            "incarnation": member.latest.incarnation,
            "state": parts.members.table.state_of(member, now).value,
            "revision": member.latest.revision,
            "heard": round(now - member.last_seen_at, 3),
            "listed": member.listed,
            "administration": f"{member.latest.address.host}:"
            f"{member.latest.administration}",
        }
        for member in parts.members.table.members.values()
    ]
    live = [m for m in members if m["state"] != MemberState.SILENT.value]
    metrics = parts.context.metrics.plain()
    return {
        "vm": parts.context.vm,
        "hall": parts.context.hall,
        "incarnation": parts.context.incarnation,
        "revision": configurations.current.revision,
        "ready": configurations.ready and not parts.chats.closed,
        "confirmed": round(configurations.confirmed_age(), 3),
        "platform_up": parts.platform.up,
        "era": parts.platform.eras.current,
        "in_flight": parts.chats.in_flight + parts.services.in_flight,
        "behind": [
            m["vm"] for m in live if m["revision"] < configurations.current.revision
        ],
        "members": sorted(members, key=lambda m: m["vm"]),
        "rollouts": [
            rollout_status(parts, rollout)
            for rollout in configurations.current.content.rollouts
        ],
        "emptied": emptied_halls(parts),
        "braked": sorted(parts.health.table.rejected),
        "failed_policies": configurations.programs.failed,
        "metrics": metrics,
    }


def emptied_halls(parts: Parts) -> dict[str, int]:
    """:param parts: the parts of a daemon.

    :returns: the data halls that are emptied, with the requests of this VM that still
        run there.
    """
    current = parts.configurations.current
    running = dict.fromkeys(sorted(current.emptied_halls), 0)
    for endpoint in current.content.endpoints:
        if endpoint.hall in running:
            running[endpoint.hall] += parts.table.state_of(endpoint.name).in_flight
    return running
