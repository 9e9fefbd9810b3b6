# Licensed under the Apache License 2.0: see LICENSE for details.

"""What operators may do with a data hall, as changes of the configuration."""

from __future__ import annotations

import difflib
from enum import Enum

from walnutquay.exceptions import ConfigurationError
from walnutquay.state.own.configuration import Content
from walnutquay.state.store.parts import Hall


class HallAction(Enum):
    """What can be done with a data hall."""

    # Its endpoints get nothing more; what runs there runs on.
    EMPTY = "empty"
    # They may be sent requests again.
    FILL = "fill"


def change_hall(content: Content, name: str, action: HallAction) -> Content:
    """Work out the configuration that follows an operator's action.

    :param content: the present configuration.
    :param name: the data hall.
    :param action: what to do with it; what is done already changes nothing.
    :raises ConfigurationError: if no endpoint stands in such a hall.
    """
    known = {item.hall for item in content.endpoints}
    known |= {item.name for item in content.halls}
    if name not in known:
        near = difflib.get_close_matches(name, known, n=1, cutoff=0.4)
        hint = f"; did you mean {near[0]!r}?" if near else ""
        raise ConfigurationError(f"no endpoint stands in data hall {name!r}{hint}")
    halls = {item.name: item for item in content.halls}
    emptied = action is HallAction.EMPTY
    present = halls.get(name, Hall(name=name))
    halls[name] = present.model_copy(update={"emptied": emptied})
    return content.model_copy(update={"halls": tuple(halls.values())})
