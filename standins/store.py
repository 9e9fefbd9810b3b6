# Licensed under the Apache License 2.0: see LICENSE for details.

"""A stand-in for the users' metadata store: objects by kind, lists, watches.

It speaks what the users publish: ``/v1/objects/KIND[/NAME[/status]]`` with lists in
pages, watches, revisions as conditions of writes, 410 for history that is gone,
429 beyond the rates.  Faults are attributes that tests set.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass
from typing import Any

from aiohttp import web

PAGE = 500
MAX_WAIT_SECONDS = 30.0


@dataclass
class Stored:
    """An object as it is stored."""

    name: str
    revision: int
    spec: Any
    status: Any = None

    def plain(self) -> dict[str, Any]:
        """:returns: the object as it is sent."""
        metadata = {
            "name": self.name,
            "revision": self.revision,
            "createdRev": self.revision,
            "finalizers": [],
            "deleting": False,
        }
        return {"metadata": metadata, "spec": self.spec, "status": self.status}


class StoreStandIn:
    """The store, in the test's own process.

    :param page: objects on one page of a list.
    """

    def __init__(self, page: int = PAGE) -> None:
        self.page = page
        self.kinds: dict[str, dict[str, Stored]] = {}
        self.revision = 0
        # What has happened: revision, kind, object, whether it was deleted.
        self.history: list[tuple[int, str, Stored, bool]] = []
        # Revisions up to here are forgotten.
        self.forgotten = 0
        self.changed = asyncio.Condition()
        self.calls: Counter[str] = Counter()
        # Watches that wait for a change.
        self.waiting = 0
        # Faults: a status that every call gets; calls that hang; writes that are
        # done and not answered; seconds by which each answer is late.
        self.refuse: int | None = None
        self.silent = False
        self.lose_writes = 0
        self.late_seconds = 0.0
        self.runner: web.AppRunner | None = None
        self.address = ""

    async def start(self, host: str = "127.0.0.1") -> None:
        """Listen at a free port."""
        app = web.Application()
        app.router.add_route("*", "/v1/objects/{path:.+}", self.handle)
        self.runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self.runner.setup()
        site = web.TCPSite(self.runner, host, 0)
        await site.start()
        port = self.runner.addresses[0][1]
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Close everything."""
        if self.runner is not None:
            await self.runner.cleanup()

    # What operators and endpoints write.

    async def put(self, kind: str, name: str, spec: Any, status: Any = None) -> int:
        """Write an object without a condition.

        :returns: the revision.
        """
        async with self.changed:
            return self._write(kind, name, spec, status)

    def _write(self, kind: str, name: str, spec: Any, status: Any) -> int:
        self.revision += 1
        stored = Stored(name, self.revision, spec, status)
        self.kinds.setdefault(kind, {})[name] = stored
        self.history.append((self.revision, kind, stored, False))
        self.changed.notify_all()
        return self.revision

    async def remove(self, kind: str, name: str) -> None:
        """Delete an object."""
        async with self.changed:
            stored = self.kinds[kind].pop(name)
            self.revision += 1
            self.history.append((self.revision, kind, stored, True))
            self.changed.notify_all()

    async def forget_history(self) -> None:
        """Forget all changes so far, and cut the watches that wait for more."""
        async with self.changed:
            self.forgotten = self.revision
            self.changed.notify_all()

    # Calls.

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Answer one call.

        :param request: the call.
        """
        kind, _, rest = request.match_info["path"].partition("/")
        watching = "watch" in request.query
        self.calls[f"{request.method} {kind}{' watch' if watching else ''}"] += 1
        if self.silent:
            await asyncio.sleep(MAX_WAIT_SECONDS)
        if self.refuse is not None:
            return web.Response(status=self.refuse)
        if self.late_seconds:
            await asyncio.sleep(self.late_seconds)
        if request.method == "GET":
            answer = await self._read(request, kind, rest, watching)
        else:
            answer = await self._change(request, kind, rest)
            if self.lose_writes:
                self.lose_writes -= 1
                assert request.transport is not None
                request.transport.abort()
        return answer

    async def _read(
        self, request: web.Request, kind: str, name: str, watching: bool
    ) -> web.Response:
        objects = self.kinds.get(kind, {})
        if name:
            stored = objects.get(name)
            return _json(stored.plain()) if stored else web.Response(status=404)
        if watching:
            return await self._watch(request, kind)
        after = request.query.get("sinceRev", "")
        names = [name for name in sorted(objects) if name > after]
        shown = names[: self.page]
        return _json(
            {
                "items": [objects[name].plain() for name in shown],
                "truncated": len(names) > len(shown),
                "asOf": self.revision,
            }
        )

    async def _watch(self, request: web.Request, kind: str) -> web.Response:
        after = int(request.query["watch"])
        wait = min(float(request.query["waitMs"]) / 1000, MAX_WAIT_SECONDS)
        forgotten = self.forgotten

        def events() -> list[dict[str, Any]]:
            return [
                {"object": stored.plain(), "deleted": deleted}
                for revision, of_kind, stored, deleted in self.history
                if revision > after and of_kind == kind
            ]

        async with self.changed:
            if after < self.forgotten:
                return web.Response(status=410)
            self.waiting += 1
            try:
                async with asyncio.timeout(wait):
                    await self.changed.wait_for(
                        lambda: bool(events()) or self.forgotten > forgotten
                    )
            except TimeoutError:
                pass
            finally:
                self.waiting -= 1
            if self.forgotten > forgotten:
                assert request.transport is not None
                request.transport.abort()
            return _json({"events": events(), "asOf": self.revision})

    async def _change(self, request: web.Request, kind: str, rest: str) -> web.Response:
        name, _, part = rest.partition("/")
        body = await request.json() if request.can_read_body else {}
        metadata = body.get("metadata") or {}
        name = name or metadata["name"]
        async with self.changed:
            stored = self.kinds.get(kind, {}).get(name)
            if request.method == "POST":
                if stored is not None:
                    return _json(stored.plain(), 409)
                self._write(kind, name, body.get("spec"), None)
                return _json(self.kinds[kind][name].plain())
            if stored is None:
                return web.Response(status=404)
            expected = metadata.get("revision")
            if expected is not None and expected != stored.revision:
                return _json(stored.plain(), 409)
            if request.method == "DELETE":
                del self.kinds[kind][name]
                self.revision += 1
                self.history.append((self.revision, kind, stored, True))
                self.changed.notify_all()
                return _json(stored.plain())
            spec = stored.spec if part == "status" else body.get("spec")
            status = body.get("status") if part == "status" else stored.status
            if (spec, status) != (stored.spec, stored.status):
                self._write(kind, name, spec, status)
            return _json(self.kinds[kind][name].plain())


def _json(value: Any, status: int = 200) -> web.Response:
    return web.json_response(value, status=status)
