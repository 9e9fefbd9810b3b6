# Licensed under the Apache License 2.0: see LICENSE for details.

"""The messages by which entry VMs forward connections to endpoints for each other."""

from __future__ import annotations

from dataclasses import dataclass

from walnutquay.protocol.messages import Message
from walnutquay.state.process.ids import EndpointName
from walnutquay.state.routed.links import Reach


@dataclass(frozen=True, slots=True)
class AskReach(Message):
    """Asks whether the receiver reaches an endpoint; answered by :class:`ReachIs`.

    :param endpoint: the endpoint.
    :param born: when it started, in Unix milliseconds; None if not known.
    """

    endpoint: EndpointName
    born: int | None


@dataclass(frozen=True, slots=True)
class OpenTunnel(Message):
    """Asks for a connection to an endpoint; answered by :class:`ReachIs`.

    If the endpoint is reached, the stream of the message belongs to the endpoint from
    then on.

    :param endpoint: the endpoint.
    :param born: when it started, in Unix milliseconds; None if not known.
    :param request: the id of the request that it is for.
    :param framed: whether the sender reads what comes from the endpoint in frames; VMs
        of older builds don't.
    """

    endpoint: EndpointName
    born: int | None
    request: str
    framed: bool = False


@dataclass(frozen=True, slots=True)
class ReachIs(Message):
    """Answers whether an endpoint is reached.

    :param reach: whether it is.
    :param tunnels: the connections that the sender forwards.
    :param framed: whether what it passes on of the endpoint comes in frames.
    """

    reach: Reach
    tunnels: int
    framed: bool = False
