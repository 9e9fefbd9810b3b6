# Licensed under the Apache License 2.0: see LICENSE for details.

"""A stand-in for the platform as a process: its store and the list of VMs.

The store is :class:`standins.store.StoreStandIn`.  The VM list is ``GET /vms``,
which shows what was set some time ago.
"""

from __future__ import annotations

import time
from collections import Counter

from aiohttp import web

from standins.faults import CONTROL, FaultSwitch
from standins.store import StoreStandIn
from walnutquay.platform.names import OWN_KIND_PREFIX
from walnutquay.platform.values import (
    ObjectKey,
    decode_value,
    encode_value,
    object_key,
    value_name,
)


class PlatformStandIn:
    """The store and the list of VMs.

    :param writes: writes a second that are allowed.
    :param reads: reads a second that are allowed, watches among them.
    """

    def __init__(self, writes: int = 300, reads: int = 2000) -> None:
        self.store = StoreStandIn(writes=writes, reads=reads)
        # The list of VMs as set, and when each state of it becomes visible.
        self.vms: list[tuple[float, list[dict]]] = [(0.0, [])]
        # Other lists that single VMs are shown, for their side of cut links.
        self.views: dict[str, list[dict]] = {}
        self.app = self.store.app
        self.switch = FaultSwitch(self.app, spared=("/vms",))
        router = self.app.router
        router.add_get("/vms", self.list_vms)
        router.add_put(f"{CONTROL}/vms", self.set_vms)
        router.add_get(f"{CONTROL}/calls", self.count)
        router.add_get(f"{CONTROL}/snapshot", self.snapshot)
        router.add_put(f"{CONTROL}/snapshot", self.restore)
        self.backup = self.store.copy()
        router.add_post(f"{CONTROL}/backup", self.back_up)
        router.add_post(f"{CONTROL}/restored", self.restore_backup)

    async def list_vms(self, request: web.Request) -> web.Response:
        """:param request: ``GET /vms``."""
        asker = request.headers.get("user-agent", "")
        if asker in self.switch.faults.cut_list:
            return web.Response(status=503)
        if asker in self.views:
            return web.json_response(self.views[asker])
        now = time.monotonic()
        visible = [vms for at, vms in self.vms if at <= now]
        return web.json_response(visible[-1])

    async def set_vms(self, request: web.Request) -> web.Response:
        """Set the list; it is shown once the lag has passed.

        :param request: ``vms``, ``lag`` in seconds, and ``views`` by VM.
        """
        body = await request.json()
        self.views = body.get("views", {})
        self.vms.append((time.monotonic() + body.get("lag", 0.0), body["vms"]))
        return web.json_response({})

    async def count(self, request: web.Request) -> web.Response:
        """:param request: asks for the calls that were made: reads, watches, writes."""
        found: Counter[str] = Counter(read=0, watch=0, write=0, refused=0)
        for call, times in self.store.calls.items():
            found[_call_group(call)] += times
        return web.json_response(dict(found))

    async def back_up(self, request: web.Request) -> web.Response:
        """:param request: asks for a backup, which replaces the last one."""
        self.backup = self.store.copy()
        return web.json_response({})

    async def restore_backup(self, request: web.Request) -> web.Response:
        """Restore the store from the last backup, and give all values that it holds.

        VMs write again at once: who asks later finds more.

        :param request: asks for it.
        """
        await self.store.restore(self.backup)
        values = self._values("")
        return web.json_response({"era": self.store.era, "values": values})

    async def snapshot(self, request: web.Request) -> web.Response:
        """Give all values, for judges and for a later restore.

        :param request: the query may have a ``prefix``.
        """
        return web.json_response(self._values(request.query.get("prefix", "")))

    def _values(self, prefix: str) -> dict[str, list[object]]:
        """Return the values whose names begin alike, with their revisions."""
        found = {}
        for kind, objects in self.store.kinds.items():
            if not kind.startswith(OWN_KIND_PREFIX):
                continue
            for stored in objects.values():
                name = value_name(ObjectKey(kind, stored.name))
                if name.startswith(prefix):
                    value = decode_value(stored.spec).decode()
                    found[name] = [stored.revision, value]
        return found

    async def restore(self, request: web.Request) -> web.Response:
        """Go back to a snapshot, as after a restore from an older copy.

        Who watches is not told of what changes by it, but that the history is gone.

        :param request: what :meth:`snapshot` gave.
        """
        body = await request.json()
        for kind in self.store.kinds:
            if kind.startswith(OWN_KIND_PREFIX):
                self.store.kinds[kind] = {}
        for name, (_, value) in body.items():
            key = object_key(name)
            content = encode_value(value.encode())
            await self.store.put(key.kind, key.name, content)
        await self.store.forget_history()
        return web.json_response({})


def _call_group(call: str) -> str:
    """:param call: a key of the store's counter of calls.

    :returns: under which heading it is counted here.
    """
    if call == "refused":
        return call
    if call.endswith(" watch"):
        return "watch"
    return "read" if call.startswith("GET ") else "write"
