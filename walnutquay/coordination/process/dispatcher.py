# Licensed under the Apache License 2.0: see LICENSE for details.

"""Hands the messages of peers to the parts that want them."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from walnutquay.protocol.messages import Envelope, Failure, Message

Receiver = Callable[[Envelope], Awaitable[Message | None] | Message | None]


class Dispatcher:
    """Knows which part takes which kind of message."""

    def __init__(self) -> None:
        self.receivers: dict[type[Message], Receiver] = {}
        # Told of each message, whatever its kind, before it is taken.
        self.listeners: list[Callable[[Envelope], None]] = []

    def on(self, kind: type[Message], receiver: Receiver) -> None:
        """Subscribe to a kind of message.

        :param kind: the message's class.
        :param receiver: takes each envelope; what it returns is the answer.
        """
        self.receivers[kind] = receiver

    async def deliver(self, envelope: Envelope) -> Message | None:
        """:param envelope: a message that came.

        :returns: the answer, if there is one.
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
