# Licensed under the Apache License 2.0: see LICENSE for details.

"""The messages on scarce slots, as they are written and read."""

from __future__ import annotations

import unittest

from walnutquay.exceptions import MessageError
from walnutquay.protocol.messages import Envelope, Message
from walnutquay.protocol.peer import PeerCodec
from walnutquay.protocol.slotmessages import (
    AskSlot,
    HeldSlot,
    SlotIs,
    SlotLoad,
    SlotNews,
    SlotReleased,
    SlotsScarce,
    SlotState,
)
from walnutquay.state.process.clock import Stamp
from walnutquay.state.process.ids import (
    EndpointName,
    OrganisationName,
    RouteName,
    ServiceName,
)
from walnutquay.state.routed.slottypes import SlotNumber, WorkHash

SERVICE = ServiceName("plain")
NUMBER = SlotNumber(1 << 50)
P1, P2 = EndpointName("p1"), EndpointName("p2")


def ask(**more: object) -> AskSlot:
    fields = {
        "service": SERVICE,
        "number": NUMBER,
        "route": RouteName("safe"),
        "organisation": OrganisationName("org-a"),
        "weight": 1.5,
        "priority": -1,
        "work": WorkHash((1 << 64) - 1),
        "in_time": -0.5,
        "time_left": 2.0,
        **more,
    }
    return AskSlot(**fields)


class SlotCodecTest(unittest.TestCase):
    """What is written is read alike, and nonsense is not read."""

    def setUp(self) -> None:
        self.codec = PeerCodec([b"a key"])

    def pass_on(self, body: Message) -> Message:
        envelope = Envelope("vm-1", "start", Stamp(1, 2), body, 3)
        return self.codec.decode(self.codec.encode(envelope)).body

    def test_all_are_read_as_written(self) -> None:
        load = SlotLoad(P1, 3, 2, 1.5, 0.25)
        answers = [
            SlotIs(SlotState.GRANTED, P1, start=7),
            SlotIs(SlotState.DENIED, None, 2.5, "no_room"),
            *(SlotIs(state) for state in SlotState),
        ]
        bodies = [
            ask(),
            ask(
                tried=(P1, P2),
                waited=0.5,
                loads=(load, SlotLoad(P2, 1, 0)),
                held=(HeldSlot(NUMBER, P1, 1.0),),
            ),
            *answers,
            *(SlotNews(SERVICE, NUMBER, answer) for answer in answers),
            SlotReleased(SERVICE, NUMBER),
            SlotReleased(SERVICE, NUMBER, P1, 0.5, True, load),
            SlotsScarce(SERVICE, 1.5),
        ]
        for body in bodies:
            with self.subTest(body=body):
                self.assertEqual(self.pass_on(body), body)

    def test_numbers_that_are_none_are_refused(self) -> None:
        nan, inf = float("nan"), float("inf")
        bodies = [
            ask(weight=nan),
            ask(weight=0.0),
            ask(in_time=inf),
            ask(time_left=nan),
            ask(waited=-1.0),
            ask(loads=(SlotLoad(P1, 1, 1, nan),)),
            ask(held=(HeldSlot(NUMBER, P1, inf),)),
            SlotIs(SlotState.DENIED, None, nan),
            SlotReleased(SERVICE, NUMBER, P1, nan),
            SlotsScarce(SERVICE, -1.0),
        ]
        for body in bodies:
            with self.subTest(body=body), self.assertRaises(MessageError):
                self.pass_on(body)
