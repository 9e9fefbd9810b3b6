# Licensed under the Apache License 2.0: see LICENSE for details.

"""Keeps sessions on the version that served them, whichever VM served them."""

from __future__ import annotations

from collections.abc import Callable, Mapping

import logbook

from walnutquay.coordination.requests.slots import Grant
from walnutquay.coordination.routed.turn import RoutedTurn
from walnutquay.coordination.trials.exchange import PRE_OPENING_SECONDS, Peers
from walnutquay.coordination.trials.task import TrialTask
from walnutquay.protocol.messages import Envelope, SessionsSeen, SessionsTaken
from walnutquay.state.process.ids import ServiceName, VersionName
from walnutquay.state.store.instances import Instance
from walnutquay.state.trials.sessionrecords import SessionRecord, SessionRecords
from walnutquay.state.trials.trial import Trial
from walnutquay.transport.timers import monotonic

log = logbook.Logger(__name__)

# How long a record outlives its session, counted from the end of the last request that
# this VM has seen.
EXPIRY_MARGIN_SECONDS = 1.0
# The most sessions that a stopping VM hands over.  Each takes some 60 bytes, so the
# message is far below the largest that VMs accept.  A VM of the largest size has some
# 300 sessions that have not expired.
MAX_HANDED_OVER = 5_000


class SessionTracker:
    """Records which version served each session, and announces it if necessary.

    This is necessary if a session is assigned to a version on trial, but the old
    version has already served it.

    :param tasks: the trials, by service.
    :param peers: the other VMs.
    :param announce: sends this VM's decisions in a trial to all VMs.
    :param session_seconds: the longest time between two requests of one session.
    """

    def __init__(
        self,
        tasks: Mapping[ServiceName, TrialTask],
        peers: Peers,
        announce: Callable[[TrialTask], None],
        session_seconds: float,
    ) -> None:
        self.tasks = tasks
        self.peers = peers
        self.announce = announce
        self.records = SessionRecords(session_seconds + EXPIRY_MARGIN_SECONDS)

    def find_record(self, turn: RoutedTurn, now: float) -> SessionRecord | None:
        """Find this VM's record of a request's session.

        :param turn: the request.
        :param now: monotonic seconds.
        :returns: the record; None if there is none or the session has expired.
        """
        return self.records.find(turn.service, turn.session, now)

    def began(self, turn: RoutedTurn, grant: Grant) -> None:
        """Record that a request is sent.

        :param turn: the request.
        :param grant: the endpoint's slot.
        """
        endpoint = grant.endpoint
        if not turn.session or not isinstance(endpoint, Instance):
            return
        now = monotonic()
        self.records.began(turn.service, turn.session, endpoint.version, now)
        if self._keep_on_old(turn.service, turn.session, endpoint.version, now):
            self._announce_kept(self.tasks[turn.service], now)

    def left(self, turn: RoutedTurn, grant: Grant) -> None:
        """Record that a request has ended at its endpoint, for whatever reason.

        :param turn: the request.
        :param grant: the endpoint's slot.
        """
        if turn.session and isinstance(grant.endpoint, Instance):
            self.records.ended(turn.service, turn.session, monotonic())

    def on_trial_begin(self, trial: Trial) -> None:
        """Keep the sessions that this VM has served, as a trial begins.

        :param trial: the trial.
        """
        order = trial.order
        now = monotonic()
        for seen in self.records.recent(now):
            if seen.service == order.service and seen.version != order.version:
                trial.keep(seen.session, now)

    def _keep_on_old(
        self, service: ServiceName, session: str, version: VersionName, now: float
    ) -> bool:
        """Keep a session on the old version if that version served it.

        :returns: whether this has to be announced to the other VMs.
        """
        task = self.tasks.get(service)
        if task is None or task.trial.order.version == version:
            return False
        kept = task.trial.keep(session, now)
        if kept:
            task.schedule_announcements()
        return kept

    def _announce_kept(self, task: TrialTask, now: float) -> None:
        """Announce the sessions that this VM keeps on the old version.

        This is done at once if the new version gets sessions, or will soon.  When they
        were announced at the next evaluation, up to 0.25 s later, 2 of 520 simulated
        trials moved sessions whose next request reached another VM in the meantime.
        """
        if now >= task.trial.opens_at - PRE_OPENING_SECONDS:
            self.announce(task)

    async def hand_over(self) -> None:
        """Send this VM's session records to another VM, as this one stops."""
        rows = tuple(self.records.recent(monotonic()))[:MAX_HANDED_OVER]
        if rows and await self.peers.query_any(SessionsSeen(rows)) is None:
            log.warn("could not hand over {} sessions: no VM responded", len(rows))

    def take_over(self, envelope: Envelope) -> SessionsTaken:
        """Apply the session records of a VM that stops.

        :param envelope: the VM's message.
        """
        body = envelope.body
        assert isinstance(body, SessionsSeen)
        now = monotonic()
        kept = {
            seen.service
            for seen in body.rows
            if self.records.apply(seen, now)
            and self._keep_on_old(seen.service, seen.session, seen.version, now)
        }
        for service in kept:
            self._announce_kept(self.tasks[service], now)
        log.info("took over {} sessions from {}", len(body.rows), envelope.vm)
        return SessionsTaken()
