# Licensed under the Apache License 2.0: see LICENSE for details.

"""What a simulated trial of a version keeps of VMs and sessions, and what it shows."""

from __future__ import annotations

from dataclasses import dataclass
from types import SimpleNamespace

from walnutquay.coordination.trials.versions import VersionTrials
from walnutquay.state.process.ids import HallName, VersionName, VmName
from walnutquay.state.store.instances import InstanceRegistry


@dataclass
class Findings:
    """What a simulated trial showed.

    :param requests: requests that were sent.
    :param on_new: those that the new version got.
    :param too_early: requests on the new version in the first half of the trial, whose
        session had been on the old one.
    :param back: requests on the old version whose session had been on the new one.
    :param moved: pairs of neighbouring requests that two VMs served.
    :param datagrams: messages between VMs, one for each receiver.
    :param bytes: their size.
    :param bytes_between_halls: the size of those that went to another data hall.
    :param kept: sessions that a VM knew to be kept, the most of any VM.
    :param done: whether the trial ended as done.
    """

    requests: int = 0
    on_new: int = 0
    too_early: int = 0
    back: int = 0
    moved: int = 0
    datagrams: int = 0
    bytes: int = 0
    bytes_between_halls: int = 0
    kept: int = 0
    done: bool = False


@dataclass
class Served:
    """A session's last request that has ended.

    :param version: the version that ran it.
    :param vm: the VM that took it.
    :param ended: when it ended; simulated seconds.
    """

    version: VersionName
    vm: VmName
    ended: float


@dataclass
class Vm:
    """One simulated entry VM.

    :param name: its name.
    :param trials: its own code.
    :param registry: the endpoints that it knows.
    :param orders: the orders that it knows.
    :param hall: its data hall.
    :param up: whether it takes requests.
    """

    name: VmName
    trials: VersionTrials
    registry: InstanceRegistry
    orders: SimpleNamespace
    hall: HallName
    up: bool = True
