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
# Stands before the fields, so that nothing else signed by these keys passes.
PREFIX = b"pin1"


@dataclass(frozen=True, slots=True)
class Pin:
    """What a session keeps.

    :param session: the session's id.
    :param organisation: whose session it is.
    :param versions: the version of each model that the session has used.
    :param endpoint: where its prompt prefix is likely to be cached; a hint.
    :param revision: the configuration revision at the last turn.
    """

    session: SessionId
    organisation: OrganisationName
    versions: tuple[tuple[str, str], ...] = ()
    endpoint: str = ""
    revision: Revision = NO_REVISION

    def version_of(self, model: str) -> str | None:
        """Tell the version of a model that this session is bound to.

        :param model: the model's name.
        """
        return dict(self.versions).get(model)

    def after_turn(
        self, model: str, version: str, endpoint: str, revision: Revision
    ) -> Pin:
        """Make the pin that holds after a turn.

        :param model: the model that served it.
        :param version: the version that did; an earlier binding stays.
        :param endpoint: where.
        :param revision: the configuration that was in force.
        """
        versions = dict(self.versions)
        versions.setdefault(model, version)
        bound = tuple(sorted(versions.items()))
        return Pin(self.session, self.organisation, bound, endpoint, revision)


class PinSealer:
    """Signs pins and reads them back.

    :param keys: the fleet's keys, oldest first: the last one signs, all are
        accepted, so that keys can be changed without dropping sessions.
    :param max_age: seconds after which a token is too old.
    """

    def __init__(self, keys: list[str], max_age: float) -> None:
        # The keys are long and random already, so none is derived from them:
        # deriving one anew for each token cost more than the signature.
        self.signer = TimestampSigner(
            keys, salt=TOKEN_SALT, key_derivation="none", digest_method=sha256
        )
        self.max_age = max_age

    def seal(self, pin: Pin) -> str:
        """:param pin: the pin to sign.

        :returns: the token.
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
        """Read a token.

        :param token: what the caller sent.
        :param organisation: who the caller is.
        :raises TokenError: if it is forged, too old or another organisation's.
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
