# Licensed under the Apache License 2.0: see LICENSE for details.

"""Exchange of outcome counts between VMs, so that each VM has those of all."""

from __future__ import annotations

from collections.abc import Callable

from walnutquay.coordination.own.members import Members
from walnutquay.coordination.process.context import Context
from walnutquay.coordination.process.dispatcher import Dispatcher
from walnutquay.protocol.messages import Envelope
from walnutquay.protocol.ownmessages import TallyNews
from walnutquay.state.fleet.membership import HEARTBEAT_FANOUT
from walnutquay.state.own.outcomecounts import OutcomeCountTable

OUTCOME_COUNTS_SECONDS = 0.5
# In a large fleet, changes are sent only once in this number of rounds.
LARGE_FLEET_ROUNDS = 2

# Called with a subject and the numbers of its new good and bad outcomes.
Listener = Callable[[str, int, int], None]


class OutcomeCounts:
    """Counts outcomes on this VM and exchanges the counts with other VMs.

    A VM sends its counts to a few others, which forward them; no request waits for
    this.

    :param context: the state shared by this process.
    :param members: the other VMs.
    :param dispatcher: delivers the counts of other VMs.
    """

    def __init__(
        self, context: Context, members: Members, dispatcher: Dispatcher
    ) -> None:
        self.context = context
        self.members = members
        self.count_table = OutcomeCountTable(
            context.vm, context.incarnation, context.rng
        )
        self.listeners: list[Listener] = []
        self.rounds = 0
        dispatcher.on(TallyNews, self.on_counts)

    def start(self) -> None:
        """Start sending changed counts."""
        self.context.timers.every("tallies", OUTCOME_COUNTS_SECONDS, self.send_changes)

    def add(self, subject: str, good: bool) -> None:
        """Count an outcome that this VM has observed.

        :param subject: the subject that the outcome counts for.
        :param good: whether it was good.
        """
        counts = (1, 0) if good else (0, 1)
        self.count_table.add(subject, *counts)
        self._notify_listeners(subject, *counts)

    def send_changes(self) -> None:
        """Send some of the changed counts to a few other VMs."""
        self.rounds += 1
        large = len(self.members.table.members) > HEARTBEAT_FANOUT
        if large and self.rounds % LARGE_FLEET_ROUNDS:
            return
        rows = self.count_table.rows_to_send()
        if not rows:
            return
        targets = self.members.table.targets()
        # Each VM that receives a row forwards it: in a large fleet, one target per
        # round is enough, and six would exceed the limit on control traffic
        # (docs/CAPACITY.md).
        for name in targets[:1] if large else targets:
            self.members.send(name, TallyNews(tuple(rows)))

    def on_counts(self, envelope: Envelope) -> None:
        """Apply the counts of another VM.

        :param envelope: the received message.
        """
        assert isinstance(envelope.body, TallyNews)
        for row in envelope.body.rows:
            good, bad = self.count_table.receive(row)
            if good or bad:
                self._notify_listeners(row.subject, good, bad)

    def _notify_listeners(self, subject: str, good: int, bad: int) -> None:
        for listener in self.listeners:
            listener(subject, good, bad)
