# Licensed under the Apache License 2.0: see LICENSE for details.

"""The choice of a version for a request during a trial, with its reason."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum

from walnutquay.state.process.ids import VersionName


class ChoiceReason(Enum):
    """The reason for choosing the version on trial or the old one."""

    # The session's hash, compared with the new version's share of sessions.
    SHARE = "share"
    # The version that served the session last, as recorded by this VM.
    SESSION_ON_NEW = "session-on-new"
    SESSION_ON_OLD = "session-on-old"
    # This VM or another has marked the session to stay on the old version.
    KEPT = "kept"
    # The new version gets no sessions until all VMs have learned of the trial.
    NOT_OPEN = "not-open"
    # The new version has already failed this request.
    FAILED_THERE = "failed-there"
    # This VM has rejected the new version.
    BRAKED = "braked"
    # This VM knows of no endpoint of the new version.
    NONE_RUNS = "none-runs"


@dataclass(frozen=True, slots=True)
class VersionChoice:
    """A choice between the version on trial and the old one.

    :param version: the only version to use; empty for any version that is not on trial.
    :param reason: the reason for the choice.
    :param share: the share of sessions that this VM assigns to the new version.
    :param trial_seconds: the time since the trial began, by this VM's estimate.
    :param session_age: the seconds since this VM last served the session; infinite if
        it has not.
    """

    version: VersionName
    reason: ChoiceReason
    share: float
    trial_seconds: float
    session_age: float = math.inf
