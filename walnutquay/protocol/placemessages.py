# Licensed under the Apache License 2.0: see LICENSE for details.

"""The messages by which entry VMs share the slots of brittle endpoints."""

from __future__ import annotations

from dataclasses import dataclass

from walnutquay.protocol.messages import Message
from walnutquay.state.process.ids import EndpointName


@dataclass(frozen=True, slots=True)
class AskPlace(Message):
    """Asks whether one more request may be sent; answered by :class:`PlaceIs`.

    :param endpoint: the endpoint.
    :param born: when it started, in Unix milliseconds; None if not known.
    :param wanted: the sender's requests there, with those that it wants to send.
    :param running: the sender's requests there without these.
    :param number: the number of the sender's message; later ones have higher ones.
    """

    endpoint: EndpointName
    born: int | None
    wanted: int
    running: int
    number: int


@dataclass(frozen=True, slots=True)
class PlaceIs(Message):
    """Answers whether one more request may be sent.

    :param granted: whether it may.
    :param issuer: whether the VM that was asked counts the requests there.
    :param wait: seconds after which to ask again, if it may not.
    """

    granted: bool
    issuer: bool
    wait: float


@dataclass(frozen=True, slots=True)
class PlacesUsed(Message):
    """Tells the VM that counts them how many requests the sender has at an endpoint.

    :param endpoint: the endpoint.
    :param requests: the sender's requests there, with those that it asks a place for.
    :param running: the sender's requests there without these.
    :param number: the number of the sender's message.
    """

    endpoint: EndpointName
    requests: int
    running: int
    number: int


@dataclass(frozen=True, slots=True)
class BrittleNews(Message):
    """Tells that an endpoint is brittle, or has rejected a request.

    :param endpoint: the endpoint.
    :param born: when it started, in Unix milliseconds; None if not known.
    :param borne: the rejections a second that it survives.
    :param rejected: whether it has rejected a request of the sender just now.
    """

    endpoint: EndpointName
    born: int | None
    borne: int
    rejected: bool
