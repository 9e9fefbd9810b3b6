# Licensed under the Apache License 2.0: see LICENSE for details.

"""The endpoints that could serve a request, whatever limits there are on them."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from walnutquay.coordination.requests.slots import SlotRequest
from walnutquay.state.process.ids import (
    HallName,
    RegionName,
    ServiceName,
    VersionName,
)
from walnutquay.state.requests.regions import filter_by_region
from walnutquay.state.store.instances import Instance, InstanceRegistry
from walnutquay.transport.timers import monotonic

# Returns the versions of a service that may be used, by the newest decision; None for
# all.
AllowedVersions = Callable[[ServiceName], frozenset[VersionName] | None]


class Candidates:
    """The endpoints of services, by the state of their entries and announcements.

    :param registry: the listed endpoints.
    :param allowed: returns the versions of a service that may be used.
    :param region_of: the region of each data hall.
    :param drain_seconds: the time for which a draining endpoint may be sent requests.
    """

    def __init__(
        self,
        registry: InstanceRegistry,
        allowed: AllowedVersions,
        region_of: Mapping[HallName, RegionName],
        drain_seconds: float,
    ) -> None:
        self.registry = registry
        self.allowed = allowed
        self.region_of = region_of
        self.drain_seconds = drain_seconds

    def of_service(self, service: ServiceName, version: str = "") -> list[Instance]:
        """Return the endpoints of a service that may be used now.

        :param service: the service.
        :param version: the only version to use; empty for all allowed versions.
        """
        if version:
            return self.registry.usable_instances(service, VersionName(version))
        return self._allowed(service, self.registry.usable_instances(service))

    def of_request(self, need: SlotRequest) -> list[Instance]:
        """Return the endpoints that could serve a request and have not failed it.

        :param need: the request.
        """
        return self._for(need, self.of_service(ServiceName(need.target), need.version))

    def draining(self, need: SlotRequest) -> list[Instance]:
        """Return the draining endpoints that a request may be sent to all the same.

        Only for a request that no other endpoint can serve.

        :param need: the request.
        """
        service = ServiceName(need.target)
        now = monotonic()
        found = self.registry.draining_instances(service, now, self.drain_seconds)
        if not found:
            return found
        if need.version:
            found = [item for item in found if item.version == need.version]
        else:
            found = self._allowed(service, found)
        return self._for(need, found)

    def is_withdrawn(self, instance: Instance) -> bool:
        """Return whether a chosen endpoint may not be sent the request any more.

        It is gone, has started again or announced its shutdown since, or has been
        draining for too long.

        :param instance: the endpoint as it was when it was chosen.
        """
        known = self.registry.known.get(instance.name)
        if known is None or not known.is_same_start(instance):
            return True
        draining = self.registry.draining
        if not draining.is_draining(instance.name, instance.born):
            return False
        usable = draining.is_usable(instance.name, monotonic(), self.drain_seconds)
        return not (instance.leaving and usable)

    def _allowed(self, service: ServiceName, found: list[Instance]) -> list[Instance]:
        allowed = self.allowed(service)
        if allowed is None:
            return found
        return [item for item in found if item.version in allowed]

    def _for(self, need: SlotRequest, found: list[Instance]) -> list[Instance]:
        allowed = filter_by_region(found, need.regions, self.region_of)
        return [item for item in allowed if item.name not in need.tried]
