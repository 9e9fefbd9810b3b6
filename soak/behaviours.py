# Licensed under the Apache License 2.0: see LICENSE for details.

"""How the endpoints of a soak answer, drawn from each request's id."""

from __future__ import annotations

import random

from standins.worker import Behaviour, Seen

EVENTS = 5
# How long a plain answer takes: some endpoints end within it.
WORK_SECONDS = 0.2
# A body that ends each engine that begins to run it.
CRASHING = b"crash"
# Parts of prompts whose names begin so end each engine that begins to answer them; all
# prompts begin with the first part.
CRASHING_PART = "bad"
FIRST_PART = "5c1e"
# Second answers come by themselves after so long, some on connections in use again.
AGAIN_SECONDS = (0.001, 0.08)
# Shares of answers: those that come twice; of these, those in the place of the next
# one's; those without an id; with chunks; in two pieces; without a length.
TWICE_SHARE = 0.2
NEXT_SHARE = 0.3
UNNAMED_SHARE = 0.1
CHUNKED_SHARE = 0.3
PIECES_SHARE = 0.2
UNFRAMED_SHARE = 0.1
# Where an answer is cut into pieces.
PIECE_BYTES = (1, 60)


def behave(seen: Seen) -> Behaviour:
    """:returns: how endpoints answer: engines end within some bodies' answers."""
    if seen.body == CRASHING or crashing_part(seen):
        return Behaviour(events=EVENTS, crash_after=1)
    if seen.target.startswith("/stream/"):
        return Behaviour(events=EVENTS, pause=0.01)
    request = seen.headers["request-id"]
    rng = random.Random(request)
    behaviour = Behaviour(body=request.encode(), pause=WORK_SECONDS)
    behaviour.named = rng.random() >= UNNAMED_SHARE
    if rng.random() < PIECES_SHARE:
        behaviour.pieces = rng.randint(*PIECE_BYTES)
    if rng.random() < UNFRAMED_SHARE:
        # Whatever came behind it would be its end.
        behaviour.framed = False
        return behaviour
    behaviour.chunked = rng.random() < CHUNKED_SHARE
    if rng.random() < TWICE_SHARE:
        _come_twice(behaviour, rng)
    return behaviour


def crashing_part(seen: Seen) -> str:
    """:returns: the part of a prompt that ends engines; empty if it has none."""
    shared = seen.headers.get("prefix-hash", "").split(",")[:-1]
    names = (text.partition(":")[0] for text in shared)
    return next((name for name in names if name.startswith(CRASHING_PART)), "")


def _come_twice(behaviour: Behaviour, rng: random.Random) -> None:
    behaviour.extra = True
    behaviour.extra_late = rng.random() < NEXT_SHARE
    if rng.random() < PIECES_SHARE:
        behaviour.extra_pieces = rng.randint(*PIECE_BYTES)
    elif not behaviour.extra_late:
        behaviour.extra_after = rng.uniform(*AGAIN_SECONDS)
