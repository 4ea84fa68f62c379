"""Buffer small request bodies so that they can be sent again; stream large ones."""

import asyncio
import functools

import attrs

from sesamespring.http.incoming import CallerDisconnected

__all__ = ["RequestBody", "read_body"]

BUFFERED_BODY_BYTES_MAX = 512 * 1024


@attrs.frozen
class RequestBody:
    """A request body, of which a long one is still being received.

    Attributes:
        start: Its bytes received so far: all of a body that is buffered.
        pieces: Function that returns an asynchronous iterator over the whole of a
            streamed body, or None if the body is buffered.
    """

    start: bytes
    pieces: object = None

    @property
    def buffered(self):
        """The complete body in bytes, or None if it is streamed."""
        return self.start if self.pieces is None else None


async def read_body(incoming, deadline_s, bytes_max):
    """Read a request body up to the buffering limit.

    Args:
        incoming: The IncomingRequest.
        deadline_s: Time on the loop's clock at which the caller stops waiting.
        bytes_max: Size limit of a streamed body, in bytes.

    Returns:
        The RequestBody; it is streamed if it is over ``BUFFERED_BODY_BYTES_MAX``.

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
                    start = b"".join(received)
                    rest = functools.partial(_iter_body, start, pieces, bytes_max)
                    return RequestBody(start, rest)
    except TimeoutError:
        raise CallerDisconnected from None
    return RequestBody(b"".join(received))


async def _iter_body(start, pieces, bytes_max):
    """Yield the buffered start of a body and then the rest as it arrives.

    Raises:
        CallerDisconnected: The caller disconnected, or the body is larger than
            ``bytes_max``.
    """
    size = len(start)
    yield start
    async for piece in pieces:
        size += len(piece)
        if size > bytes_max:
            raise CallerDisconnected
        yield piece
