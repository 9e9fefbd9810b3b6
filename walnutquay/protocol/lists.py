# Licensed under the Apache License 2.0: see LICENSE for details.

"""Lists as VMs send them to each other: compressed, and that of VMs in rows of JSON."""

from __future__ import annotations

import zlib
from collections.abc import Mapping

import orjson

from walnutquay.exceptions import MessageError
from walnutquay.state.fleet.membership import Address, VmLocation
from walnutquay.state.process.ids import HallName, VmName

# The fastest level.
COMPRESSION_LEVEL = 1
# The longest list that is unpacked: some 100 bytes for each of 10,000 VMs.
MAX_BYTES = 1 << 20


def pack(data: bytes) -> bytes:
    """:param data: a list that VMs send to each other.

    :returns: the list, compressed.
    """
    return zlib.compress(data, COMPRESSION_LEVEL)


def unpack(data: bytes, most: int = MAX_BYTES) -> bytes:
    """:param data: what :func:`pack` wrote.

    :param most: the longest list that is taken; bytes.
    :raises MessageError: if it is not that, or longer.
    """
    unpacker = zlib.decompressobj()
    try:
        plain = unpacker.decompress(data, most)
    except zlib.error as error:
        raise MessageError(f"not compressed: {error}", step="decode") from error
    if unpacker.unconsumed_tail or not unpacker.eof:
        raise MessageError("a list is too long, or not whole", step="decode")
    return plain


def pack_places(places: Mapping[VmName, VmLocation]) -> bytes:
    """:param places: where each VM is.

    :returns: the list; some 7 bytes a VM in a fleet of 195.
    """
    rows = [
        (vm, place.address.host, place.address.port, place.hall)
        for vm, place in sorted(places.items())
    ]
    return pack(orjson.dumps(rows))


def unpack_places(data: bytes) -> dict[VmName, VmLocation]:
    """:param data: what :func:`pack_places` wrote.

    :raises MessageError: if it is not that.
    """
    try:
        return {
            VmName(vm): VmLocation(Address(host, int(port)), HallName(hall))
            for vm, host, port, hall in orjson.loads(unpack(data))
        }
    except (orjson.JSONDecodeError, TypeError, ValueError) as error:
        raise MessageError(f"not a list of VMs: {error}", step="decode") from error
