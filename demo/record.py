# Licensed under the Apache License 2.0: see LICENSE for details.

"""Writes the demo's trace: ``python -m demo.record > demo/trace.jsonl``."""

from __future__ import annotations

import json
import random
import sys
from collections.abc import Iterator

SEED = 20261202
SECONDS = 8.0
RATE = 40.0
NOT_ALLOWED = "panelwerk-alpen"

PAGES = ("a knight at a gate", "two cats on a tram", "rain over the harbour")
LANES = ("Hamburg to Oslo, 20 ft", "Kiel to Gdynia, reefer", "Turku to Hull, flat")


def _chat(organisation: str, name: str, prompt: str, **more: object) -> dict:
    model = "recap" if organisation.startswith("panelwerk") else "quote"
    return {
        "organisation": organisation,
        "class": name,
        "model": model,
        "prompt": prompt,
        **more,
    }


def _panelwerk(rng: random.Random, number: int) -> dict:
    organisation = rng.choices(("panelwerk-nord", "panelwerk-alpen"), (4, 1))[0]
    page = f"{rng.choice(PAGES)}, panel {number}"
    draw = rng.random()
    if draw < 0.35:
        return _chat(organisation, "tag", f"Tag: {page}", max_tokens=6)
    if draw < 0.5:
        return _chat(organisation, "balloon", f"Translate: {page}", max_tokens=12)
    if draw < 0.65:
        session = f"{organisation}-reader-{rng.randrange(6)}"
        return _chat(
            organisation, "recap", f"Recap: {page}", stream=True, session=session
        )
    return {
        "organisation": organisation,
        "class": "app",
        "kind": "service",
        "path": f"/services/library/books/{rng.randrange(100)}",
    }


def _desk(rng: random.Random, number: int) -> dict:
    organisation = rng.choices(("desk-north", "desk-harbour"), (4, 1))[0]
    lane = f"{rng.choice(LANES)}, order {number}"
    draw = rng.random()
    if draw < 0.4:
        session = f"{organisation}-agent-{rng.randrange(6)}"
        return _chat(organisation, "quote", f"Quote: {lane}", session=session)
    if draw < 0.5:
        return _chat(organisation, "lane", f"Unusual: {lane}")
    if draw < 0.75:
        return {
            "organisation": organisation,
            "class": "tariff",
            "kind": "service",
            "path": f"/services/tariff/rates?lane={rng.randrange(50)}",
        }
    return {
        "organisation": organisation,
        "class": "booking",
        "kind": "service",
        "method": "POST",
        "path": "/services/tariff/bookings",
        "body": json.dumps({"order": number}),
        "key": f"booking-{number}",
    }


def requests() -> Iterator[dict]:
    """Yield the trace's requests."""
    rng = random.Random(SEED)
    at = 0.0
    number = 0
    while at < SECONDS:
        at += rng.expovariate(RATE)
        number += 1
        make = _panelwerk if rng.random() < 0.5 else _desk
        request = {"at": round(at, 4), **make(rng, number)}
        yield request
        if request["class"] == "booking" and rng.random() < 0.3:
            # A terminal that repeats its booking must get one price.
            repeat = round(at + 1.0, 4)
            yield {**request, "at": repeat, "name": "repeated booking"}
    yield {
        "at": 1.0,
        "organisation": NOT_ALLOWED,
        "class": "refused",
        "kind": "service",
        "path": "/services/tariff/rates",
        "expect": ["not_run"],
        "name": "a service that the organisation may not call",
    }
    yield {
        "at": 1.5,
        "organisation": NOT_ALLOWED,
        "class": "refused",
        "model": "no-such-model",
        "prompt": "x",
        "expect": ["not_run"],
        "name": "a model that is not there",
    }


if __name__ == "__main__":
    for line in sorted(requests(), key=lambda request: request["at"]):
        sys.stdout.write(json.dumps(line) + "\n")
