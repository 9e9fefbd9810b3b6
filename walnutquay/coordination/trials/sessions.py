# Licensed under the Apache License 2.0: see LICENSE for details.

"""Keeps sessions on the version that served them, whichever VM served them."""

from __future__ import annotations

from collections.abc import Callable, Mapping

import logbook

from walnutquay.coordination.requests.slots import Grant
from walnutquay.coordination.routed.turn import RoutedTurn
from walnutquay.coordination.trials.news import LAST_CALL_SECONDS, Peers
from walnutquay.coordination.trials.task import TrialTask
from walnutquay.protocol.messages import Envelope, SessionsSeen, SessionsTaken
from walnutquay.state.process.ids import ServiceName, VersionName
from walnutquay.state.store.instances import Instance
from walnutquay.state.trials.sessionrecords import SessionRecord, SessionRecords
from walnutquay.state.trials.trial import Trial
from walnutquay.transport.timers import monotonic

log = logbook.Logger(__name__)

# A session whose last request has ended may be that much over its time here.
MARGIN_SECONDS = 1.0
# Sessions that a stopping VM hands over: some 60 bytes each, so that a message is far
# from the longest that VMs take.  At the largest size a VM has some 300 that are not
# over.
MAX_HANDED_OVER = 5_000


class SessionKeeper:
    """Notes which version served each session, and has other VMs know where it counts.

    It counts where a session falls to a version on trial and the old one has served it.

    :param tasks: the trials, by service.
    :param peers: the other VMs.
    :param tell: tells them all that was decided in a trial.
    :param session_seconds: requests of one session come within this time of each other.
    """

    def __init__(
        self,
        tasks: Mapping[ServiceName, TrialTask],
        peers: Peers,
        tell: Callable[[TrialTask], None],
        session_seconds: float,
    ) -> None:
        self.tasks = tasks
        self.peers = peers
        self.tell = tell
        self.notes = SessionRecords(session_seconds + MARGIN_SECONDS)

    def note_of(self, turn: RoutedTurn, now: float) -> SessionRecord | None:
        """:param turn: a request.

        :param now: monotonic seconds.
        :returns: what this VM has seen of its session, unless that is over.
        """
        return self.notes.find(turn.service, turn.session, now)

    def began(self, turn: RoutedTurn, grant: Grant) -> None:
        """:param turn: a request that is sent now.

        :param grant: the endpoint.
        """
        endpoint = grant.endpoint
        if not turn.session or not isinstance(endpoint, Instance):
            return
        now = monotonic()
        self.notes.began(turn.service, turn.session, endpoint.version, now)
        if self._keep(turn.service, turn.session, endpoint.version, now):
            self._tell_kept(self.tasks[turn.service], now)

    def left(self, turn: RoutedTurn, grant: Grant) -> None:
        """:param turn: a request that an endpoint is done with, however it ended.

        :param grant: the endpoint.
        """
        if turn.session and isinstance(grant.endpoint, Instance):
            self.notes.ended(turn.service, turn.session, monotonic())

    def trial_begins(self, trial: Trial) -> None:
        """Keep the sessions that this VM has served, as a trial begins.

        :param trial: the trial.
        """
        order = trial.order
        now = monotonic()
        for seen in self.notes.recent(now):
            if seen.service == order.service and seen.version != order.version:
                trial.keep(seen.session, now)

    def _keep(
        self, service: ServiceName, session: str, version: VersionName, now: float
    ) -> bool:
        """Leave a session on the old version, if that served it.

        :returns: whether the other VMs have to be told.
        """
        task = self.tasks.get(service)
        if task is None or task.trial.order.version == version:
            return False
        kept = task.trial.keep(session, now)
        if kept:
            task.decided()
        return kept

    def _tell_kept(self, task: TrialTask, now: float) -> None:
        """Have all VMs leave on the old version what this one has kept there.

        Where the new version gets sessions, or will soon, they are told at once: told
        with the next look, 0.25 s later, 2 of 520 simulated trials moved sessions that
        had come to another VM meanwhile.
        """
        if now >= task.trial.opens_at - LAST_CALL_SECONDS:
            self.tell(task)

    async def hand_over(self) -> None:
        """Leave what this VM has seen of sessions to others, as it stops."""
        rows = tuple(self.notes.recent(monotonic()))[:MAX_HANDED_OVER]
        if rows and await self.peers.ask_any(SessionsSeen(rows)) is None:
            log.warn("{} sessions could not be handed over", len(rows))

    def take_over(self, envelope: Envelope) -> SessionsTaken:
        """Take over what a VM that stops has seen of sessions.

        :param envelope: its message.
        """
        body = envelope.body
        assert isinstance(body, SessionsSeen)
        now = monotonic()
        kept = {
            seen.service
            for seen in body.rows
            if self.notes.apply(seen, now)
            and self._keep(seen.service, seen.session, seen.version, now)
        }
        for service in kept:
            self._tell_kept(self.tasks[service], now)
        log.info("{} sessions were taken over from {}", len(body.rows), envelope.vm)
        return SessionsTaken()
