# Licensed under the Apache License 2.0: see LICENSE for details.

"""A stand-in for the users' metadata store: objects by kind, lists, watches.

It speaks what the users publish: ``/v1/objects/KIND[/NAME[/status]]`` with lists in
pages, watches, revisions as conditions of writes, 410 for history that is gone,
429 beyond the rates.  Faults are attributes that tests set.  A test may run it in
its own process; :mod:`standins.platform` serves it as a process.
"""

from __future__ import annotations

import asyncio
import json
import math
import time
from collections import Counter, deque
from dataclasses import dataclass
from typing import Any
from urllib.parse import unquote

from aiohttp import web

PAGE = 500
MAX_WAIT_SECONDS = 30.0
# Bytes of an object's content, and of the body of a call around it.
MAX_VALUE = 1 << 20
MAX_BODY = 4 << 20
ERA_HEADER = "Store-Era"


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


@dataclass(frozen=True)
class Backup:
    """What a store is restored from.

    :param kinds: the objects by kind and name.
    :param revision: the store's revision.
    """

    kinds: dict[str, dict[str, Stored]]
    revision: int


class RateLimit:
    """Counts calls in the last second.

    :param per_second: calls that are allowed.
    """

    def __init__(self, per_second: float) -> None:
        self.per_second = per_second
        self.times: deque[float] = deque()

    def exceeded(self) -> bool:
        """:returns: whether this call is one too many; it is then not counted."""
        now = time.monotonic()
        while self.times and self.times[0] <= now - 1.0:
            self.times.popleft()
        if len(self.times) >= self.per_second:
            return True
        self.times.append(now)
        return False


