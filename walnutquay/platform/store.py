# Licensed under the Apache License 2.0: see LICENSE for details.

"""Calls of the platform's metadata store, which speaks HTTP and JSON."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any
from urllib.parse import quote

import aiohttp
import logbook
import orjson

from walnutquay.exceptions import (
    EarlierEraError,
    EndpointError,
    HistoryGoneError,
    MissingObjectError,
    PlatformBusyError,
    PlatformConflictError,
    PlatformError,
    PlatformUnavailableError,
    PlatformUnclearError,
)
from walnutquay.platform.lenient import read_json
from walnutquay.platform.names import ERA, OBJECTS_PATH
from walnutquay.platform.objects import (
    Answer,
    StoredEvent,
    StoredObject,
    read_listed,
    read_named,
)
from walnutquay.state.process.revisions import Era, EraTracker, StoreRevision
from walnutquay.transport.client import read_whole
from walnutquay.transport.connectors import KeptConnector
from walnutquay.transport.strays import OnStray, ignore_stray

log = logbook.Logger(__name__)

MILLISECONDS = 1000.0
# The store answers in some 4 ms; one that has not by now is away, or the way is.
CALL_SECONDS = 0.8
# A call that waits for changes may answer so much later than it was asked to.
WATCH_SLACK_SECONDS = 0.5
CONNECT_SECONDS = 0.5
JSON_TYPE = "application/json"
# An era has at most this many digits, so that it fits into 64 bits.
MAX_ERA_DIGITS = 18


class StoreClient:
    """Calls the store; one for each process.

    :param address: its ``IP:port``.
    :param caller: the name that this process gives in ``User-Agent``.
    :param call_seconds: how long a call may take; a watch takes its wait on top.
    :param count: told of each call, by what it is and for which kind; calls have a
        price, and whoever looks at it asks which ones there are.
    :param on_stray: told of bytes that answer no call.
    :param eras: the store's era, which is told of the one that each answer names.
    """

    def __init__(
        self,
        address: str,
        caller: str = "walnutquay",
        call_seconds: float = CALL_SECONDS,
        count: Callable[[str], None] = lambda name: None,
        on_stray: OnStray = ignore_stray,
        eras: EraTracker | None = None,
    ) -> None:
        self.count = count
        self.eras = eras or EraTracker()
        self.base = f"http://{address}{OBJECTS_PATH}"
        self.address = address
        self.call_seconds = call_seconds
        self.session = aiohttp.ClientSession(
            connector=KeptConnector(on_stray, limit=0),
            cookie_jar=aiohttp.DummyCookieJar(),
            headers={"User-Agent": caller},
        )

    async def close(self) -> None:
        """Close all connections."""
        await self.session.close()

    async def list(
        self, kind: str, *, stale: bool = False
    ) -> tuple[list[StoredObject], StoreRevision]:
        """List the objects of a kind, page by page.

        :param kind: the kind.
        :param stale: whether an answer that is seconds old will do.
        :returns: the objects, and the revision of the first page: changes after
            it may be in the later pages already, and watching from it shows them
            once more.
        :raises HistoryGoneError: if the store was restored between two pages.
        """
        found: list[StoredObject] = []
        revision: StoreRevision | None = None
        after: str | None = None
        while True:
            query = {} if after is None else {"sinceRev": after}
            if stale:
                query["allowStale"] = "1"
            answer = await self._call("GET", kind, query=query)
            body, era = answer.body, answer.era
            page = [
                stored for item in body["items"] if (stored := read_listed(item, era))
            ]
            found.extend(page)
            if revision is None:
                revision = StoreRevision(era, int(body["asOf"]))
            if era != revision.era:
                raise _restored(kind, "list")
            if not body["truncated"] or not page:
                return found, revision
            # Pages go on behind a name, whatever the parameter is called.
            after = page[-1].name

    async def watch(
        self, kind: str, revision: StoreRevision, seconds: float
    ) -> tuple[list[StoredEvent], StoreRevision]:
        """Wait for changes of a kind.

        :param kind: the kind.
        :param revision: the revision after which changes count.
        :param seconds: how long to wait for one.
        :returns: the changes in order, and the revision to go on from.
        :raises HistoryGoneError: if the store does not know them any more, or was
            restored since: it may have given the revision to another change.
        """
        if not self.eras.is_current(revision):
            raise _restored(kind, "watch")
        wait = str(int(seconds * MILLISECONDS))
        query = {"watch": str(revision.number), "waitMs": wait}
        limit = seconds + WATCH_SLACK_SECONDS
        answer = await self._call("GET", kind, query=query, limit=limit)
        if answer.era != revision.era:
            raise _restored(kind, "watch")
        events = [
            StoredEvent(stored, bool(event.get("deleted")))
            for event in answer.body["events"]
            if (stored := read_listed(event["object"], answer.era))
        ]
        return events, StoreRevision(answer.era, int(answer.body["asOf"]))

    async def get(self, kind: str, name: str) -> StoredObject | None:
        """:param kind: a kind.

        :param name: an object's name.
        :returns: the object, or None where there is none.
        """
        try:
            return read_named(name, await self._call("GET", kind, name))
        except MissingObjectError:
            return None

    async def create(self, kind: str, name: str, spec: Any) -> StoredObject:
        """Make an object.

        :param kind: the kind.
        :param name: its name.
        :param spec: its content.
        :raises PlatformConflictError: if it exists.
        """
        body = {"metadata": {"name": name}, "spec": spec}
        return read_named(name, await self._call("POST", kind, body=body))

    async def replace(
        self, kind: str, name: str, spec: Any, revision: StoreRevision | None
    ) -> StoredObject:
        """Replace an object's content.

        :param kind: the kind.
        :param name: its name.
        :param spec: its new content.
        :param revision: the revision that it must have; None for any.
        :raises PlatformConflictError: if it has another.
        """
        metadata: dict[str, Any] = {"name": name}
        if revision is not None:
            metadata["revision"] = revision.number
        body = {"metadata": metadata, "spec": spec}
        answer = await self._write(revision, "PUT", kind, name, body=body)
        return read_named(name, answer)

    async def write_status(
        self, kind: str, name: str, status: Any, revision: StoreRevision
    ) -> StoredObject:
        """Replace what is said of an object.

        :param kind: the kind.
        :param name: its name.
        :param status: what to say.
        :param revision: the revision that it must have.
        :raises PlatformConflictError: if it has another.
        """
        metadata = {"name": name, "revision": revision.number}
        body = {"metadata": metadata, "status": status}
        answer = await self._write(revision, "PUT", kind, name, "status", body=body)
        return read_named(name, answer)

    async def delete(
        self, kind: str, name: str, revision: StoreRevision | None = None
    ) -> None:
        """Remove an object; one that is gone already is no error.

        :param kind: the kind.
        :param name: its name.
        :param revision: the revision that it must have; None for any.
        :raises PlatformConflictError: if it has another.
        """
        query = None if revision is None else {"revision": str(revision.number)}
        try:
            await self._write(revision, "DELETE", kind, name, query=query)
        except MissingObjectError:
            return

    async def _write(
        self, revision: StoreRevision | None, method: str, *path: str, **more: Any
    ) -> Answer:
        """Make a call that changes an object if it has a revision.

        After a restore, another content of the object may have the same revision.

        :raises PlatformConflictError: if the store is known to have been restored since
            the revision was read.
        :raises PlatformUnclearError: if the answer is the first to tell that.
        """
        step, peer = method.lower(), "/".join(path)
        if revision is not None and not self.eras.is_current(revision):
            raise PlatformConflictError(
                "the store was restored since the object was read", step=step, peer=peer
            )
        answer = await self._call(method, *path, **more)
        if revision is not None and answer.era != revision.era:
            raise PlatformUnclearError(
                "the store was restored, and another content may have been changed",
                step=step,
                peer=peer,
            )
        return answer

    async def _call(
        self,
        method: str,
        *path: str,
        query: Mapping[str, str] | None = None,
        body: Any = None,
        limit: float | None = None,
    ) -> Answer:
        """Make one call.

        An answer that names no era is taken to be from the era in which it was asked.

        :raises PlatformUnavailableError: if the store did nothing.
        :raises PlatformUnclearError: if it may have done it.
        :raises EarlierEraError: if the answer is from before a restore of the store.
        """
        era = self.eras.current
        place = "/".join(quote(part, safe="") for part in path)
        step = method.lower()
        watching = bool(query) and "watch" in query
        what = "watch" if watching else step
        kind = path[0].replace("-", "_")
        self.count(f"store_calls_{what}_{kind}")
        timeout = aiohttp.ClientTimeout(
            total=limit or self.call_seconds, sock_connect=CONNECT_SECONDS
        )
        try:
            async with self.session.request(
                method,
                f"{self.base}/{place}",
                params=query or None,
                data=None if body is None else orjson.dumps(body),
                headers={"Content-Type": JSON_TYPE} if body is not None else None,
                timeout=timeout,
            ) as answer:
                content = await read_whole(answer, place)
                status = answer.status
                named = _era(answer.headers.get(ERA), place)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise PlatformUnavailableError(str(error), step=step, peer=place) from error
        except (TimeoutError, aiohttp.ClientError, OSError, EndpointError) as error:
            reason = str(error) or type(error).__name__
            raise PlatformUnclearError(reason, step=step, peer=place) from error
        era = era if named is None else named
        self.eras.observe(era)
        if era < self.eras.current:
            raise EarlierEraError(
                f"the answer is of era {era} of the store", step=step, peer=place
            )
        if status == 200 or status == 201:
            return Answer(_decoded(content, step, place), era)
        raise _failure(status, content, step, place)


def _era(text: str | None, place: str) -> Era | None:
    """Read the era that an answer names; None if it names none that can be read."""
    if text is None:
        return None
    if text.isascii() and text.isdecimal() and len(text) <= MAX_ERA_DIGITS:
        return Era(int(text))
    log.warn("ignored the era {!r} of an answer to a call of {}", text, place)
    return None


def _restored(kind: str, step: str) -> HistoryGoneError:
    return HistoryGoneError("the store was restored", step=step, peer=kind)


def _decoded(content: bytes, step: str, place: str) -> Any:
    try:
        return read_json(content) if content else None
    except ValueError as error:
        raise PlatformUnclearError(
            f"the store's answer cannot be read: {error}", step=step, peer=place
        ) from error


def _failure(status: int, content: bytes, step: str, place: str) -> PlatformError:
    """Give the meaning of a status that is no success."""
    if status == 404:
        return MissingObjectError("nothing is stored there", step=step, peer=place)
    if status == 409:
        return PlatformConflictError(
            "another revision is stored", step=step, peer=place
        )
    if status == 410:
        return HistoryGoneError("the history is gone", step=step, peer=place)
    if status == 429:
        return PlatformBusyError("the store's rate is used up", step=step, peer=place)
    if status == 503:
        return PlatformUnavailableError(
            f"the store refused the call ({status})", step=step, peer=place
        )
    if status >= 500:
        return PlatformUnclearError(
            f"the store failed ({status})", step=step, peer=place
        )
    text = content[:200].decode("utf-8", "replace")
    return PlatformError(
        f"the store did not take the call ({status}): {text}", step=step, peer=place
    )
