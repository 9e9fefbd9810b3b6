# Licensed under the Apache License 2.0: see LICENSE for details.

"""Claims on idempotency keys, stored as one platform object for each key."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass

import logbook

from walnutquay.coordination.own.lostclaims import LostClaims
from walnutquay.coordination.own.members import Members
from walnutquay.coordination.own.platform import Platform
from walnutquay.coordination.own.restores import Restores
from walnutquay.coordination.process.context import Context
from walnutquay.coordination.process.dispatcher import Dispatcher
from walnutquay.exceptions import (
    PeerError,
    PlatformConflictError,
    PlatformError,
    PlatformUnclearError,
)
from walnutquay.platform.values import ABSENT
from walnutquay.protocol.messages import Envelope
from walnutquay.protocol.ownmessages import AskRun, RunIs
from walnutquay.state.own.claims import (
    CLAIM_PREFIX,
    Claim,
    RepeatAction,
    RunState,
    RunTable,
    WholeAnswer,
    action_for_repeat,
    claim_name,
)
from walnutquay.state.process.events import EventKind
from walnutquay.state.process.ids import OrganisationName, RequestId
from walnutquay.state.process.revisions import StoreRevision
from walnutquay.transport.timers import monotonic

log = logbook.Logger(__name__)

# Time limit for acquiring a claim; a request without its claim is refused.
CLAIM_SECONDS = 4.0
# Time limit for the response of the VM that holds a claim.
HOLDER_SECONDS = 1.0
# Attempts to find out whether a claim was stored after its response was lost.
SETTLE_TRIES = 3
SETTLE_PAUSE = 0.1
# A claim older than this share of its retention time is no longer taken over.
TAKE_OVER_SHARE = 0.9
SWEEP_SECONDS = 3600.0
SWEEP_DELETES = 500
SECONDS_PER_HOUR = 3600.0


@dataclass(frozen=True, slots=True)
class ClaimResult:
    """The result of an attempt to acquire a claim.

    :param granted: whether this request may be dispatched.
    :param action: how a repeat is handled; None if the claim is granted or the
        platform cannot be queried.
    :param answer: the finished answer to return to a repeat.
    :param reason: why the claim could not be decided.
    """

    granted: bool
    action: RepeatAction | None = None
    answer: WholeAnswer | None = None
    reason: str = ""


GRANTED = ClaimResult(True)
NOT_SETTLED = ClaimResult(
    False, reason="the store was restored, and VMs write lost claims again"
)


class Claims:
    """Acquires claims, and reports the state of those that this VM holds.

    :param context: the state shared by this process.
    :param platform: the client of the platform's value store.
    :param members: the other VMs.
    :param dispatcher: delivers peers' queries.
    :param hours: hours for which a key is kept.
    :param answer_bytes: maximum total size of the finished answers that are kept.
    :param restores: the last restore of the store.
    """

    def __init__(
        self,
        context: Context,
        platform: Platform,
        members: Members,
        dispatcher: Dispatcher,
        hours: float,
        answer_bytes: int,
        restores: Restores,
    ) -> None:
        self.restores = restores
        self.context = context
        self.platform = platform
        self.members = members
        self.keep_seconds = hours * SECONDS_PER_HOUR
        self.table = RunTable(answer_bytes)
        # The request that holds each key on this VM, by the claim object's name.
        self.requests_by_name: dict[str, RequestId] = {}
        self.fingerprints: dict[RequestId, str] = {}
        self.lost = LostClaims(context, platform, self.table, self._claim_of)
        dispatcher.on(AskRun, self.on_ask_run)

    def start(self) -> None:
        """Start the periodic removal of old claims."""
        self.context.timers.every("claim-sweep", SWEEP_SECONDS, self.sweep)

    async def acquire(
        self,
        organisation: OrganisationName,
        key: str,
        fingerprint: str,
        request: RequestId,
    ) -> ClaimResult:
        """Acquire the right to dispatch a request under a key.

        :param organisation: the organisation that the key belongs to.
        :param key: the caller's idempotency key.
        :param fingerprint: the hash of the request.
        :param request: the request's id.
        """
        name = claim_name(organisation, key)
        held = self._held_here(name, fingerprint)
        if held is not None:
            return held
        if self.restores.settling:
            return NOT_SETTLED
        self.table.begin(request, name)
        self.requests_by_name[name] = request
        self.fingerprints[request] = fingerprint
        try:
            async with asyncio.timeout(CLAIM_SECONDS):
                result = await self._claim(name, self._claim_of(request))
        except asyncio.CancelledError:
            self.abandon(request)
            raise
        except TimeoutError:
            result = ClaimResult(False, reason="the platform is too slow")
        except PlatformError as error:
            result = ClaimResult(False, reason=str(error))
        if result.granted and self.restores.settling:
            # The claim's own answer told of the restore: the store may have lost the
            # claim of another VM on this key.
            self.abandon(request)
            await self.release(request)
            return NOT_SETTLED
        if result.granted:
            self.context.timeline.emit(EventKind.CLAIMED, request=request)
        else:
            self.abandon(request)
        return result

    def _held_here(self, name: str, fingerprint: str) -> ClaimResult | None:
        """Decide on a repeat of a key that this VM holds itself."""
        request = self.requests_by_name.get(name)
        if request is None:
            return None
        run = self.table.runs[request]
        if run.state is RunState.ABANDONED:
            return None
        claim = Claim(request, "", "", self.fingerprints[request], 0.0)
        return _repeat_result(claim, fingerprint, run.state, run.answer)

    async def _claim(self, name: str, claim: Claim) -> ClaimResult:
        """Create the claim object, or find out which request holds the key."""
        try:
            version = await self.platform.write(name, claim.encode(), ABSENT)
        except PlatformConflictError:
            return await self._resolve_conflict(name, claim)
        except PlatformUnclearError:
            return await self._settle(name, claim)
        return self._granted(claim, version)

    def _granted(self, claim: Claim, version: StoreRevision) -> ClaimResult:
        run = self.table.runs[claim.request]
        run.version = version
        run.claimed_at = monotonic()
        return GRANTED

    async def _settle(self, name: str, claim: Claim) -> ClaimResult:
        """Retry a claim whose response was lost; its object is created only once."""
        error: PlatformError = PlatformUnclearError(
            "the claim's answer is lost", step="claim", peer=name
        )
        for _ in range(SETTLE_TRIES):
            await asyncio.sleep(SETTLE_PAUSE)
            try:
                version = await self.platform.write(name, claim.encode(), ABSENT)
            except PlatformConflictError:
                return await self._resolve_conflict(name, claim)
            except PlatformUnclearError as again:
                error = again
            else:
                return self._granted(claim, version)
        raise error

    async def _resolve_conflict(self, name: str, claim: Claim) -> ClaimResult:
        """Handle a key that is claimed already: by another request or by this one."""
        stored = await self.platform.read(name)
        if not stored.version:
            return ClaimResult(False, reason="the key's claim has just been removed")
        current = Claim.decode(stored.value)
        if current.request == claim.request:
            return self._granted(claim, stored.version)
        if current.at < time.time() - self.keep_seconds * TAKE_OVER_SHARE:
            # The claim may be swept between this read and a write.
            return ClaimResult(False, RepeatAction.SAY_UNKNOWN)
        state, answer = await self._query_holder(current)
        result = _repeat_result(current, claim.fingerprint, state, answer)
        if result.action is not RepeatAction.TAKE_OVER:
            return result
        try:
            version = await self.platform.write(name, claim.encode(), stored.version)
        except PlatformConflictError:
            return ClaimResult(False, RepeatAction.WAIT)
        except PlatformUnclearError:
            # If the write took effect, the key is held by a request that is
            # abandoned here, so the next repeat takes it over.
            return ClaimResult(False, reason="the answer to taking over is lost")
        return self._granted(claim, version)

    async def _query_holder(
        self, claim: Claim
    ) -> tuple[RunState | None, WholeAnswer | None]:
        if claim.abandoned:
            return RunState.ABANDONED, None
        if claim.vm == self.context.vm:
            run = self.table.runs.get(claim.request)
            return (run.state, run.answer) if run is not None else (None, None)
        try:
            answer = await self.members.call(
                claim.vm, AskRun(claim.request), HOLDER_SECONDS
            )
        except PeerError as error:
            log.debug(
                "the holder of a claim did not respond; its state is unknown: {}", error
            )
            return None, None
        assert isinstance(answer, RunIs)
        return answer.state, answer.answer

    def on_ask_run(self, envelope: Envelope) -> RunIs:
        """Report the state of a claimed request of this VM to a peer.

        :param envelope: the peer's query.
        """
        assert isinstance(envelope.body, AskRun)
        run = self.table.runs.get(RequestId(envelope.body.request))
        return RunIs(None) if run is None else RunIs(run.state, run.answer)

    # Progress of a claimed request, reported by the path that handles it.

    def mark_running(self, request: RequestId) -> None:
        """Record that a claimed request is being dispatched.

        :param request: its id.
        """
        self.table.runs[request].state = RunState.RUNNING

    def mark_pending(self, request: RequestId) -> None:
        """Record that a dispatch of a claimed request did not start.

        :param request: its id.
        """
        self.table.runs[request].state = RunState.PENDING

    def abandon(self, request: RequestId) -> None:
        """Record that a request will never be dispatched, and free its key.

        :param request: its id.
        """
        self.table.end(request, RunState.ABANDONED, monotonic())

    async def release(self, request: RequestId) -> None:
        """Mark a claim in the platform as abandoned, so that its holder is not queried.

        :param request: its id.
        """
        run = self.table.runs[request]
        if not run.version:
            return
        claim = self._claim_of(request, abandoned=True)
        try:
            await self.platform.write(run.claim_name, claim.encode(), run.version)
        except PlatformError as error:
            log.debug(
                "a claim cannot be marked as abandoned; it stays unchanged: {}", error
            )

    def _claim_of(self, request: RequestId, abandoned: bool = False) -> Claim:
        return Claim(
            request,
            self.context.vm,
            self.context.incarnation,
            self.fingerprints[request],
            time.time(),
            abandoned,
        )

    def finish(
        self, request: RequestId, state: RunState, answer: WholeAnswer | None = None
    ) -> None:
        """Record how a claimed request ended.

        :param request: its id.
        :param state: ``ANSWERED`` or ``UNKNOWN``.
        :param answer: its answer, for repeats.
        """
        self.table.end(request, state, monotonic(), answer)

    # Removing old claims.

    async def sweep(self) -> None:
        """Remove old claims from memory and, on one VM only, from the platform."""
        self.table.forget_before(monotonic() - self.keep_seconds)
        self.requests_by_name = {
            n: r for n, r in self.requests_by_name.items() if r in self.table.runs
        }
        self.fingerprints = {
            r: f for r, f in self.fingerprints.items() if r in self.table.runs
        }
        ranked = self.members.table.ranked("claim-sweep", monotonic())
        if ranked[0] != self.context.vm:
            return
        try:
            await self._sweep_platform()
        except PlatformError as error:
            log.debug(
                "old claims cannot be removed now; the next sweep retries: {}", error
            )

    async def _sweep_platform(self) -> None:
        oldest = time.time() - self.keep_seconds
        deleted = 0
        for name in await self.platform.names(CLAIM_PREFIX):
            stored = await self.platform.read(name)
            if not stored.version or Claim.decode(stored.value).at > oldest:
                continue
            await self.platform.delete(name, stored.version)
            deleted += 1
            if deleted >= SWEEP_DELETES:
                return


def _repeat_result(
    claim: Claim,
    fingerprint: str,
    state: RunState | None,
    answer: WholeAnswer | None,
) -> ClaimResult:
    """Decide how to handle a repeat.

    If the answer is no longer kept, the outcome is reported as unknown.
    """
    action = action_for_repeat(claim, fingerprint, state)
    if action is RepeatAction.GIVE_ANSWER and answer is None:
        action = RepeatAction.SAY_UNKNOWN
    return ClaimResult(False, action, answer)
