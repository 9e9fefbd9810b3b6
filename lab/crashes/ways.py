# Licensed under the Apache License 2.0: see LICENSE for details.

"""Ways to deal with requests that end engines, and what a run shows of one."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True)
class Way:
    """A way to deal with it.

    :param name: for people.
    :param known: whether VMs note what was at an endpoint that ended.
    :param told: whether they tell each other.
    :param apart: whether its tries meet at one endpoint.
    :param stops: whether tries that engines have yet are ended when it is found.
    """

    name: str
    known: bool = True
    told: bool = True
    apart: bool = True
    stops: bool = True


WAYS = (
    Way("as built"),
    Way("tries under way go on", stops=False),
    Way("tries go anywhere", apart=False),
    Way("VMs do not tell each other", told=False),
    Way("nothing is noted", known=False),
)


@dataclass
class Findings:
    """What a run has shown.

    :param ended: engines that ended, by the request that ended them.
    :param sent_after: sends of crashing requests later than a time in which VMs are in
        touch, after the third end.
    :param hit: tries of other requests that broke.
    :param refused: other requests that were refused for good.
    :param served: other requests that were answered.
    :param lost: other requests that found no engine, or used up their attempts.
    """

    ended: dict[str, int] = field(default_factory=dict)
    sent_after: dict[str, int] = field(default_factory=dict)
    hit: int = 0
    refused: int = 0
    served: int = 0
    lost: int = 0
    datagrams: int = 0
    bytes: int = 0
