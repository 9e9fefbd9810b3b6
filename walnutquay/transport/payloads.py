# Licensed under the Apache License 2.0: see LICENSE for details.

"""Bodies of requests, as they are handed to the HTTP library."""

from __future__ import annotations

import asyncio

import aiohttp
from aiohttp.abc import AbstractStreamWriter
from aiohttp.http_writer import StreamWriter

# Bodies up to this size are handed over at once.
SLICE_BYTES = 64 << 10


class SlicedBody(aiohttp.BytesPayload):
    """A large body that is written no faster than its endpoint reads it.

    The library would copy it whole to put it behind the head, and that copy would last
    until the endpoint has read it.

    :param value: the body.
    """

    def __init__(self, value: bytes) -> None:
        # The library warns of large bodies, which it would write at once.
        super().__init__(b"")
        self._value = value
        self._size = len(value)

    async def write_with_length(
        self, writer: AbstractStreamWriter, content_length: int | None
    ) -> None:
        """Write the body in slices.

        :param writer: where to.
        :param content_length: bytes to write at most; None for all.
        """
        view = memoryview(self._value)[:content_length]
        for start in range(0, len(view), SLICE_BYTES):
            assert isinstance(writer, StreamWriter)
            # The limit between two reads holds while the endpoint takes nothing.
            writer.protocol.start_timeout()
            try:
                await writer.write(view[start : start + SLICE_BYTES])
            except asyncio.CancelledError:
                # An endpoint that has answered early may still read the body.
                if writer.transport is not None:
                    writer.transport.write(view[start + SLICE_BYTES :])
                raise

    async def write(self, writer: AbstractStreamWriter) -> None:
        """Write all of the body.

        :param writer: where to.
        """
        await self.write_with_length(writer, None)


def payload_of(data: bytes | None) -> bytes | SlicedBody | None:
    """Return what the library is given of a body.

    :param data: the body; None if there is none.
    """
    if data is None or len(data) <= SLICE_BYTES:
        return data
    return SlicedBody(data)
