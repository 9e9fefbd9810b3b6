# Licensed under the Apache License 2.0: see LICENSE for details.

"""The few SVG elements that the pictures of the docs are made of."""

from __future__ import annotations

from dataclasses import dataclass, field
from xml.sax.saxutils import escape

FONT = "Helvetica, Arial, sans-serif"
INK = "#1f2933"
FAINT = "#9aa5b1"
TEXT_SIZE = 13
SMALL_SIZE = 11
HEAD = """<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 {width} {height}" \
width="{width}" height="{height}" font-family="{font}">
<title>{title}</title>
<defs><marker id="arrow" viewBox="0 0 10 10" refX="10" refY="5" markerWidth="8" \
markerHeight="8" orient="auto-start-reverse"><path d="M 0 0 L 10 5 L 0 10 z" \
fill="{ink}"/></marker></defs>
<rect width="{width}" height="{height}" fill="#ffffff"/>
"""


@dataclass
class Drawing:
    """A picture.

    :param title: what it shows.
    :param width: pixels.
    :param height: pixels.
    """

    title: str
    width: int
    height: int
    elements: list[str] = field(default_factory=list)

    def box(self, x: int, y: int, width: int, height: int, fill: str) -> None:
        """Draw a rectangle.

        :param x: its left edge.
        :param y: its upper edge.
        :param width: pixels.
        :param height: pixels.
        :param fill: its colour.
        """
        self.elements.append(
            f'<rect x="{x}" y="{y}" width="{width}" height="{height}" rx="4" '
            f'fill="{fill}" stroke="{FAINT}"/>'
        )

    def text(
        self,
        x: int,
        y: int,
        words: str,
        size: int = TEXT_SIZE,
        anchor: str = "middle",
        bold: bool = False,
    ) -> None:
        """Write a line.

        :param x: where it is anchored.
        :param y: its base line.
        :param words: the line.
        :param size: of the font; pixels.
        :param anchor: ``start``, ``middle`` or ``end``.
        :param bold: whether it stands out.
        """
        weight = ' font-weight="bold"' if bold else ""
        self.elements.append(
            f'<text x="{x}" y="{y}" font-size="{size}" text-anchor="{anchor}" '
            f'fill="{INK}"{weight}>{escape(words)}</text>'
        )

    def line(
        self,
        start: tuple[int, int],
        end: tuple[int, int],
        dashed: bool = False,
        arrow: bool = False,
        faint: bool = False,
    ) -> None:
        """Draw a line.

        :param start: its first point.
        :param end: its last point.
        :param dashed: whether it is dashed.
        :param arrow: whether it ends with an arrow.
        :param faint: whether it is in the background.
        """
        style = ' stroke-dasharray="5 4"' if dashed else ""
        if arrow:
            style += ' marker-end="url(#arrow)"'
        colour = FAINT if faint else INK
        self.elements.append(
            f'<line x1="{start[0]}" y1="{start[1]}" x2="{end[0]}" y2="{end[1]}" '
            f'stroke="{colour}"{style}/>'
        )

    def svg(self) -> str:
        """:returns: the file's text."""
        head = HEAD.format(
            title=escape(self.title),
            width=self.width,
            height=self.height,
            font=FONT,
            ink=INK,
        )
        return head + "\n".join(self.elements) + "\n</svg>\n"
