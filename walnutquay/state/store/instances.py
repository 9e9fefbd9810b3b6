# Licensed under the Apache License 2.0: see LICENSE for details.

"""The running endpoints of services, as listed in the platform's store."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, replace

from walnutquay.state.process.ids import (
    EndpointName,
    HallName,
    ServiceName,
    VersionName,
)
from walnutquay.state.store.draining import (
    KEEP_SECONDS,
    DrainingStart,
    DrainingStarts,
)
from walnutquay.state.store.halls import EmptiedHalls

# Deleted entries that are back within this time after a restore of the store may be
# those of the backup.
RESTORED_SECONDS = 10.0
# By then the platform has removed an entry that its endpoint does not renew.
HELD_SECONDS = 4.0


@dataclass(frozen=True, slots=True)
class Instance:
    """One start of an endpoint; after a restart, the endpoint is another instance.

    :param name: its name, which later starts may reuse.
    :param service: the service that it runs.
    :param address: ``http://IP:port``; another instance may have used it before.
    :param hall: the data hall in which it runs.
    :param version: the version of its software.
    :param slots: the number of requests that it runs concurrently.
    :param leaving: whether it has announced its shutdown.
    :param cold_seconds: the time after its start for which it is slow.
    :param born: when it started by its own clock, in Unix milliseconds; None if its
        entry does not contain the time.
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
        """Return whether two entries of the same name belong to the same start.

        The start times distinguish starts but do not order them, as clocks may be set
        back.  Entries arrive in the order in which the store accepted them.

        :param other: another entry of the same name.
        """
        return None in (self.born, other.born) or self.born == other.born


