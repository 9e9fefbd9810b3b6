# Licensed under the Apache License 2.0: see LICENSE for details.

"""Tells answers that were cut off as unread from those that endpoints broke."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

from walnutquay.exceptions import CallerGoneError, EndpointError
from walnutquay.state.routed.callerpace import CallerPace
from walnutquay.transport.client import FAILURES, STEP_BROKEN
from walnutquay.transport.connections import GarbledBodyError

# The step of an error by which the caller did not read its answer in time.
STEP_UNREAD = "unread"


@contextmanager
def unread_is_no_failure(pace: CallerPace) -> Iterator[None]:
    """End the request, and blame nobody else, if its answer was cut off as unread.

    It must not count against the endpoint, nor run a second time for a caller who does
    not read.

    :param pace: how long the caller has held the answer up.
    :raises CallerGoneError: if the caller's holds explain the break.
    """
    try:
        yield
    except (EndpointError, *FAILURES) as error:
        if isinstance(error, EndpointError):
            is_break = error.step == STEP_BROKEN
        else:
            is_break = not isinstance(error, GarbledBodyError)
        if is_break and pace.explains_break():
            reason = f"the answer was not read in time: {error}"
            raise CallerGoneError(reason, step=STEP_UNREAD) from error
        raise
