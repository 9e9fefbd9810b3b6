# Licensed under the Apache License 2.0: see LICENSE for details.

"""What endpoints announce of themselves in the heads of their answers."""

from __future__ import annotations

import re
import time
from collections.abc import Sequence
from datetime import UTC
from email.utils import parsedate_to_datetime

from walnutquay.platform import names
from walnutquay.protocol.calls import Announcements, InvalidAnnouncement

Headers = Sequence[tuple[str, str]]

# A plain decimal number, without a sign or an exponent.
DECIMAL = re.compile(r"\d{1,30}(\.\d{0,30})?|\.\d{1,30}", re.ASCII)
# A rate limit has fewer digits before its decimal point: none is above 1e9.
MAX_RATE_DIGITS = 9
# A longer backoff ends with that start of the endpoint.
MAX_BACKOFF_SECONDS = 1e9
STATUS_UNAVAILABLE = 503
DRAINING = "1"
NOT_DRAINING = "0"
NO_VALUE = "(empty)"


def decode_announcements(status: int, raw: Headers) -> Announcements:
    """Read all announcements in the head of an answer in one pass.

    A value that is not valid is reported as such and harms nothing else.

    :param status: the HTTP status.
    :param raw: the answer's headers in order.
    """
    found: dict[str, list[str]] = {}
    for name, value in raw:
        lower = name.lower()
        if lower in READ_HEADERS:
            found.setdefault(lower, []).append(value.strip())
    if not found.keys() & ANNOUNCING_HEADERS:
        return Announcements()
    invalid: list[InvalidAnnouncement] = []
    draining = _draining(found.get(LEAVING, []), invalid)
    limits = found.get(RATE_LIMIT, [])
    rate_limit = _rate_limit(limits, invalid)
    limit_valid = rate_limit is not None or not limits
    borne = _rejections_borne(found.get(BRITTLE, []), invalid)
    backoff = None
    if status == STATUS_UNAVAILABLE:
        date = next(iter(found.get(DATE, [])), "")
        backoff = _backoff(found.get(RETRY_AFTER, []), date, invalid)
    return Announcements(
        draining, backoff, rate_limit, limit_valid, borne, tuple(invalid)
    )


def _draining(values: list[str], invalid: list[InvalidAnnouncement]) -> bool:
    unknown = [value for value in values if value not in (DRAINING, NOT_DRAINING)]
    _report(names.LEAVING, unknown, invalid)
    return DRAINING in values


def _rejections_borne(
    values: list[str], invalid: list[InvalidAnnouncement]
) -> int | None:
    """Return how many rejections a second a brittle endpoint survives.

    One that names no valid number is brittle all the same.
    """
    if not values:
        return None
    whole, _, _ = values[0].partition(".")
    valid = len(values) == 1 and DECIMAL.fullmatch(values[0]) is not None
    if valid and len(whole) <= MAX_RATE_DIGITS:
        return int(float(values[0]))
    _report(names.BRITTLE, values, invalid)
    return 0


def _rate_limit(values: list[str], invalid: list[InvalidAnnouncement]) -> float | None:
    if not values:
        return None
    whole = values[0].partition(".")[0]
    small = len(whole) <= MAX_RATE_DIGITS
    if len(values) == 1 and small and DECIMAL.fullmatch(values[0]):
        return float(values[0])
    _report(names.RATE_LIMIT, values, invalid)
    return None


def _backoff(
    values: list[str], date: str, invalid: list[InvalidAnnouncement]
) -> float | None:
    """Return the seconds for which the endpoint wants no requests; None if unsaid."""
    if not values:
        return None
    if len(values) == 1:
        if DECIMAL.fullmatch(values[0]):
            return min(float(values[0]), MAX_BACKOFF_SECONDS)
        until = _unix_seconds(values[0])
        if until is not None:
            # By the endpoint's own clock, if its answer gives the time.
            answered = _unix_seconds(date)
            now = time.time() if answered is None else answered
            return min(max(0.0, until - now), MAX_BACKOFF_SECONDS)
    _report(names.RETRY_AFTER, values, invalid)
    return None


def _unix_seconds(text: str) -> float | None:
    """Read a date as HTTP writes it; None if it is none."""
    try:
        read = parsedate_to_datetime(text)
        return (read if read.tzinfo else read.replace(tzinfo=UTC)).timestamp()
    except (ValueError, TypeError, IndexError, OverflowError):
        return None


def _report(name: str, values: list[str], invalid: list[InvalidAnnouncement]) -> None:
    if values:
        invalid.append(InvalidAnnouncement(name, ", ".join(values) or NO_VALUE))


LEAVING = names.LEAVING.lower()
RATE_LIMIT = names.RATE_LIMIT.lower()
BRITTLE = names.BRITTLE.lower()
RETRY_AFTER = names.RETRY_AFTER.lower()
DATE = names.DATE.lower()
ANNOUNCING_HEADERS = frozenset({LEAVING, RATE_LIMIT, RETRY_AFTER, BRITTLE})
READ_HEADERS = ANNOUNCING_HEADERS | {DATE}
