# Licensed under the Apache License 2.0: see LICENSE for details.

"""Operators' actions on a data hall, applied as changes to the configuration."""

from __future__ import annotations

import difflib
from enum import Enum

from walnutquay.exceptions import ConfigurationError
from walnutquay.state.own.configuration import Content
from walnutquay.state.store.parts import Hall


class HallAction(Enum):
    """An operator's action on a data hall."""

    # Its endpoints are sent no new requests; requests in progress continue.
    EMPTY = "empty"
    # Its endpoints may be sent requests again.
    FILL = "fill"


def change_hall(content: Content, name: str, action: HallAction) -> Content:
    """Return the configuration after an operator's action on a data hall.

    :param content: the current configuration.
    :param name: the data hall's name.
    :param action: the action; repeating it changes nothing.
    :raises ConfigurationError: if neither an endpoint nor the list of data halls names
        the hall.
    """
    known = {item.hall for item in content.endpoints}
    known |= {item.name for item in content.halls}
    if name not in known:
        close_matches = difflib.get_close_matches(name, known, n=1, cutoff=0.4)
        hint = f"; did you mean {close_matches[0]!r}?" if close_matches else ""
        raise ConfigurationError(f"no endpoint stands in data hall {name!r}{hint}")
    halls = {item.name: item for item in content.halls}
    emptied = action is HallAction.EMPTY
    present = halls.get(name, Hall(name=name))
    halls[name] = present.model_copy(update={"emptied": emptied})
    return content.model_copy(update={"halls": tuple(halls.values())})
