# Licensed under the Apache License 2.0: see LICENSE for details.

"""Which version of a service serves a request while one is rolled out."""

from __future__ import annotations

from walnutquay.coordination.places import Grant
from walnutquay.coordination.routedturn import RoutedTurn
from walnutquay.state.ids import ServiceName, VersionName


class AnyVersion:
    """Lets any version serve."""

    def allowed(self, service: ServiceName) -> frozenset[VersionName] | None:
        """:param service: a service.

        :returns: the versions that may be used; None for all.
        """
        return None

    def version_for(self, turn: RoutedTurn) -> str:
        """:param turn: a request."""
        return ""

    def succeeded(self, turn: RoutedTurn, grant: Grant, seconds: float) -> None:
        """:param turn: a request that was answered."""

    def failed(self, turn: RoutedTurn, grant: Grant) -> None:
        """:param turn: a request that failed."""