class StoreStandIn:
    """The store.

    :param page: objects on one page of a list.
    :param writes: writes a second that are allowed.
    :param reads: reads a second that are allowed, watches among them.
    :param era: the era that it names in its answers; 0 for none.
    """

    def __init__(
        self,
        page: int = PAGE,
        writes: float = math.inf,
        reads: float = math.inf,
        era: int = 1,
    ) -> None:
        self.page = page
        self.writes = RateLimit(writes)
        self.reads = RateLimit(reads)
        self.kinds: dict[str, dict[str, Stored]] = {}
        self.revision = 0
        # What has happened: revision, kind, object, whether it was deleted.
        self.history: list[tuple[int, str, Stored, bool]] = []
        # Revisions up to here are forgotten.
        self.forgotten = 0
        self.restores = 0
        self.changed = asyncio.Condition()
        self.calls: Counter[str] = Counter()
        # Watches that wait for a change.
        self.waiting = 0
        # Faults: a status that every call gets; calls that hang; writes that are
        # done and not answered; seconds by which each answer is late; seconds by
        # which writes are done late; callers that are reset, by their name.
        self.refuse: int | None = None
        self.silent = False
        self.lose_writes = 0
        self.late_seconds = 0.0
        self.late_writes_seconds = 0.0
        self.turned_away: set[str] = set()
        self.late_tasks: set[asyncio.Task[None]] = set()
        # Items that lists show besides, as other programs may have written them.
        self.foreign_items: list[Any] = []
        # Texts that answers hold in the place of the values that are their names, as
        # no encoder would write them.
        self.raw: dict[str, str] = {}
        # Rises with each restore; 0 for a store that names none.
        self.era = era
        # What answers name instead of the era; None for what is true.
        self.named_era: str | None = None
        # What lists that may be old show: objects by kind, and the revision.
        self.stale_view: tuple[dict[str, dict[str, Stored]], int] | None = None
        self.app = web.Application(client_max_size=MAX_BODY)
        self.app.router.add_route("*", "/v1/objects/{path:.+}", self.handle)
        self.runner: web.AppRunner | None = None
        self.address = ""

    async def start(self, host: str = "127.0.0.1") -> None:
        """Listen at a free port."""
        self.runner = web.AppRunner(self.app, shutdown_timeout=0.1)
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

    def keep_stale_view(self) -> None:
        """Show lists that may be old as things are now, whatever comes."""
        kinds = {kind: dict(objects) for kind, objects in self.kinds.items()}
        self.stale_view = (kinds, self.revision)

    def copy(self) -> Backup:
        """:returns: a backup, as a store that is restored from it would be."""
        kinds = {kind: dict(objects) for kind, objects in self.kinds.items()}
        return Backup(kinds, self.revision)

    async def restore(self, backup: Backup) -> None:
        """Go back to a backup: its objects and revision, in the next era.

        Watches that wait are cut, and the history is gone.
        """
        async with self.changed:
            self.kinds = {kind: dict(items) for kind, items in backup.kinds.items()}
            self.revision = backup.revision
            self.history.clear()
            self.forgotten = backup.revision
            self.restores += 1
            self.era += 1
            self.changed.notify_all()

    # Calls.

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Answer one call, and name the era in which that was done.

        :param request: the call.
        """
        era = self.era
        answer = await self._answer(request)
        if self.raw and isinstance(answer, web.Response) and answer.body:
            answer.body = self._with_raw(answer.body)
        named = str(era) if self.named_era is None else self.named_era
        if era and named and not answer.prepared:
            answer.headers[ERA_HEADER] = named
        return answer

    def _with_raw(self, body: bytes) -> bytes:
        for name, text in self.raw.items():
            body = body.replace(json.dumps(name).encode(), text.encode("latin-1"))
        return body

    async def _answer(self, request: web.Request) -> web.StreamResponse:
        kind, rest = _split(request)
        watching = "watch" in request.query
        self.calls[f"{request.method} {kind}{' watch' if watching else ''}"] += 1
        if self.silent:
            await asyncio.sleep(MAX_WAIT_SECONDS)
        if self.refuse is not None:
            return web.Response(status=self.refuse)
        if request.headers.get("user-agent") in self.turned_away:
            return _broken(request)
        limit = self.reads if request.method == "GET" else self.writes
        if limit.exceeded():
            self.calls["refused"] += 1
            return web.Response(status=429, headers={"Retry-After": "1"})
        if self.late_seconds:
            await asyncio.sleep(self.late_seconds)
        if request.method == "GET":
            answer = await self._read(request, kind, rest, watching)
        else:
            await request.read()
            if self.late_writes_seconds:
                return await self._change_late(request, kind, rest)
            answer = await self._change(request, kind, rest)
            if self.lose_writes:
                self.lose_writes -= 1
                return _broken(request)
        return answer

    async def _change_late(
        self, request: web.Request, kind: str, rest: str
    ) -> web.Response:
        """Carry a write out long after its caller has given it up."""
        seconds = self.late_writes_seconds

        async def change() -> None:
            await asyncio.sleep(seconds)
            await self._change(request, kind, rest)

        task = asyncio.ensure_future(change())
        self.late_tasks.add(task)
        task.add_done_callback(self.late_tasks.discard)
        return _broken(request)

    async def _read(
        self, request: web.Request, kind: str, name: str, watching: bool
    ) -> web.Response:
        objects, revision = self.kinds.get(kind, {}), self.revision
        if name:
            stored = objects.get(unquote(name))
            return _json(stored.plain()) if stored else web.Response(status=404)
        if watching:
            return await self._watch(request, kind)
        if "allowStale" in request.query and self.stale_view is not None:
            kinds, revision = self.stale_view
            objects = kinds.get(kind, {})
        after = request.query.get("sinceRev", "")
        names = [name for name in sorted(objects) if name > after]
        shown = names[: self.page]
        return _json(
            {
                "items": [
                    *self.foreign_items,
                    *(objects[name].plain() for name in shown),
                ],
                "truncated": len(names) > len(shown),
                "asOf": revision,
            }
        )

    async def _watch(self, request: web.Request, kind: str) -> web.Response:
        after = int(request.query["watch"])
        wait = min(float(request.query["waitMs"]) / 1000, MAX_WAIT_SECONDS)
        forgotten, restores = self.forgotten, self.restores

        def is_cut() -> bool:
            return self.forgotten > forgotten or self.restores > restores

        def events() -> list[dict[str, Any]]:
            return [
                {"object": stored.plain(), "deleted": deleted}
                for revision, of_kind, stored, deleted in self.history
                if revision > after and of_kind == kind
            ]

        async with self.changed:
            if not self.forgotten <= after <= self.revision:
                return web.Response(status=410)
            self.waiting += 1
            try:
                async with asyncio.timeout(wait):
                    await self.changed.wait_for(lambda: bool(events()) or is_cut())
            except TimeoutError:
                pass
            finally:
                self.waiting -= 1
            if is_cut():
                return _broken(request)
            return _json({"events": events(), "asOf": self.revision})

    async def _change(self, request: web.Request, kind: str, rest: str) -> web.Response:
        name, _, part = rest.partition("/")
        text = await request.read()
        if len(text) > MAX_VALUE:
            return web.Response(status=413)
        body = json.loads(text) if text else {}
        metadata = body.get("metadata") or {}
        name = unquote(name) or metadata["name"]
        async with self.changed:
            stored = self.kinds.get(kind, {}).get(name)
            if request.method == "POST":
                if stored is not None:
                    return _json(stored.plain(), 409)
                self._write(kind, name, body.get("spec"), None)
                return _json(self.kinds[kind][name].plain())
            if stored is None:
                return web.Response(status=404)
            expected = metadata.get("revision", request.query.get("revision"))
            if expected is not None and int(expected) != stored.revision:
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


def _split(request: web.Request) -> tuple[str, str]:
    """:returns: a call's kind, and what stands behind it, as escaped in the path."""
    path = request.rel_url.raw_path.removeprefix("/v1/objects/")
    kind, _, rest = path.partition("/")
    return kind, rest


def _broken(request: web.Request) -> web.Response:
    """Reset a call's connection; the answer that is returned reaches nobody."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=500)


def _json(value: Any, status: int = 200) -> web.Response:
    return web.json_response(value, status=status)
