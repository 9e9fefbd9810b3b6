# Licensed under the Apache License 2.0: see LICENSE for details.

"""Dispatch of peer messages to the parts that receive them."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from walnutquay.protocol.messages import Envelope, Failure, Message

Receiver = Callable[[Envelope], Awaitable[Message | None] | Message | None]


class Dispatcher:
    """A registry of the receiver for each kind of message."""

    def __init__(self) -> None:
        self.receivers: dict[type[Message], Receiver] = {}
        # Called with each message of any kind, before its receiver.
        self.listeners: list[Callable[[Envelope], None]] = []

    def on(self, kind: type[Message], receiver: Receiver) -> None:
        """Register the receiver for a kind of message.

        :param kind: the class of the messages.
        :param receiver: a function that is called with each envelope and returns
            the answer, or None to send none.
        """
        self.receivers[kind] = receiver

    async def deliver(self, envelope: Envelope) -> Message | None:
        """Pass a message to the listeners and to its receiver.

        :param envelope: the message received.
        :returns: the answer of the receiver, or None if it has none; a ``Failure``
            if no receiver is registered for this kind of message.
        """
        for listener in self.listeners:
            listener(envelope)
        receiver = self.receivers.get(type(envelope.body))
        if receiver is None:
            return Failure(f"{type(envelope.body).__name__} is not taken here")
        result = receiver(envelope)
        if result is None or isinstance(result, Message):
            return result
        return await result
