# Licensed under the Apache License 2.0: see LICENSE for details.

"""Which version of a service serves a request while one is on trial, and why."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum

from walnutquay.state.process.ids import VersionName


class ChoiceReason(Enum):
    """What decided between the version on trial and the old one."""

    # The share of sessions that the new version gets, by the session's hash.
    SHARE = "share"
    # Where the session was served last, as this VM has seen it.
    SESSION_ON_NEW = "session-on-new"
    SESSION_ON_OLD = "session-on-old"
    # It stays on the old version, as this VM or another has found.
    KEPT = "kept"
    # The new version gets no sessions yet: VMs are telling each other of the trial.
    NOT_OPEN = "not-open"
    # The new version has failed this very request.
    FAILED_THERE = "failed-there"
    # The new version was found bad here.
    BRAKED = "braked"
    # No endpoint of the new version is known here.
    NONE_RUNS = "none-runs"


@dataclass(frozen=True, slots=True)
class VersionChoice:
    """A choice between the version on trial and the old one.

    :param version: the only version to use; empty for those that no trial holds back.
    :param reason: what decided.
    :param share: the share of sessions that the new version gets here.
    :param trial_seconds: since the trial began, as this VM believes.
    :param session_age: seconds since the session was last seen here; infinite where it
        was not.
    """

    version: VersionName
    reason: ChoiceReason
    share: float
    trial_seconds: float
    session_age: float = math.inf
