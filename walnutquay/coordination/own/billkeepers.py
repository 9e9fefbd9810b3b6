# Licensed under the Apache License 2.0: see LICENSE for details.

"""Selection of the VMs that keep copies of this VM's bill records."""

from __future__ import annotations

from walnutquay.coordination.own.billbatches import BATCH_RECORDS
from walnutquay.coordination.own.members import Members
from walnutquay.coordination.process.context import Context
from walnutquay.protocol.ownmessages import BillCopy, BillsMissing
from walnutquay.state.fleet.membership import Distance, distance, rendezvous
from walnutquay.state.own.bills import BillLog, BillRecord, encode_records
from walnutquay.state.process.ids import Incarnation
from walnutquay.transport.timers import monotonic

# For this long after a failed copy, a peer is tried after the others.
AVOID_SECONDS = 2.0


class BillKeepers:
    """Selects the peers to which bill records are copied.

    :param context: the state shared by this process.
    :param members: the other VMs.
    """

    def __init__(self, context: Context, members: Members) -> None:
        self.context = context
        self.members = members
        # Time of each peer's last failed copy.
        self.failed_at: dict[str, float] = {}

    def choose(self) -> list[str]:
        """Choose one peer at each distance, in order of preference.

        Peers that failed recently come last instead of being excluded, so that there
        is a peer to try even if all have failed.

        :returns: names of live peers.
        """
        now = monotonic()
        alive = self.members.table.alive(now)
        found = []
        for wanted in Distance:
            names = [
                member.latest.vm
                for member in alive
                if distance(self.context.hall, self.context.region, member.latest)
                is wanted
            ]
            preferred = [n for n in names if not self._failed_recently(n, now)]
            candidates = preferred or names
            found.extend(rendezvous(f"bills/{self.context.vm}", candidates)[:1])
        return sorted(found, key=lambda name: self._failed_recently(name, now))

    def record_failure(self, peer: str) -> None:
        """Record a failed copy.

        :param peer: the peer that did not confirm the copy.
        """
        self.failed_at[peer] = monotonic()

    def _failed_recently(self, peer: str, now: float) -> bool:
        return now - self.failed_at.get(peer, float("-inf")) <= AVOID_SECONDS

    async def send(
        self, peer: str, bill_log: BillLog, records: list[BillRecord], timeout: float
    ) -> int | None:
        """Send records to a peer, at most ``BATCH_RECORDS`` in a message.

        :param peer: the peer's name.
        :param bill_log: the log that contains the records.
        :param records: records in order.
        :param timeout: seconds to wait for the response to each message.
        :returns: the number of the first record that the peer lacks; None if it lacks
            none.
        :raises PeerError: if the peer does not respond.
        """
        for start in range(0, len(records), BATCH_RECORDS):
            chunk = records[start : start + BATCH_RECORDS]
            message = BillCopy(
                bill_log.incarnation, encode_records(chunk), bill_log.next_batch
            )
            answer = await self.members.call(peer, message, timeout)
            if isinstance(answer, BillsMissing):
                return answer.first
        return None

    def incarnation_of(self, peer: str) -> Incarnation | None:
        """Get the incarnation of a peer.

        :param peer: the peer's name.
        :returns: its last known incarnation; None if the peer is unknown.
        """
        member = self.members.table.members.get(peer)
        return member.latest.incarnation if member is not None else None

    def is_alive(self, peer: str, incarnation: Incarnation | None) -> bool:
        """Check whether a peer is alive with the expected incarnation.

        :param peer: the peer's name.
        :param incarnation: the expected incarnation.
        :returns: whether the peer is alive with that incarnation and not leaving.
        """
        alive = self.members.table.alive(monotonic())
        return any(
            member.latest.vm == peer and member.latest.incarnation == incarnation
            for member in alive
        )
