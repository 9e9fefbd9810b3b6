# Licensed under the Apache License 2.0: see LICENSE for details.

"""What it takes to read one object of the store: ``python -m lab.capacity.decoding``.

Processor time of this process, the least of some rounds, for others run beside it.
"""

from __future__ import annotations

import time
from collections.abc import Callable

from walnutquay.platform.records import decode_instance, decode_vm

ROUNDS = 7
OBJECTS = 3000
MICROSECONDS = 1e6
ENDPOINT = {
    "service": "plain",
    "address": "10.1.0.4:8000",
    "zone": "hall-a",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "coldLeftMs": 0,
    "seq": 1,
}
VM = {"host": "10.1.0.40", "port": 7340, "hall": "hall-a"}


def cost(read: Callable[[], object]) -> float:
    """:param read: reads one object.

    :returns: microseconds of processor time.
    """
    found = []
    for _ in range(ROUNDS):
        began = time.process_time()
        for _ in range(OBJECTS):
            read()
        found.append((time.process_time() - began) / OBJECTS)
    return min(found) * MICROSECONDS


def main() -> None:
    """Print what each kind takes."""
    for name, read in (
        ("an endpoint's entry", lambda: decode_instance("e1", ENDPOINT)),
        ("a VM's entry", lambda: decode_vm("vm-1", VM)),
    ):
        print(f"{name}: {cost(read):.1f} us")


if __name__ == "__main__":
    main()
