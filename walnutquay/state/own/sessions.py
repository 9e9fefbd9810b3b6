# Licensed under the Apache License 2.0: see LICENSE for details.

"""Session pins and the signed tokens that carry them."""

from __future__ import annotations

from base64 import urlsafe_b64decode, urlsafe_b64encode
from dataclasses import dataclass
from hashlib import sha256

import orjson
from itsdangerous import BadData, TimestampSigner

from walnutquay.exceptions import TokenError
from walnutquay.state.process.ids import (
    NO_REVISION,
    OrganisationName,
    Revision,
    SessionId,
)

TOKEN_SALT = "walnutquay.session"
# Precedes the fields, so that no other data signed with these keys is accepted.
PREFIX = b"pin1"


@dataclass(frozen=True, slots=True)
class Pin:
    """The state that binds a session to versions.

    :param session: the session's id.
    :param organisation: the organisation that the session belongs to.
    :param versions: the version of each model that the session has used.
    :param endpoint: the endpoint that has probably cached its prompt prefix; a hint.
    :param revision: the configuration revision at the last turn.
    """

    session: SessionId
    organisation: OrganisationName
    versions: tuple[tuple[str, str], ...] = ()
    endpoint: str = ""
    revision: Revision = NO_REVISION

    def version_of(self, model: str) -> str | None:
        """Return the version of a model that this session is bound to, if any.

        :param model: the model's name.
        """
        return dict(self.versions).get(model)

    def after_turn(
        self, model: str, version: str, endpoint: str, revision: Revision
    ) -> Pin:
        """Return the session's pin after a turn.

        :param model: the model that served the turn.
        :param version: the version that served it; an existing binding of the model to
            another version is kept.
        :param endpoint: the endpoint that served it.
        :param revision: the configuration revision that was in force.
        """
        versions = dict(self.versions)
        versions.setdefault(model, version)
        bound = tuple(sorted(versions.items()))
        return Pin(self.session, self.organisation, bound, endpoint, revision)


class PinSealer:
    """Signs pins as tokens, and verifies and decodes tokens.

    :param keys: the fleet's keys, oldest first: the last one signs and all are
        accepted, so that keys can be rotated without invalidating sessions.
    :param max_age: seconds after which a token is no longer accepted.
    """

    def __init__(self, keys: list[str], max_age: float) -> None:
        # The keys are already long and random, so no key is derived from them:
        # deriving one for each token took longer than computing the signature.
        self.signer = TimestampSigner(
            keys, salt=TOKEN_SALT, key_derivation="none", digest_method=sha256
        )
        self.max_age = max_age

    def seal(self, pin: Pin) -> str:
        """Sign a pin and return the token.

        :param pin: the pin to sign.
        """
        fields = [
            pin.session,
            pin.organisation,
            pin.versions,
            pin.endpoint,
            pin.revision,
        ]
        payload = urlsafe_b64encode(PREFIX + orjson.dumps(fields))
        return self.signer.sign(payload).decode("ascii")

    def open(self, token: str, organisation: str) -> Pin:
        """Verify a token and return its pin.

        :param token: the token that the caller sent.
        :param organisation: the caller's organisation.
        :raises TokenError: if the token is invalid, too old or another organisation's.
        """
        try:
            payload = urlsafe_b64decode(self.signer.unsign(token, self.max_age))
            if not payload.startswith(PREFIX):
                raise ValueError("not a session token")
            session, owner, versions, endpoint, revision = orjson.loads(
                payload[len(PREFIX) :]
            )
            bound = tuple((str(m), str(v)) for m, v in versions)
        except (BadData, ValueError, TypeError) as error:
            raise TokenError(f"the session token is not valid: {error}") from error
        if owner != organisation:
            raise TokenError("the session token is another organisation's")
        return Pin(session, owner, bound, endpoint, Revision(revision))
