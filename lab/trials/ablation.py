# Licensed under the Apache License 2.0: see LICENSE for details.

"""What each part of a trial's agreement is worth: ``python -m lab.trials.ablation``.

Switches the parts off one by one, in simulated trials of a small fleet, and counts the
requests of sessions that changed their version though they must not.
"""

from __future__ import annotations

from contextlib import AbstractContextManager, nullcontext
from dataclasses import dataclass
from unittest import mock

from lab.trials.fleet import simulate
from walnutquay.coordination.trials import task as trialtask
from walnutquay.coordination.trials import versions
from walnutquay.coordination.trials.exchange import TrialExchange
from walnutquay.coordination.trials.task import TrialTask
from walnutquay.state.trials.reports import TrialReport
from walnutquay.state.trials.trial import Trial

VMS = 6
# New sessions a second.
RATE = 48.0
SEEDS = range(5)
# So many requests on the wrong version break the platform's rule.
ALLOWED = 3


@dataclass(frozen=True, slots=True)
class Conditions:
    """What happens while a version is on trial.

    :param name: in words.
    :param restarts: VMs that restart.
    :param late: seconds by which some VMs learn of the order late.
    :param late_share: the share of these VMs.
    :param starts: when endpoints of the new version start; seconds after the order.
    """

    name: str
    restarts: int = 0
    late: float = 0.0
    late_share: float = 0.0
    starts: float = 0.3


CONDITIONS = (
    Conditions("calm"),
    Conditions("8 restarts", restarts=8),
    Conditions("3 in 10 VMs 0.9 s late", late=0.9, late_share=0.3, starts=-2.0),
)


async def _ask_nobody(self: TrialExchange, task: TrialTask) -> None:
    self._join(task, None)


def _hear_kept_only(self: Trial, report: TrialReport, now: float) -> None:
    self.kept.receive(report.kept, now)


def switched_off() -> dict[str, AbstractContextManager]:
    """:returns: what switches each part off, by the part's name."""
    nothing_kept = mock.patch.object(Trial, "must_stay_on_old", lambda *_: False)
    told_once = mock.patch.object(trialtask, "DECISION_ANNOUNCEMENTS", 1)
    at_once = mock.patch.object(versions, "SETTLE_SECONDS", 0.0)
    nobody_asked = mock.patch.object(TrialExchange, "catch_up", _ask_nobody)
    kept_only = mock.patch.object(Trial, "receive_decisions", _hear_kept_only)
    return {
        "nothing": nullcontext(),
        "sessions that others keep": nothing_kept,
        "telling twice": told_once,
        "the wait after the order": at_once,
        "asking at a start": nobody_asked,
        "others' verdict and beginning": kept_only,
    }


def row(part: str, conditions: Conditions) -> str:
    """:param part: what is switched off.

    :param conditions: what happens.
    :returns: a line of the table.
    """
    too_early = back = broken = datagrams = 0
    for seed in SEEDS:
        found = simulate(
            seed,
            VMS,
            RATE,
            restarts=conditions.restarts,
            late=conditions.late,
            late_share=conditions.late_share,
            starts=conditions.starts,
            cut_off=conditions.late > 0,
        )
        too_early += found.too_early
        back += found.back
        broken += found.too_early + found.back > ALLOWED
        datagrams += found.datagrams
    return (
        f"| {conditions.name} | {part} | {too_early} | {back} | "
        f"{broken} of {len(SEEDS)} | {datagrams / len(SEEDS):.0f} |"
    )


def main() -> None:
    """Print the table."""
    print("| conditions | without | too early | back | broken | datagrams |")
    print("| --- | --- | --- | --- | --- | --- |")
    for conditions in CONDITIONS:
        for part, switch in switched_off().items():
            with switch:
                print(row(part, conditions), flush=True)


if __name__ == "__main__":
    main()
