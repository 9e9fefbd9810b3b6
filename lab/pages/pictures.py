# Licensed under the Apache License 2.0: see LICENSE for details.

"""Draws the pictures of the design pages: ``python -m lab.pages.pictures``.

The fleet, the way of one request on the operators' routes, and the way of one change
of configuration, as SVG files in docs/design.
"""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

from lab.pages.sequences import (
    OTHER_FILL,
    PROCESS_FILL,
    Participant,
    Sequence,
    Step,
)
from lab.pages.svg import SMALL_SIZE, Drawing

FOLDER = Path(__file__).parents[2] / "docs" / "design"

FAILED = "not begun, broken, silent or 5xx"
LIMIT = "while attempts and retries last"
LARGER = "a larger model's answer is worth more"
REQUEST = Sequence(
    "The way of one request on the operators' routes",
    (
        Participant("Caller"),
        Participant("GatewayApi", "daemon/gatewayapi.py"),
        Participant("Knowledge", "coordination/store/knowledge.py"),
        Participant("RoutedPath", "coordination/routed/path.py"),
        Participant("VersionTrials", "coordination/trials/versions.py"),
        Participant("RoutedAdmission", "coordination/routed/admission.py"),
        Participant("Endpoint"),
    ),
    (
        Step(0, 1, "request: read whole"),
        Step(1, 2, "route, organisation"),
        Step(2, 2, "before a denial: asks the store", note=True),
        Step(1, 3, "serve(): received"),
        Step(3, 4, "version_for()"),
        Step(4, 3, "the version", answer=True),
        Step(3, 5, "acquire()"),
        Step(5, 3, "an endpoint, or a refusal: not run", answer=True),
        Step(
            3, 6, "admitted, then dispatched: the request, with the time that is left"
        ),
        Step(6, 3, "head: status, the model's confidence", answer=True),
        Step(3, 5, f"{FAILED}: again from version_for(), {LIMIT}", note=True),
        Step(3, 5, f"{LARGER}: again from version_for()", note=True),
        Step(6, 3, "body, or events of a stream", answer=True),
        Step(3, 0, "events of a stream, whole, as they come", answer=True),
        Step(3, 1, "answered, refused, or unknown", answer=True),
        Step(1, 0, "answer, unchanged", answer=True),
    ),
)

CONFIGURATION = Sequence(
    "The way of one change of configuration on the users' platform",
    (
        Participant("Operator"),
        Participant("Store"),
        Participant("Follower", "coordination/store/following.py"),
        Participant("CatalogueSink", "coordination/store/sinks.py"),
        Participant("Relay", "coordination/store/relaying.py"),
        Participant("RelayedFeed", "coordination/store/relaying.py"),
        Participant("CatalogueSink", "coordination/store/sinks.py"),
    ),
    (
        Step(2, 4, "the VM of a data hall that watches the store", note=True),
        Step(5, 6, "each other VM of the hall", note=True),
        Step(2, 1, "watch, from a revision"),
        Step(5, 4, "AskChanges: waits"),
        Step(0, 1, "PUT config/main"),
        Step(1, 0, "acknowledged", answer=True),
        Step(1, 2, "the change", answer=True),
        Step(2, 3, "apply_changes()"),
        Step(3, 3, "newer: in force, listeners", note=True),
        Step(2, 4, "changed"),
        Step(4, 5, "ChangesAre: as stored", answer=True),
        Step(5, 6, "validated, taken"),
        Step(6, 6, "newer: in force, listeners", note=True),
        Step(5, 6, "no answer in time: another hall's, then the store", note=True),
    ),
)

FLEET_WIDTH = 980
FLEET_HEIGHT = 470
HALL_WIDTH = 290
HALL_TOP = 110
HALL_HEIGHT = 230
HALL_NAMES = ("data hall a", "data hall b", "data hall c")
VM_WIDTH = 120
VM_HEIGHT = 48


def fleet() -> str:
    """:returns: the picture of the fleet."""
    drawing = Drawing("The fleet", FLEET_WIDTH, FLEET_HEIGHT)
    drawing.box(20, 20, 940, 44, OTHER_FILL)
    drawing.text(490, 47, "callers, through the platform's balancer", bold=True)
    for number, name in enumerate(HALL_NAMES):
        _draw_hall(drawing, 20 + number * (HALL_WIDTH + 35), name)
    for number in range(len(HALL_NAMES) - 1):
        left = 20 + HALL_WIDTH + number * (HALL_WIDTH + 35)
        y = HALL_TOP + 58
        drawing.line((left - 20, y), (left + 55, y), arrow=True)
        drawing.line((left + 55, y), (left - 20, y), arrow=True)
    drawing.text(540, 374, "all VMs tell each other news: datagrams, calls", SMALL_SIZE)
    drawing.box(20, 400, 940, 50, OTHER_FILL)
    drawing.text(
        490, 422, "the platform's store: configuration, endpoints, orders", bold=True
    )
    drawing.text(
        490,
        440,
        "the list of VMs, and what must last; endpoints write their own entries",
        SMALL_SIZE,
    )
    return drawing.svg()


def _draw_hall(drawing: Drawing, left: int, name: str) -> None:
    middle = left + HALL_WIDTH // 2
    drawing.line((middle, 64), (middle, HALL_TOP), arrow=True)
    drawing.box(left, HALL_TOP, HALL_WIDTH, HALL_HEIGHT, "#ffffff")
    drawing.text(middle, HALL_TOP + 20, name, bold=True)
    vms = (left + 20, left + HALL_WIDTH - VM_WIDTH - 20)
    top = HALL_TOP + 34
    for x, role in zip(vms, ("watches the store", "asks the watcher"), strict=True):
        drawing.box(x, top, VM_WIDTH, VM_HEIGHT, PROCESS_FILL)
        drawing.text(x + VM_WIDTH // 2, top + 20, "entry VM")
        drawing.text(x + VM_WIDTH // 2, top + 38, role, SMALL_SIZE)
    drawing.line((vms[1], top + 24), (vms[0] + VM_WIDTH, top + 24), arrow=True)
    _draw_endpoints(drawing, left, top + VM_HEIGHT)
    store = vms[0] + 10
    drawing.line((store, top + VM_HEIGHT), (store, 400), arrow=True)


def _draw_endpoints(drawing: Drawing, left: int, vm_bottom: int) -> None:
    top = HALL_TOP + 160
    for number, kind in enumerate(("model engines", "plain services")):
        x = left + 44 + number * 122
        drawing.box(x, top, 112, 44, OTHER_FILL)
        drawing.text(x + 56, top + 26, kind)
        drawing.line((x + 56, vm_bottom), (x + 56, top), arrow=True)


PICTURES: dict[str, Callable[[], str]] = {
    "fleet.svg": fleet,
    "request.svg": REQUEST.svg,
    "configuration.svg": CONFIGURATION.svg,
}


def main() -> None:
    """Write all pictures."""
    for name, draw in PICTURES.items():
        (FOLDER / name).write_text(draw(), encoding="utf-8")


if __name__ == "__main__":
    main()
