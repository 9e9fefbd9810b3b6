# Licensed under the Apache License 2.0: see LICENSE for details.

"""Revisions of the store as tests write them."""

from __future__ import annotations

from walnutquay.state.process.revisions import Era, StoreRevision

# The era of a store that was never restored.
FIRST_ERA = Era(1)


def revision_at(number: int, era: int = FIRST_ERA) -> StoreRevision:
    """Return a revision.

    :param number: the revision within the era.
    :param era: the era.
    """
    return StoreRevision(Era(era), number)
