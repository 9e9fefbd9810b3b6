# Licensed under the Apache License 2.0: see LICENSE for details.

"""The running endpoints of services, as the platform lists them."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

from walnutquay.state.process.ids import (
    EndpointName,
    HallName,
    ServiceName,
    VersionName,
)
from walnutquay.state.store.halls import EmptiedHalls


@dataclass(frozen=True, slots=True)
class Instance:
    """One start of one endpoint; a restarted endpoint is another instance.

    :param name: its name, which a later start may have again.
    :param service: the service that it runs.
    :param address: ``http://IP:port``; may have belonged to another instance.
    :param hall: the data hall that it stands in.
    :param version: the version of its software.
    :param slots: requests that it runs at once.
    :param leaving: whether it has announced its end.
    :param cold_seconds: how long after its start it is slow.
    :param born: when it started, by its own clock; Unix milliseconds, None where its
        entry does not say.
    """

    name: EndpointName
    service: ServiceName
    address: str
    hall: HallName
    version: VersionName
    slots: int
    leaving: bool = False
    cold_seconds: float = 0.0
    born: int | None = None

    def is_same_start(self, other: Instance) -> bool:
        """Tell whether an entry of the same name is one of the same start.

        The time tells starts apart, and not which came first: clocks step back, and
        entries come in the order in which the store took them.

        :param other: another entry of its name.
        """
        return None in (self.born, other.born) or self.born == other.born


class InstanceRegistry:
    """The instances that one VM believes to run.

    An instance whose entry went while the platform's store was away may have
    lost it for that reason only: it stays in use until :meth:`drop_overdue`
    is called after its time.

    :param overdue_seconds: how long such an instance stays in use.
    """

    def __init__(self, overdue_seconds: float) -> None:
        self.overdue_seconds = overdue_seconds
        self.known: dict[EndpointName, Instance] = {}
        # Data halls whose instances get nothing, though they run.
        self.emptied = EmptiedHalls()
        # Instances without an entry that are still used, and until when.
        self.overdue: dict[EndpointName, float] = {}
        # Deletions are only doubted until then; monotonic seconds.
        self.doubt_until = float("-inf")
        # When this VM first heard of each instance; monotonic seconds.
        self.since: dict[EndpointName, float] = {}
        # The instances that may be sent requests, by what was asked for: each request
        # asks several times.  They hold until an entry or an order changes.
        self.found: dict[tuple[ServiceName, VersionName | None], list[Instance]] = {}
        self.emptied.listeners.append(self.found.clear)

    def is_current(self, instance: Instance) -> bool:
        """:param instance: an instance that was known once.

        :returns: whether no later start of its name is known.
        """
        known = self.known.get(instance.name)
        return known is None or known.is_same_start(instance)

    def doubt_deletions(self, now: float) -> None:
        """Note that the store has just come back.

        :param now: monotonic seconds.
        """
        self.doubt_until = max(self.doubt_until, now + self.overdue_seconds)

    def put(self, instance: Instance, now: float) -> None:
        """Take in an instance's entry.

        :param instance: as its entry says; an end once announced stays so.
        :param now: monotonic seconds.
        """
        before = self.known.get(instance.name)
        if before is not None and not before.is_same_start(instance):
            self._forget(instance.name)
            before = None
        if before is not None and before.leaving and not instance.leaving:
            instance = replace(instance, leaving=True)
        if before is not None and instance.born is None:
            instance = replace(instance, born=before.born)
        self.known[instance.name] = instance
        self.found.clear()
        self.since.setdefault(instance.name, now)
        self.overdue.pop(instance.name, None)

    def remove(self, name: EndpointName, now: float) -> bool:
        """Take in that an instance has no entry any more.

        :param name: the instance.
        :param now: monotonic seconds.
        :returns: whether it is gone at once, and not only in doubt.
        """
        if name not in self.known:
            return False
        if now < self.doubt_until and not self.known[name].leaving:
            self.overdue.setdefault(name, self.doubt_until)
            return False
        self._forget(name)
        return True

    def replace_all(
        self, instances: Iterable[Instance], now: float
    ) -> list[EndpointName]:
        """Take in a whole list.

        :param instances: all entries that there are.
        :param now: monotonic seconds.
        :returns: the names of instances that are gone at once.
        """
        listed = {instance.name: instance for instance in instances}
        missing = [name for name in self.known if name not in listed]
        gone = [name for name in missing if self.remove(name, now)]
        for instance in listed.values():
            self.put(instance, now)
        return gone

    def drop_overdue(self, now: float) -> list[EndpointName]:
        """Forget the instances whose entries have not come back in time.

        :param now: monotonic seconds.
        :returns: their names.
        """
        ended = [name for name, until in self.overdue.items() if until <= now]
        for name in ended:
            self._forget(name)
        return ended

    def usable_instances(
        self, service: ServiceName, version: VersionName | None = None
    ) -> list[Instance]:
        """:param service: a service.

        :param version: only instances of this version; None for all.
        :returns: those that may be sent requests: they have not announced their end,
            and their data hall is not emptied.  The list is shared, and not to be
            changed.
        """
        found = self.found.get((service, version))
        if found is None:
            found = self.found[service, version] = [
                instance
                for instance in self.known.values()
                if instance.service == service
                and not instance.leaving
                and instance.hall not in self.emptied
                and version in (None, instance.version)
            ]
        return found

    def usable_versions(self, service: ServiceName) -> set[VersionName]:
        """:param service: a service.

        :returns: the versions of its instances that may be sent requests.
        """
        return {instance.version for instance in self.usable_instances(service)}

    def version_first_seen(
        self, service: ServiceName, version: VersionName
    ) -> float | None:
        """:param service: a service.

        :param version: one of its versions.
        :returns: since when an instance of it has been known; None where none is.
        """
        known = self.usable_instances(service, version)
        return min((self.since[instance.name] for instance in known), default=None)

    def _forget(self, name: EndpointName) -> None:
        self.known.pop(name, None)
        self.found.clear()
        self.overdue.pop(name, None)
        self.since.pop(name, None)
