# Licensed under the Apache License 2.0: see LICENSE for details.

"""Types of identifiers, and enumerations of states."""

from __future__ import annotations

from enum import Enum
from typing import NewType

VmName = NewType("VmName", str)
# A process of a VM: the name of the VM and the incarnation.
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
# The hash of the content that identifies a request, in hexadecimal digits.
Fingerprint = NewType("Fingerprint", str)
# What requests have in common that may crash endpoints: see requests.features.
Feature = NewType("Feature", str)
# The name of a part of a prompt, of bounded length.
PartName = NewType("PartName", str)
Revision = NewType("Revision", int)

# The configuration revision of a VM that has not received a configuration yet.
NO_REVISION = Revision(0)


class VersionState(Enum):
    """The state of a version, which decides what it may be used for."""

    # For new sessions and for the turns of existing ones.
    ACTIVE = "active"
    # Only for the turns of existing sessions.
    DRAINING = "draining"
    # For no new sessions and no new turns.
    WITHDRAWN = "withdrawn"


class RolloutState(Enum):
    """The state of a roll-out."""

    RUNNING = "running"
    PAUSED = "paused"
    DONE = "done"
    WITHDRAWN = "withdrawn"


class WorkKind(Enum):
    """The kind of work that a pool does; the two kinds never share a queue."""

    PATIENT = "patient"
    QUICK = "quick"


class OnWithdrawn(Enum):
    """How to treat an organisation's session whose version is withdrawn."""

    REFUSE = "refuse"
    NEW_SESSION = "new-session"


class MemberState(Enum):
    """The state of a VM as seen by another."""

    ALIVE = "alive"
    LEAVING = "leaving"
    SILENT = "silent"


class LeavingSource(Enum):
    """The source of the information that an endpoint is leaving."""

    CONFIGURATION = "configuration"
    VM_LIST = "vm-list"
    ENDPOINT = "endpoint"
    PEER = "peer"
