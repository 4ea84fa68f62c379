"""Read a request's body whole where it is small, so that it can be sent again."""

import asyncio

from sesamespring.http.incoming import CallerDisconnected

__all__ = ["read_body"]

BUFFERED_BODY_BYTES_MAX = 512 * 1024


async def read_body(incoming, deadline_s, bytes_max):
    """Return a pair of the whole body and a function that yields a long one.

    One of the two is None.

    Args:
        incoming: The IncomingRequest.
        deadline_s: Time at which the caller stops waiting.
        bytes_max: Largest body that may be passed on.

    Raises:
        CallerDisconnected: The caller went away or was too slow.
    """
    pieces = incoming.iter_body()
    received = []
    size = 0
    try:
        async with asyncio.timeout_at(deadline_s):
            async for piece in pieces:
                received.append(piece)
                size += len(piece)
                if size > BUFFERED_BODY_BYTES_MAX:
                    return None, lambda: _iter_body(received, pieces, bytes_max)
    except TimeoutError:
        raise CallerDisconnected from None
    return b"".join(received), None


async def _iter_body(received, pieces, bytes_max):
    """Yield the pieces read so far and then the rest of a streamed body."""
    size = 0
    for piece in received:
        size += len(piece)
        yield piece
    async for piece in pieces:
        size += len(piece)
        if size > bytes_max:
            raise CallerDisconnected
        yield piece
