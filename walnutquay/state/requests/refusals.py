# Licensed under the Apache License 2.0: see LICENSE for details.

"""Reasons for refusing a request, in terms that callers can act on."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class RefusalCode(Enum):
    """The values of the ``code`` field in errors sent to callers."""

    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    SLOW_BODY = "body_too_slow"
    NO_KEY = "invalid_api_key"
    NOT_ALLOWED = "not_allowed"
    UNKNOWN_MODEL = "model_not_found"
    UNKNOWN_SERVICE = "service_not_found"
    BAD_TOKEN = "invalid_session_token"
    VERSION_WITHDRAWN = "version_withdrawn"
    NO_VERSION = "no_version_available"
    NO_ENDPOINT = "no_endpoint_available"
    RATE_LIMITED = "rate_limited"
    OVERLOADED = "endpoints_overloaded"
    QUEUE_FULL = "queue_full"
    QUEUE_TIMEOUT = "queue_timeout"
    DEADLINE = "deadline_cannot_be_met"
    UNCONFIRMED = "version_unconfirmed"
    CLAIM_UNAVAILABLE = "claim_unavailable"
    IN_PROGRESS = "request_in_progress"
    KEY_REUSED = "idempotency_key_reused"
    NOT_READY = "not_ready"
    STOPPING = "stopping"
    ENDS_ENDPOINTS = "ends_endpoints"
    BODIES_FULL = "bodies_full"


# The HTTP status for each code; codes that are not listed use 503.
STATUS_OF = {
    RefusalCode.BAD_REQUEST: 400,
    RefusalCode.BODY_TOO_LARGE: 413,
    RefusalCode.SLOW_BODY: 408,
    RefusalCode.NO_KEY: 401,
    RefusalCode.NOT_ALLOWED: 403,
    RefusalCode.UNKNOWN_MODEL: 404,
    RefusalCode.UNKNOWN_SERVICE: 404,
    RefusalCode.BAD_TOKEN: 401,
    RefusalCode.VERSION_WITHDRAWN: 410,
    RefusalCode.QUEUE_FULL: 429,
    RefusalCode.QUEUE_TIMEOUT: 429,
    RefusalCode.DEADLINE: 429,
    RefusalCode.IN_PROGRESS: 409,
    RefusalCode.KEY_REUSED: 422,
    # The endpoints fail on the request, not this VM, so sending it again does not help.
    RefusalCode.ENDS_ENDPOINTS: 500,
}
DEFAULT_STATUS = 503


@dataclass(frozen=True, slots=True)
class Refusal:
    """A decision not to run a request.

    :param code: the error code for the caller.
    :param reason: a human-readable sentence.
    :param retry_after: seconds after which the caller should retry; None if a retry
        does not help.
    """

    code: RefusalCode
    reason: str
    retry_after: float | None = None

    @property
    def status(self) -> int:
        """The HTTP status code of the response."""
        return STATUS_OF.get(self.code, DEFAULT_STATUS)
