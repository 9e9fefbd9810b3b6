"""A new version of a service breaks off half of its answers, and is taken for good."""

from __future__ import annotations

import asyncio
import random
import socket
import struct
import sys
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path[:0] = [str(HERE.parent), str(HERE.parent.parent)]

import harness  # noqa: E402

# The share of the new version's requests that fail, and of those how it fails.
FAILED_SHARE = 0.5
ORDER_SECONDS = 16.0
ORDER_AT_SECONDS = 3.0
ACQUAINTED_SECONDS = 3.0
REQUESTS_A_SECOND = 40.0
WORK_SECONDS = 0.04
# The bounds of the settings.
EXPOSE_SHARE, EXPOSE_SLACK, ROLLBACK_SECONDS, BAD_ANSWERS = 0.15, 30.0, 5.0, 50
RESET = struct.pack("ii", 1, 0)
BODY = b"." * 800


class VersionedWorker:
    """A worker of one version; a bad one resets the connection within its answer.

    :param name: its id.
    :param version: its version.
    :param fails: draws whether an answer fails.
    :param tell: told of what it runs.
    """

    def __init__(
        self,
        name: str,
        version: str,
        fails: Callable[[], bool],
        tell: Callable[[str], None],
    ) -> None:
        self.name = name
        self.version = version
        self.fails = fails
        self.tell = tell
        # When each request came, by its id, and when answers failed.
        self.came: dict[str, float] = {}
        self.failed: list[float] = []
        self.address = ""

    async def start(self) -> None:
        """Listen at a free port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def entry(self) -> dict[str, object]:
        """Return what it writes into the store."""
        return {
            "service": "app",
            "address": self.address,
            "zone": "hall-a",
            "version": self.version,
            "slots": 16,
            "state": "ready",
            "coldLeftMs": 0,
            "seq": 1,
        }

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while await self._one(reader, writer):
                pass
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        head = (await reader.readuntil(harness.HEAD_END)).decode("latin-1")
        headers = {}
        for line in head.split("\r\n")[1:-2]:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        await reader.readexactly(int(headers.get("content-length", "0")))
        request = headers["request-id"]
        if headers.get("target-instance", self.name) != self.name:
            writer.write(b"HTTP/1.1 421 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
            return True
        self.came[request] = time.monotonic()
        fails = self.fails()
        await asyncio.sleep(WORK_SECONDS)
        answer = (
            f"HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\n"
            f"Reply-Seal: seal-of-{request}\r\nContent-Length: {len(BODY)}\r\n\r\n"
        ).encode() + BODY
        if not fails:
            writer.write(answer)
            self.tell(f"{self.version} {self.name} ran {request}")
            return True
        writer.write(answer[: -len(BODY) // 2])
        await writer.drain()
        await asyncio.sleep(0.01)
        self.failed.append(time.monotonic())
        self.tell(f"{self.version} {self.name} ran {request}, breaks off its answer")
        bound = writer.get_extra_info("socket")
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        return False


async def play(deployment: harness.Deployment) -> int:
    """Play the case.

    :returns: the exit code.
    """
    record = deployment.record
    rng = random.Random(1)
    share = FAILED_SHARE if harness.troubled() else 0.0
    await deployment.start(2)
    old = [
        VersionedWorker(f"i-old-{number}", "v1", lambda: False, record.line)
        for number in range(3)
    ]
    new = [
        VersionedWorker(
            f"i-new-{number}", "v2", lambda: rng.random() < share, record.line
        )
        for number in range(3)
    ]
    store = deployment.store
    configuration = {
        "version": 1,
        "routes": [harness.route("plain", "unsafe", "app", timeoutMs=3000, sloMs=400)],
        "services": [{"name": "app", "healthPath": "/healthz", "maxConns": 100}],
    }
    await store.put("config", "main", configuration)
    for worker in old:
        await worker.start()
        await store.put("servers", worker.name, worker.entry())
    await deployment.start_vms()
    await asyncio.sleep(ACQUAINTED_SECONDS)
    answers: Counter[str] = Counter()

    async def call(number: int) -> None:
        request = f"r{number}"
        vm = deployment.vms[number % len(deployment.vms)]
        reader, writer = await asyncio.open_connection(vm.host, vm.ports["callers"])
        writer.write(harness.request_bytes("POST", "/plain/a", request, b"body"))
        answer = await harness.read_answer(reader)
        writer.close()
        whole = "" if answer.whole else " broken off"
        answers[f"{answer.status}{whole}"] += 1
        record.line(f"client has {request}: {answer.status}{whole}")

    calls = []
    ordered = ended = None
    began = time.monotonic()
    while ended is None or time.monotonic() < ended:
        number = len(calls)
        due = began + number / REQUESTS_A_SECOND
        await asyncio.sleep(max(0.0, due - time.monotonic()))
        if ordered is None and time.monotonic() >= began + ORDER_AT_SECONDS:
            for worker in new:
                await worker.start()
                await store.put("servers", worker.name, worker.entry())
            order = {"service": "app", "toVersion": "v2", "durationS": ORDER_SECONDS}
            await store.put("rollouts", "app", order)
            ordered = time.monotonic()
            ended = ordered + ORDER_SECONDS
            record.line("the operator orders v2 of app")
        calls.append(asyncio.ensure_future(call(number)))
    await asyncio.gather(*calls)
    status = store.kinds["rollouts"]["app"].status
    record.line(f"the order's status: {status}")

    def within(workers: list[VersionedWorker]) -> int:
        return sum(
            ordered <= at <= ended for one in workers for at in one.came.values()
        )

    exposed, total = within(new), within(old) + within(new)
    allowed = EXPOSE_SHARE * total + EXPOSE_SLACK
    failed = sorted(at for one in new for at in one.failed)
    late = 0
    if len(failed) >= BAD_ANSWERS:
        bound = failed[BAD_ANSWERS - 1] + ROLLBACK_SECONDS
        late = sum(at > bound for one in new for at in one.came.values())
    record.line(
        f"of {total} requests that reached app until the order's end, v2 got "
        f"{exposed}; {allowed:.0f} allowed for a bad version; {len(failed)} answers "
        f"of v2 failed; {late} requests came to it over {ROLLBACK_SECONDS:.0f} s after "
        f"the 50th"
    )
    record.line(f"answers to clients: {dict(answers)}")
    if not failed:
        # A good version may get all requests.
        return harness.HELD
    if exposed > allowed or late:
        record.line("EXPOSURE: a bad version got more")
        return harness.BROKEN
    return harness.HELD


if __name__ == "__main__":
    harness.run(HERE, play)
