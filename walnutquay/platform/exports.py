# Licensed under the Apache License 2.0: see LICENSE for details.

"""The form in which VMs tell each other objects of the store, with their era."""

from __future__ import annotations

from typing import Any

import orjson

from walnutquay.exceptions import MessageError
from walnutquay.platform.objects import StoredObject
from walnutquay.protocol.lists import pack
from walnutquay.state.process.revisions import (
    UNKNOWN_ERA,
    Era,
    EraTracker,
    StoreRevision,
)


def exported_object(stored: StoredObject) -> dict[str, Any]:
    """Write an object; its era is that of the list or the changes.

    :param stored: the object.
    """
    return {
        "name": stored.name,
        "revision": stored.revision.number,
        "spec": stored.spec,
        "status": stored.status,
    }


def packed_export(revision: StoreRevision, **content: list[dict[str, Any]]) -> bytes:
    """Pack a list or changes.

    :param revision: the store's revision of them.
    :param content: the objects or events.
    """
    plain = {"era": revision.era, "revision": revision.number, **content}
    return pack(orjson.dumps(plain))


def read_revision(plain: dict[str, Any], eras: EraTracker) -> StoreRevision:
    """Read the revision of what another VM exported.

    VMs that do not know of eras export none.

    :param plain: the unpacked export.
    :param eras: the store's era; told of the one of the export.
    :raises MessageError: if it is from before a restore of the store.
    """
    era = Era(int(plain.get("era", UNKNOWN_ERA)))
    eras.observe(era)
    revision = StoreRevision(era, int(plain["revision"]))
    if not eras.is_current(revision):
        raise MessageError(
            f"a peer's state is of era {era} of the store", step="decode"
        )
    return revision


def read_object(plain: dict[str, Any], era: Era) -> StoredObject:
    """Read an object that another VM exported.

    :param plain: the object.
    :param era: the era of the list or the changes.
    """
    revision = StoreRevision(era, int(plain["revision"]))
    return StoredObject(plain["name"], revision, plain["spec"], plain["status"])
