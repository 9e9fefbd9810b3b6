# Licensed under the Apache License 2.0: see LICENSE for details.

"""Sequence diagrams: who sends what to whom, from top to bottom."""

from __future__ import annotations

from dataclasses import dataclass

from lab.pages.svg import SMALL_SIZE, Drawing

COLUMN = 196
MARGIN = 14
HEAD_TOP = 14
HEAD_HEIGHT = 44
FIRST_STEP = 92
STEP_HEIGHT = 34
NOTE_HEIGHT = 24
PROCESS_FILL = "#e6f0fa"
OTHER_FILL = "#f3f4f6"
NOTE_FILL = "#fff8e1"


@dataclass(frozen=True)
class Participant:
    """One column.

    :param name: its heading.
    :param module: the module of ``walnutquay/`` that it is; empty where it is none.
    """

    name: str
    module: str = ""


@dataclass(frozen=True)
class Step:
    """A message, or a note over one or more columns.

    :param sender: the column that it comes from.
    :param receiver: the column that it goes to.
    :param text: what it says.
    :param answer: whether it answers an earlier one.
    :param note: whether it is a note from the first column to the second.
    """

    sender: int
    receiver: int
    text: str
    answer: bool = False
    note: bool = False


@dataclass(frozen=True)
class Sequence:
    """A sequence diagram.

    :param title: what it shows.
    :param participants: its columns.
    :param steps: in order.
    """

    title: str
    participants: tuple[Participant, ...]
    steps: tuple[Step, ...]

    def svg(self) -> str:
        """:returns: the file's text."""
        width = 2 * MARGIN + COLUMN * len(self.participants)
        height = FIRST_STEP + STEP_HEIGHT * len(self.steps) + MARGIN
        drawing = Drawing(self.title, width, height)
        for column, participant in enumerate(self.participants):
            _draw_head(drawing, column, participant)
        for number, step in enumerate(self.steps):
            _draw_step(drawing, FIRST_STEP + STEP_HEIGHT * number, step)
        return drawing.svg()


def _middle(column: int) -> int:
    return MARGIN + COLUMN * column + COLUMN // 2


def _draw_head(drawing: Drawing, column: int, participant: Participant) -> None:
    middle = _middle(column)
    fill = PROCESS_FILL if participant.module else OTHER_FILL
    bottom = HEAD_TOP + HEAD_HEIGHT
    drawing.box(middle - COLUMN // 2 + 4, HEAD_TOP, COLUMN - 8, HEAD_HEIGHT, fill)
    if participant.module:
        drawing.text(middle, HEAD_TOP + 18, participant.name, bold=True)
        drawing.text(middle, HEAD_TOP + 35, participant.module, SMALL_SIZE)
    else:
        drawing.text(middle, HEAD_TOP + 27, participant.name, bold=True)
    drawing.line((middle, bottom), (middle, drawing.height - MARGIN), True, faint=True)


def _draw_step(drawing: Drawing, y: int, step: Step) -> None:
    left = _middle(min(step.sender, step.receiver))
    right = _middle(max(step.sender, step.receiver))
    if step.note:
        width = right - left + COLUMN - 16
        drawing.box(left - COLUMN // 2 + 8, y - 17, width, NOTE_HEIGHT, NOTE_FILL)
        drawing.text((left + right) // 2, y, step.text, SMALL_SIZE)
        return
    drawing.text((left + right) // 2, y - 5, step.text, SMALL_SIZE)
    start = (_middle(step.sender), y)
    drawing.line(start, (_middle(step.receiver), y), step.answer, arrow=True)
