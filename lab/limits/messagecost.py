# Licensed under the Apache License 2.0: see LICENSE for details.

"""Bytes and processor time of a permit, and of news on a draining endpoint.

``python -m lab.limits.messagecost``
"""

from __future__ import annotations

import time

import click

from walnutquay.protocol.messages import (
    AskPermit,
    DrainingNews,
    DrainingRow,
    Envelope,
    PermitIs,
    RateLimitRow,
)
from walnutquay.protocol.peer import PeerCodec
from walnutquay.state.process.clock import Stamp
from walnutquay.state.process.ids import EndpointName
from walnutquay.state.routed.permits import PermitQueue

ROUNDS = 20_000
MICROSECONDS = 1_000_000
ROW = RateLimitRow(EndpointName("i-0123456789"), 1_788_067_740_000, 1.2, 0.5)


@click.command()
def main() -> None:
    """Print the bytes of both messages, and the time to write, read and decide."""
    codec = PeerCodec([b"key"])
    stamp = Stamp(1_788_067_740_000_000, 0)
    ask = Envelope("vm-1", "incarnation", stamp, AskPermit(ROW, 1, 0.5), 7)
    answer = Envelope("vm-2", "incarnation", stamp, PermitIs(ROW, True, True, 0.0), 7)
    queue = PermitQueue(0.0)
    began = time.process_time()
    for number in range(ROUNDS):
        codec.decode(codec.encode(ask))
        queue.set_rate(1.0, float(number))
        queue.request(1, 0.5, float(number))
        codec.decode(codec.encode(answer))
    seconds = (time.process_time() - began) / ROUNDS
    size = len(codec.encode(ask)) + len(codec.encode(answer))
    click.echo(
        f"a permit: {size} bytes, {seconds * MICROSECONDS:.0f} us for both VMs together"
    )
    row = DrainingRow(EndpointName("i-0123456789"), 1_788_067_740_000, 0.5)
    body = DrainingNews((row,), for_all=True)
    news = Envelope("vm-1", "incarnation", stamp, body)
    began = time.process_time()
    for _ in range(ROUNDS):
        codec.decode(codec.encode(news))
    seconds = (time.process_time() - began) / ROUNDS
    click.echo(
        f"a draining endpoint: {len(codec.encode(news))} bytes, "
        f"{seconds * MICROSECONDS:.0f} us to write and read"
    )


if __name__ == "__main__":
    main()
