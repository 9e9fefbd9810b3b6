# Licensed under the Apache License 2.0: see LICENSE for details.

"""Identifiers and the states that things can be in."""

from __future__ import annotations

from enum import Enum
from typing import NewType

VmName = NewType("VmName", str)
# One start of a VM: its name and its incarnation.
VmProcess = NewType("VmProcess", str)
Incarnation = NewType("Incarnation", str)
HallName = NewType("HallName", str)
RegionName = NewType("RegionName", str)
OrganisationName = NewType("OrganisationName", str)
ModelName = NewType("ModelName", str)
VersionName = NewType("VersionName", str)
CascadeName = NewType("CascadeName", str)
RolloutName = NewType("RolloutName", str)
PolicyName = NewType("PolicyName", str)
PoolName = NewType("PoolName", str)
ServiceName = NewType("ServiceName", str)
EndpointName = NewType("EndpointName", str)
SessionId = NewType("SessionId", str)
RequestId = NewType("RequestId", str)
RouteName = NewType("RouteName", str)
# The hash of what makes a request, in hexadecimal digits.
Fingerprint = NewType("Fingerprint", str)
Revision = NewType("Revision", int)

# The revision of a VM that has no configuration yet.
NO_REVISION = Revision(0)


class VersionState(Enum):
    """What a version may be used for."""

    # New sessions and the turns of old ones.
    ACTIVE = "active"
    # The turns of old sessions only.
    DRAINING = "draining"
    # Nothing new at all.
    WITHDRAWN = "withdrawn"


class RolloutState(Enum):
    """Where a roll-out stands."""

    RUNNING = "running"
    PAUSED = "paused"
    DONE = "done"
    WITHDRAWN = "withdrawn"


class WorkKind(Enum):
    """The kind of work that a pool does; the two never share a queue."""

    PATIENT = "patient"
    QUICK = "quick"


class OnWithdrawn(Enum):
    """What an organisation wants when its session's version is withdrawn."""

    REFUSE = "refuse"
    NEW_SESSION = "new-session"


class MemberState(Enum):
    """What a VM believes of another."""

    ALIVE = "alive"
    LEAVING = "leaving"
    SILENT = "silent"


class LeavingSource(Enum):
    """Who said that an endpoint is leaving."""

    CONFIGURATION = "configuration"
    VM_LIST = "vm-list"
    ENDPOINT = "endpoint"
    PEER = "peer"
