# Licensed under the Apache License 2.0: see LICENSE for details.

"""Pins of sessions whose callers send a session id and return no token.

The VM that rendezvous names for the session keeps its pin, and the next one in
rank a copy.  When both are lost at once, the session is bound anew; a caller
who returns the token never depends on this.
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
# VMs that are asked for a pin: its keepers, and who was one before a VM joined.
MAX_QUERIED = 4

SessionKey = tuple[str, str]


class SessionPins:
    """Finds and keeps the pins of bare sessions.

    :param context: what this process shares.
    :param members: the other VMs.
    :param dispatcher: where peers' questions come from.
    :param sealer: signs pins, also between VMs.
    :param size: pins to keep; the least used go first.
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

        :param organisation: whose session.
        :param session: its id.
        :returns: the pin, or None where nobody keeps one.
        """
        query = AskPin(organisation, session, "")
        # A VM that has just joined may be the first in rank and know nothing;
        # those that were keepers before it come next.
        for holder in self._ranked(organisation, session)[:MAX_QUERIED]:
            pin = await self._query(holder, query)
            if pin is not None:
                return pin
        return None

    async def propose(self, pin: Pin) -> Pin:
        """Bind a session, unless it is bound already.

        :param pin: what it would be bound to.
        :returns: what it is bound to.
        """
        token = self.sealer.seal(pin)
        query = AskPin(pin.organisation, pin.session, token)
        for holder in self._holders(pin.organisation, pin.session):
            existing = await self._query(holder, query)
            if existing is not None:
                return existing
        return pin

    def update(self, pin: Pin) -> None:
        """Tell the keepers of a pin after a turn.

        :param pin: the pin as it is now.
        """
        message = CopyPin(pin.organisation, pin.session, self.sealer.seal(pin))
        for holder in self._holders(pin.organisation, pin.session):
            if holder == self.context.vm:
                self._keep(message.organisation, message.session, message.token)
            else:
                self.members.send(holder, message)

    def _holders(self, organisation: str, session: str) -> list[str]:
        return self._ranked(organisation, session)[:PIN_REPLICAS]

    def _ranked(self, organisation: str, session: str) -> list[str]:
        alive = self.members.table.alive(monotonic())
        names = [self.context.vm, *(member.news.vm for member in alive)]
        return rendezvous(f"pin/{organisation}/{session}", names)

    async def _query(self, holder: str, query: AskPin) -> Pin | None:
        if holder == self.context.vm:
            return self._open(query, self._get_or_store(query))
        try:
            answer = await self.members.call(holder, query, QUERY_SECONDS)
        except PeerError as error:
            log.debug("a keeper of pins does not answer: {}", error)
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
        """:param envelope: a peer's question.

        :returns: the token that is kept here.
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
            self._keep(*key, query.token)
            copy = CopyPin(query.organisation, query.session, query.token)
            for holder in self._holders(*key):
                if holder != self.context.vm:
                    self.members.send(holder, copy)
        return query.token

    def on_copy(self, envelope: Envelope) -> None:
        """:param envelope: a pin to keep."""
        body = envelope.body
        assert isinstance(body, CopyPin)
        self._keep(body.organisation, body.session, body.token)

    def _keep(self, organisation: str, session: str, token: str) -> None:
        key = (organisation, session)
        self.tokens[key] = token
        self.tokens.move_to_end(key)
        while len(self.tokens) > self.size:
            self.tokens.popitem(last=False)