class InstanceRegistry:
    """The instances that one VM treats as running.

    An entry that was deleted while the platform's store was unavailable may have
    expired only because its endpoint could not renew it.  The instance therefore stays
    in use until :meth:`drop_overdue` is called after its time.

    :param overdue_seconds: the time for which such an instance stays in use.
    """

    def __init__(self, overdue_seconds: float) -> None:
        self.overdue_seconds = overdue_seconds
        self.known: dict[EndpointName, Instance] = {}
        # Data halls whose instances are running but must not be sent new requests.
        self.emptied = EmptiedHalls()
        # The starts that have announced their shutdown, in their entries or answers.
        self.draining = DrainingStarts()
        # Instances without an entry that are still in use, and the time until which
        # they are; monotonic seconds.
        self.overdue: dict[EndpointName, float] = {}
        # Until then, deletions are treated as unconfirmed; monotonic seconds.
        self.deletions_unconfirmed_until = float("-inf")
        # When this VM first received an entry of each instance; monotonic seconds.
        self.first_seen: dict[EndpointName, float] = {}
        # The endpoints whose entries were deleted lately, and the time until which one
        # that is back may be that of a backup; monotonic seconds.
        self.deleted_at: dict[EndpointName, float] = {}
        self.restored_until = -math.inf
        # Until when such endpoints are not used.
        self.held_until: dict[EndpointName, float] = {}
        # Cached results of usable_instances(), which is called several times for each
        # request.  Cleared whenever an entry or an order changes.
        self.usable_cache: dict[
            tuple[ServiceName, VersionName | None], list[Instance]
        ] = {}
        self.emptied.listeners.append(self.usable_cache.clear)

    def is_current(self, instance: Instance) -> bool:
        """Return whether no later start under the same name is known.

        :param instance: an instance that was known at some time.
        """
        known = self.known.get(instance.name)
        return known is None or known.is_same_start(instance)

    def mark_deletions_unconfirmed(self, now: float) -> None:
        """Treat deletions as unconfirmed for a while: the store is available again.

        :param now: when it became available again; monotonic seconds.
        """
        self.deletions_unconfirmed_until = max(
            self.deletions_unconfirmed_until, now + self.overdue_seconds
        )

    def on_restored(self, now: float) -> None:
        """Expect deleted entries to be back, as the store was restored from a backup.

        :param now: when that was noticed; monotonic seconds.
        """
        self.restored_until = now + RESTORED_SECONDS

    def put(self, instance: Instance, now: float) -> None:
        """Apply an instance's entry.

        :param instance: the instance as in its entry; once it has announced its
            shutdown, it stays marked as leaving.
        :param now: monotonic seconds.
        """
        name = instance.name
        before = self.known.get(name)
        if before is None and name in self.deleted_at:
            del self.deleted_at[name]
            if now < self.restored_until:
                self.held_until[name] = now + HELD_SECONDS
        if before is not None and not before.is_same_start(instance):
            self._forget(name, now)
            self.draining.forget(name)
            before = None
        if before is not None and instance.born is None:
            instance = replace(instance, born=before.born)
        if instance.leaving:
            # Where no earlier entry is known, it may have left long ago.
            since = -math.inf if before is None else now
            self.draining.mark(name, DrainingStart(instance.born, since, False))
        elif self.draining.is_draining(name, instance.born):
            instance = replace(instance, leaving=True)
        self.draining.on_listed(name)
        self.known[name] = instance
        self.usable_cache.clear()
        self.first_seen.setdefault(instance.name, now)
        self.overdue.pop(instance.name, None)

    def mark_draining(self, name: EndpointName, start: DrainingStart) -> bool:
        """Apply an endpoint's own announcement that it is draining.

        :param name: the endpoint.
        :param start: the start that has announced it.
        :returns: whether an instance that could be sent requests is leaving now.
        """
        known = self.known.get(name)
        if known is not None and not start.is_start(known.born):
            return False
        self.draining.mark(name, start)
        if known is None:
            self.draining.on_removed(name, start.since)
            return False
        if known.leaving:
            return False
        self.known[name] = replace(known, leaving=True)
        self.usable_cache.clear()
        return True

    def remove(self, name: EndpointName, now: float) -> bool:
        """Apply the deletion of an instance's entry.

        :param name: the instance.
        :param now: monotonic seconds.
        :returns: whether the instance was removed at once; false if it was unknown or
            the deletion is unconfirmed.
        """
        if name not in self.known:
            return False
        if now < self.deletions_unconfirmed_until and not self.known[name].leaving:
            self.overdue.setdefault(name, self.deletions_unconfirmed_until)
            return False
        self._forget(name, now)
        self.deleted_at = {
            name: at for name, at in self.deleted_at.items() if at > now - KEEP_SECONDS
        }
        self.deleted_at[name] = now
        return True

    def replace_all(
        self, instances: Iterable[Instance], now: float
    ) -> list[EndpointName]:
        """Apply a full list of entries.

        :param instances: the instances of all entries.
        :param now: monotonic seconds.
        :returns: the names of the instances that were removed at once.
        """
        listed = {instance.name: instance for instance in instances}
        missing = [name for name in self.known if name not in listed]
        gone = [name for name in missing if self.remove(name, now)]
        for instance in listed.values():
            self.put(instance, now)
        return gone

    def drop_overdue(self, now: float) -> list[EndpointName]:
        """Remove the instances whose entries were not written again in time.

        :param now: monotonic seconds.
        :returns: their names.
        """
        expired = [name for name, until in self.overdue.items() if until <= now]
        for name in expired:
            self._forget(name, now)
        for name in [name for name, until in self.held_until.items() if until <= now]:
            del self.held_until[name]
            self.usable_cache.clear()
        return expired

    def usable_instances(
        self, service: ServiceName, version: VersionName | None = None
    ) -> list[Instance]:
        """Return the instances of a service that may be sent requests.

        These have not announced their shutdown, and their data hall is not emptied.

        :param service: the service.
        :param version: only return instances of this version; None for all.
        :returns: the instances, in a shared list that callers must not modify.
        """
        found = self.usable_cache.get((service, version))
        if found is None:
            found = self.usable_cache[service, version] = [
                instance
                for instance in self.known.values()
                if instance.service == service
                and not instance.leaving
                and instance.name not in self.held_until
                and instance.hall not in self.emptied
                and version in (None, instance.version)
            ]
        return found

    def draining_instances(
        self, service: ServiceName, now: float, drain_seconds: float
    ) -> list[Instance]:
        """Return the draining instances of a service that may be sent requests yet.

        :param service: the service.
        :param now: monotonic seconds.
        :param drain_seconds: the time for which a draining endpoint may be sent
            requests.
        """
        if not self.draining.is_any_usable(now, drain_seconds):
            return []
        usable = self.draining.is_usable
        found = [
            instance
            for instance in self.known.values()
            if instance.service == service
            and instance.leaving
            and usable(instance.name, now, drain_seconds)
        ]
        return [item for item in found if item.hall not in self.emptied]

    def versions_of(self, service: ServiceName) -> set[VersionName]:
        """Return the versions of a service's instances that may be sent requests.

        :param service: the service.
        """
        return {instance.version for instance in self.usable_instances(service)}

    def version_first_seen(
        self, service: ServiceName, version: VersionName
    ) -> float | None:
        """Return when an entry of a version was first received.

        :param service: the service.
        :param version: one of its versions.
        :returns: the earliest time among the instances that may be sent requests, in
            monotonic seconds; None if there are none.
        """
        known = self.usable_instances(service, version)
        return min((self.first_seen[instance.name] for instance in known), default=None)

    def _forget(self, name: EndpointName, now: float) -> None:
        self.known.pop(name, None)
        self.draining.on_removed(name, now)
        self.usable_cache.clear()
        self.overdue.pop(name, None)
        self.held_until.pop(name, None)
        self.first_seen.pop(name, None)
