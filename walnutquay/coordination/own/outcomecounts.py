# Licensed under the Apache License 2.0: see LICENSE for details.

"""Counts of outcomes, told from VM to VM so that each learns from all."""

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
# A large fleet tells only in every so many rounds.
LARGE_FLEET_ROUNDS = 2

# Told of news: the subject, and how many more good and bad outcomes there are.
Listener = Callable[[str, int, int], None]


class OutcomeCounts:
    """Counts what this VM sees, tells it, and takes in what others count.

    A VM tells a few others, who pass it on; nobody waits for it.

    :param context: what this process shares.
    :param members: whom to tell.
    :param dispatcher: where others' counts come from.
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
        """Begin to tell."""
        self.context.timers.every("tallies", OUTCOME_COUNTS_SECONDS, self.send_changes)

    def add(self, subject: str, good: bool) -> None:
        """Count an outcome that this VM has seen.

        :param subject: what is counted.
        :param good: whether it was good.
        """
        counts = (1, 0) if good else (0, 1)
        self.count_table.add(subject, *counts)
        self._hand_on(subject, *counts)

    def send_changes(self) -> None:
        """Tell some of what has changed."""
        self.rounds += 1
        large = len(self.members.table.members) > HEARTBEAT_FANOUT
        if large and self.rounds % LARGE_FLEET_ROUNDS:
            return
        rows = self.count_table.rows_to_send()
        if not rows:
            return
        targets = self.members.table.targets()
        # Each row is passed on by whoever hears it: in a large fleet one VM at a time
        # is enough, and six would be over the limit for control (docs/CAPACITY.md).
        for name in targets[:1] if large else targets:
            self.members.send(name, TallyNews(tuple(rows)))

    def on_counts(self, envelope: Envelope) -> None:
        """:param envelope: what another VM tells."""
        assert isinstance(envelope.body, TallyNews)
        for row in envelope.body.rows:
            good, bad = self.count_table.receive(row)
            if good or bad:
                self._hand_on(row.subject, good, bad)

    def _hand_on(self, subject: str, good: int, bad: int) -> None:
        for listener in self.listeners:
            listener(subject, good, bad)
