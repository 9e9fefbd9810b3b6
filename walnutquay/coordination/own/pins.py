# Licensed under the Apache License 2.0: see LICENSE for details.

"""Pins of sessions whose callers send a session id and no token.

The VM that ranks first in rendezvous hashing of the session stores its pin, and the VM
that ranks second stores a copy.  If both are lost at once, the session is bound again.
Sessions of callers that send the token never depend on this.
"""

from __future__ import annotations

from collections import OrderedDict

import logbook

from walnutquay.coordination.own.members import Members
from walnutquay.coordination.process.context import Context
from walnutquay.coordination.process.dispatcher import Dispatcher
from walnutquay.exceptions import PeerError, TokenError
from walnutquay.protocol.messages import Envelope
from walnutquay.protocol.ownmessages import AskPin, CopyPin, PinIs
from walnutquay.state.fleet.membership import rendezvous
from walnutquay.state.own.sessions import Pin, PinSealer
from walnutquay.transport.timers import monotonic

log = logbook.Logger(__name__)

QUERY_SECONDS = 0.5
PIN_REPLICAS = 2
# The number of VMs queried for a pin: its holders, and those that were holders before
# other VMs joined.
MAX_QUERIED = 4

SessionKey = tuple[str, str]


class SessionPins:
    """Stores the pins of sessions without tokens, and queries other VMs for them.

    :param context: the state shared by this process.
    :param members: the other VMs.
    :param dispatcher: the dispatcher of messages from peers.
    :param sealer: signs pins, also between VMs.
    :param size: the number of pins to store; the least recently used are evicted first.
    """

    def __init__(
        self,
        context: Context,
        members: Members,
        dispatcher: Dispatcher,
        sealer: PinSealer,
        size: int,
    ) -> None:
        self.context = context
        self.members = members
        self.sealer = sealer
        self.size = size
        self.tokens: OrderedDict[SessionKey, str] = OrderedDict()
        dispatcher.on(AskPin, self.on_query)
        dispatcher.on(CopyPin, self.on_copy)

    async def find(self, organisation: str, session: str) -> Pin | None:
        """Find a session's pin.

        :param organisation: the organisation of the session.
        :param session: the session's id.
        :returns: the pin, or None if no VM queried has one.
        """
        query = AskPin(organisation, session, "")
        # A VM that has just joined may rank first and have no pins.  The VMs that were
        # holders before it joined rank next.
        for holder in self._ranked(organisation, session)[:MAX_QUERIED]:
            pin = await self._query(holder, query)
            if pin is not None:
                return pin
        return None

    async def propose(self, pin: Pin) -> Pin:
        """Bind a session, unless it is already bound.

        :param pin: the proposed pin.
        :returns: the pin in force: an existing one, or else the one proposed.
        """
        token = self.sealer.seal(pin)
        query = AskPin(pin.organisation, pin.session, token)
        for holder in self._holders(pin.organisation, pin.session):
            existing = await self._query(holder, query)
            if existing is not None:
                return existing
        return pin

    def update(self, pin: Pin) -> None:
        """Send the updated pin to its holders after a turn.

        :param pin: the updated pin.
        """
        message = CopyPin(pin.organisation, pin.session, self.sealer.seal(pin))
        for holder in self._holders(pin.organisation, pin.session):
            if holder == self.context.vm:
                self._store(message.organisation, message.session, message.token)
            else:
                self.members.send(holder, message)

    def _holders(self, organisation: str, session: str) -> list[str]:
        return self._ranked(organisation, session)[:PIN_REPLICAS]

    def _ranked(self, organisation: str, session: str) -> list[str]:
        alive = self.members.table.alive(monotonic())
        names = [self.context.vm, *(member.latest.vm for member in alive)]
        return rendezvous(f"pin/{organisation}/{session}", names)

    async def _query(self, holder: str, query: AskPin) -> Pin | None:
        if holder == self.context.vm:
            return self._open(query, self._get_or_store(query))
        try:
            answer = await self.members.call(holder, query, QUERY_SECONDS)
        except PeerError as error:
            log.debug(
                "query for a session pin failed; trying the next holder, if any: {}",
                error,
            )
            return None
        assert isinstance(answer, PinIs)
        return self._open(query, answer.token)

    def _open(self, query: AskPin, token: str) -> Pin | None:
        if not token:
            return None
        try:
            return self.sealer.open(token, query.organisation)
        except TokenError:
            return None

    def on_query(self, envelope: Envelope) -> PinIs:
        """Answer a peer's query for a pin, storing its pin if there is none here.

        :param envelope: the peer's query.
        :returns: the token stored on this VM; empty if there is none.
        """
        assert isinstance(envelope.body, AskPin)
        return PinIs(self._get_or_store(envelope.body))

    def _get_or_store(self, query: AskPin) -> str:
        key = (query.organisation, query.session)
        existing = self.tokens.get(key, "")
        if existing:
            self.tokens.move_to_end(key)
            return existing
        if query.token:
            self._store(*key, query.token)
            copy = CopyPin(query.organisation, query.session, query.token)
            for holder in self._holders(*key):
                if holder != self.context.vm:
                    self.members.send(holder, copy)
        return query.token

    def on_copy(self, envelope: Envelope) -> None:
        """Store the copy of a pin that a peer has sent.

        :param envelope: the peer's message.
        """
        body = envelope.body
        assert isinstance(body, CopyPin)
        self._store(body.organisation, body.session, body.token)

    def _store(self, organisation: str, session: str, token: str) -> None:
        key = (organisation, session)
        self.tokens[key] = token
        self.tokens.move_to_end(key)
        while len(self.tokens) > self.size:
            self.tokens.popitem(last=False)
