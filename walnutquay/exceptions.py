# Licensed under the Apache License 2.0: see LICENSE for details.

"""The one family of exceptions that walnutquay raises."""

from __future__ import annotations


class WalnutquayError(Exception):
    """The base of every error that walnutquay raises on purpose.

    :param reason: what went wrong, in a sentence for people.
    :param step: the step of the work at which it arose, such as ``"claim"``.
    :param peer: the VM, endpoint or service that was being talked to.
    """

    def __init__(self, reason: str, *, step: str = "", peer: str = "") -> None:
        super().__init__(reason)
        self.reason = reason
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        where = " ".join(
            part
            for part in (
                f"at {self.step}" if self.step else "",
                f"with {self.peer}" if self.peer else "",
            )
            if part
        )
        return f"{self.reason} ({where})" if where else self.reason


class SettingsError(WalnutquayError):
    """The daemon's settings are wrong; names the file, the key and the reason."""


class ConfigurationError(WalnutquayError):
    """The fleet's configuration is wrong; names the file, the key and the reason."""


class ConflictError(WalnutquayError):
    """Another operator's change was accepted first.

    :param revision: the revision that won.
    """

    def __init__(self, reason: str, *, revision: int, peer: str = "") -> None:
        super().__init__(reason, step="accept", peer=peer)
        self.revision = revision


class SpentStageError(WalnutquayError):
    """A stage of a request was used after the request had left it."""


class MessageError(WalnutquayError):
    """A message cannot be decoded, or it is not from this fleet."""


class PeerError(WalnutquayError):
    """Another entry VM did not answer, or answered with a failure."""


class PlatformError(WalnutquayError):
    """The base of what can go wrong with the platform's store."""


class PlatformUnavailableError(PlatformError):
    """The platform did not take the call: nothing changed there."""


class PlatformBusyError(PlatformUnavailableError):
    """The platform is there and takes no more calls at present."""


class MissingObjectError(PlatformError):
    """There is no such object, or nothing of its kind yet."""


class PlatformUnclearError(PlatformError):
    """The call was sent and its answer is lost: it may have taken effect."""


class EarlierEraError(PlatformUnclearError):
    """The answer is from before a restore of the store: what it says is void."""


class PlatformConflictError(PlatformError):
    """The object's version is not the one that the update named."""


class HistoryGoneError(PlatformError):
    """The platform no longer knows the changes since a revision: list again."""


class TokenError(WalnutquayError):
    """A session token is forged, foreign or too old."""


class PolicyError(WalnutquayError):
    """A policy program does not parse, fails, or runs for too long."""


class CallerGoneError(WalnutquayError):
    """The caller's connection closed before its answer was written."""


class EndpointError(WalnutquayError):
    """An endpoint failed after it may have begun the work."""

    # The status that it answered; None where it did not.
    status: int | None = None


class NotStartedError(EndpointError):
    """It is certain that the endpoint did not begin the work."""
