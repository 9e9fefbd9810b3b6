# Licensed under the Apache License 2.0: see LICENSE for details.

"""The adapter to the rating service."""

from __future__ import annotations

import logbook
import orjson

from walnutquay.exceptions import EndpointError
from walnutquay.sections import RaterSection
from walnutquay.transport.client import HttpClient, read_whole

log = logbook.Logger(__name__)


class Rater:
    """Requests ratings of answers.

    :param client: the HTTP client.
    :param section: the settings of the rating service.
    """

    def __init__(self, client: HttpClient, section: RaterSection) -> None:
        self.client = client
        self.section = section

    async def rate(
        self, request_class: str, version: str, question: bytes, answer: bytes
    ) -> float | None:
        """Request the rating of an answer.

        :param request_class: the request class that the caller named.
        :param version: the version that answered.
        :param question: the body of the chat request.
        :param answer: the body of the answer.
        :returns: a rating from 0 to 1; None if there is no rating service or the
            request for a rating failed.
        """
        if not self.section.url:
            return None
        body = {
            "class": request_class,
            "version": version,
            "question": orjson.Fragment(question),
            "answer": orjson.Fragment(answer),
        }
        try:
            async with self.client.request(
                "POST",
                self.section.url,
                peer="rater",
                data=orjson.dumps(body),
                headers={"content-type": "application/json"},
                timeout=self.section.timeout_seconds,
            ) as reply:
                return _rating(orjson.loads(await read_whole(reply, "rater")))
        except (EndpointError, ValueError) as error:
            log.debug(
                "request for a rating failed; the answer stays unrated: {}", error
            )
            return None


def _rating(parsed: object) -> float:
    """Return the rating in a reply.

    :param parsed: the reply's JSON.
    :raises ValueError: if it contains no number from 0 to 1.
    """
    rating = parsed.get("rating") if isinstance(parsed, dict) else None
    if isinstance(rating, bool) or not isinstance(rating, int | float):
        raise ValueError("the reply contains no rating")
    if not 0.0 <= rating <= 1.0:
        raise ValueError(f"the rating {rating} is not from 0 to 1")
    return float(rating)
