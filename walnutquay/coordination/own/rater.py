# Licensed under the Apache License 2.0: see LICENSE for details.

"""The adapter to the service that rates answers."""

from __future__ import annotations

import logbook
import orjson

from walnutquay.exceptions import EndpointError
from walnutquay.settings import RaterSection
from walnutquay.transport.client import HttpClient

log = logbook.Logger(__name__)


class Rater:
    """Asks for ratings of answers.

    :param client: the connections.
    :param section: the settings.
    """

    def __init__(self, client: HttpClient, section: RaterSection) -> None:
        self.client = client
        self.section = section

    async def rate(
        self, request_class: str, version: str, question: bytes, answer: bytes
    ) -> float | None:
        """Ask how good an answer is.

        :param request_class: the caller's class of request.
        :param version: what answered.
        :param question: the chat body.
        :param answer: the answer's body.
        :returns: from 0 to 1; None where the rater does not say.
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
                parsed = orjson.loads(await reply.read())
                return float(parsed["rating"])
        except (EndpointError, orjson.JSONDecodeError, KeyError, ValueError) as error:
            log.debug("no rating: {}", error)
            return None
