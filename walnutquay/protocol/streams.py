# Licensed under the Apache License 2.0: see LICENSE for details.

"""The events of a routed stream, by their ids."""

from __future__ import annotations

ID_FIELD = b"id:"
# More digits than any number of events has; Python refuses thousands of them.
MAX_ID_DIGITS = 18


def event_id(event: bytes) -> int | None:
    """:param event: one whole event.

    :returns: its id, or None where it has none that is a number.
    """
    for line in event.splitlines():
        if line.startswith(ID_FIELD):
            text = line[len(ID_FIELD) :].strip()
            is_number = text.isdigit() and len(text) <= MAX_ID_DIGITS
            return int(text) if is_number else None
    return None


class StreamProgress:
    """How much of a stream its caller has; the same over all endpoints of it.

    :param last_event: the event that the caller had before, if any.
    """

    def __init__(self, last_event: int | None) -> None:
        self.last_event = last_event
        # Whether the head has gone to the caller.
        self.begun = False
        # Events passed on.
        self.events = 0

    def accept(self, event: bytes) -> bool:
        """Decide whether an event is to be passed on.

        :param event: one whole event.
        :returns: False where the caller has it already.
        """
        number = event_id(event)
        if number is not None:
            if self.last_event is not None and number <= self.last_event:
                return False
            self.last_event = number
        self.events += 1
        return True
