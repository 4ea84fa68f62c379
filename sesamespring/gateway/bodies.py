"""Buffer small request bodies so that they can be sent again; stream large ones."""

import asyncio

from sesamespring.http.incoming import CallerDisconnected

__all__ = ["read_body"]

BUFFERED_BODY_BYTES_MAX = 512 * 1024


async def read_body(incoming, deadline_s, bytes_max):
    """Read a request body up to the buffering limit.

    Args:
        incoming: The IncomingRequest.
        deadline_s: Time on the loop's clock at which the caller stops waiting.
        bytes_max: Size limit of a streamed body, in bytes.

    Returns:
        A pair: the complete body in bytes and None, or, for a body over
        ``BUFFERED_BODY_BYTES_MAX``, None and a function that returns an asynchronous
        iterator over the body.

    Raises:
        CallerDisconnected: The caller disconnected, or did not send the body before the
            deadline.
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
    """Yield the buffered pieces of a body and then the rest as it arrives.

    Raises:
        CallerDisconnected: The caller disconnected, or the body is larger than
            ``bytes_max``.
    """
    size = 0
    for piece in received:
        size += len(piece)
        yield piece
    async for piece in pieces:
        size += len(piece)
        if size > bytes_max:
            raise CallerDisconnected
        yield piece
