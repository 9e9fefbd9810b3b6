# Licensed under the Apache License 2.0: see LICENSE for details.

"""Callers of a soak: they keep connections, leave and come back."""

from __future__ import annotations

import asyncio
import itertools
import random
import time
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

from soak.behaviours import CRASHING, CRASHING_PART, FIRST_PART
from soak.connections import Connections, encode_request
from soak.fleet import APP, HOST, SoakFleet, Vm
from standins.answers import NotAnAnswerError

# A caller waits no longer, whatever the VM does.
PATIENCE_SECONDS = 12.0
DEADLINE_MS = 6000
# Some callers leave within so long.
LEAVE_SECONDS = (0.0, 0.2)
LEAVE_SHARE = 0.05
# Requests that end engines are brought again so often, and as often again.
CRASH_TRIES = 5
# Requests that share a part which ends engines, and parts that sound ones share.
PART_REQUESTS = 8
SHARED_PARTS = 5
# Requests a second, and the weight of each kind of them, as the work changes.
RATES = (10.0, 40.0)
WEIGHTS = (0.1, 1.0)


class Kind(Enum):
    """What is sent."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"
    # As safe calls, and more urgent.
    URGENT = "urgent"


@dataclass
class Sent:
    """A request, and what its caller got.

    :param request: its id.
    :param kind: what it is.
    :param vm: the VM that it was sent to.
    :param key: the key that it carried.
    :param body: its body.
    :param sent_at: when; monotonic seconds.
    :param status: the status; 0 where none came.
    :param answer: what came of the body.
    :param whole: whether the answer ended as its framing says.
    :param seal: the endpoint's signature.
    :param named: the id that the answer carries.
    :param junk: what came in place of an answer, in words.
    :param left: whether its caller left on purpose.
    :param ended_at: when its caller was done with it; monotonic seconds.
    """

    request: str
    kind: Kind
    vm: Vm
    key: str
    body: bytes
    sent_at: float
    status: int = 0
    answer: bytes = b""
    whole: bool = False
    seal: str = ""
    named: str = ""
    junk: str = ""
    left: bool = False
    ended_at: float = float("inf")


class Callers:
    """Sends requests to VMs, at a rate, and keeps what came of them.

    :param fleet: the VMs.
    :param seed: of all chance here.
    :param rate: requests a second.
    """

    def __init__(self, fleet: SoakFleet, seed: int, rate: float) -> None:
        self.fleet = fleet
        self.rng = random.Random(seed)
        self.rate = rate
        self.leave_share = LEAVE_SHARE
        self.numbers = itertools.count(1)
        self.sent: list[Sent] = []
        self.tasks: set[asyncio.Task[Sent]] = set()
        # How often each kind is sent, as against the others.
        self.weights = dict.fromkeys(Kind, 1.0)
        # Kept connections stay open until the process that holds them is gone.
        self.connections = {
            vm.name: Connections(HOST, vm.ports["callers"]) for vm in fleet.vms
        }

    async def run(self, seconds: float) -> None:
        """Send requests for some time.

        :param seconds: for how long.
        """
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            (kind,) = self.rng.choices(list(Kind), list(self.weights.values()))
            self.spawn(kind, self.rng.choice(self.fleet.vms))
            await asyncio.sleep(self.rng.expovariate(self.rate))

    def change_work(self, rng: random.Random) -> None:
        """Send more or fewer requests from now on, and another mix of them.

        :param rng: draws them.
        """
        self.rate = rng.uniform(*RATES)
        self.weights = {kind: rng.uniform(*WEIGHTS) for kind in Kind}

    async def close(self) -> None:
        """Wait for the last answers, and close all connections."""
        await asyncio.gather(*self.tasks)
        for connections in self.connections.values():
            connections.close()

    def strays(self) -> list[tuple[str, bytes]]:
        """:returns: what came while no request was waiting, by the VM's name."""
        return [(n, data) for n, own in self.connections.items() for data in own.strays]

    def spawn(self, kind: Kind, vm: Vm, body: bytes = b"") -> asyncio.Task[Sent]:
        """Send a request in the background."""
        task = asyncio.ensure_future(self.send(kind, vm, body))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def burst(
        self,
        kinds: Sequence[Kind],
        seconds: float,
        rate: float,
        favourite: Vm | None = None,
    ) -> list[Sent]:
        """Send more requests for some time, and wait for their answers.

        :param kinds: what is sent.
        :param seconds: for how long.
        :param rate: requests a second.
        :param favourite: the VM that gets all of them; None for any.
        :returns: those whose callers stayed.
        """
        tasks = []
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            vm = favourite or self.rng.choice(self.fleet.vms)
            tasks.append(self.spawn(self.rng.choice(kinds), vm))
            await asyncio.sleep(self.rng.expovariate(rate))
        return [one for one in await asyncio.gather(*tasks) if not one.left]

    async def bring_crashing(self, path: str) -> None:
        """Bring a request that ends engines, again and again, through any VM.

        :param path: what makes it another request than the ones before.
        """
        for _ in range(CRASH_TRIES):
            vm = self.rng.choice(self.fleet.vms)
            await self.send(Kind.STREAM, vm, CRASHING, path)
            await asyncio.sleep(self.rng.uniform(0.0, 1.0))

    async def bring_crashing_part(self, name: str) -> None:
        """Bring requests like no others that share a part which ends engines.

        :param name: what makes it another part than the ones before.
        """
        for number in range(PART_REQUESTS):
            vm = self.rng.choice(self.fleet.vms)
            part = f"{CRASHING_PART}{name}"
            body = f"part {name} {number}".encode()
            await self.send(Kind.STREAM, vm, body, f"p{number}", part=part)
            await asyncio.sleep(self.rng.uniform(0.0, 0.5))

    async def send(
        self,
        kind: Kind,
        vm: Vm,
        body: bytes = b"",
        path: str = "x",
        key: str = "",
        part: str = "",
    ) -> Sent:
        """Send one request.

        :param kind: what to send.
        :param vm: where to.
        :param body: its body; one of its own if empty.
        :param path: the rest of its path.
        :param key: the key that it carries; one that is drawn if empty.
        :param part: a part of its prompt, besides the usual ones; none if empty.
        :returns: what came of it.
        """
        request = f"r{next(self.numbers)}"
        keys = [key for own in self.fleet.keys.values() for key in own]
        key = key or (keys[0] if body else self.rng.choice(keys))
        content = body or f"body of {request}".encode()
        sent = Sent(request, kind, vm, key, content, time.monotonic())
        self.sent.append(sent)
        patience = PATIENCE_SECONDS
        if not body and self.rng.random() < self.leave_share:
            patience = self.rng.uniform(*LEAVE_SECONDS)
            sent.left = True
        try:
            async with asyncio.timeout(patience):
                await self._exchange(sent, path, part)
        except (TimeoutError, OSError):
            # What came until then is kept; the judge decides what it must be.
            pass
        except NotAnAnswerError as error:
            sent.junk = str(error)
        sent.ended_at = time.monotonic()
        return sent

    async def _exchange(self, sent: Sent, path: str, part: str) -> None:
        shared = f"q{self.rng.randrange(SHARED_PARTS)}"
        names = [FIRST_PART, shared, *([part] if part else []), f"f{sent.request}"]
        headers = {
            "Host": APP,
            "Request-Id": sent.request,
            "Deadline": str(DEADLINE_MS),
            "Authorization": f"Bearer {sent.key}",
            "Model": "*",
            "Token-Count": "100,10",
            "Prefix-Hash": ",".join(f"{name}:20" for name in names),
        }
        target = f"/{sent.kind.value}/{path}"
        request = encode_request("POST", target, headers, sent.body)
        connections = self.connections[sent.vm.name]
        connection = await connections.take()
        kept = False
        try:
            answer = await connection.exchange(request, "POST")
            if answer is not None:
                sent.status = answer.status
                sent.seal = answer.headers.get("reply-seal", "")
                sent.named = answer.headers.get("request-id", "")
                sent.answer, sent.whole = answer.body, answer.whole
                kept = answer.whole and not answer.closes
        finally:
            if kept:
                connections.give_back(connection)
            else:
                connection.abort()
