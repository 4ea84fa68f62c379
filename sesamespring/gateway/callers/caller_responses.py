"""Send a target's response to the caller, buffered or streamed."""

import asyncio

import h11

from sesamespring.gateway.targets.attempt_data import without_framing
from sesamespring.http.channel import BODILESS_STATUSES
from sesamespring.http.headers import end_to_end_headers, header

__all__ = ["ResponseAborted", "send_response", "stream_response"]


class ResponseAborted(Exception):
    """Raised when a response was cut short and the caller's connection closed.

    Args:
        reason: Why, for the log.
        by_caller: Whether the caller left or did not read, so that the end says nothing
            about the target.
    """

    def __init__(self, reason, by_caller):
        super().__init__(reason)
        self.by_caller = by_caller


def send_response(incoming, response):
    """Send a response whose body is buffered.

    Args:
        incoming: The IncomingRequest.
        response: The TargetResponse with its body.
    """
    headers = end_to_end_headers(response.headers)
    if incoming.method == "HEAD" or response.status in BODILESS_STATUSES:
        incoming.send_head(response.status, headers)
        incoming.send_end()
        return
    incoming.send_whole(response.status, without_framing(headers), response.body)


async def stream_response(incoming, response, deadline_s, has_target_ended):
    """Stream a response from its target to the caller.

    Args:
        incoming: The IncomingRequest.
        response: The TargetResponse with its Channel.
        deadline_s: Time on the loop's clock at which the caller stops waiting.
        has_target_ended: Coroutine function that returns whether the target's process
            has ended; called where only the end of the connection ends the body.

    Raises:
        ResponseAborted: The target or the caller failed, or the deadline passed.
    """
    headers = end_to_end_headers(response.headers)
    if header(headers, b"content-length") is None:
        headers.append((b"transfer-encoding", b"chunked"))
    waits_for_caller = False
    try:
        async with asyncio.timeout_at(deadline_s):
            incoming.send_head(response.status, headers)
            async for piece in response.channel.iter_body():
                incoming.send_data(piece)
                waits_for_caller = True
                await incoming.drain()
                waits_for_caller = False
            if not response.channel.is_framed and await has_target_ended():
                raise ConnectionResetError("target ended inside its response")
            incoming.send_end()
    except (OSError, TimeoutError, h11.ProtocolError) as error:
        # The caller must not take a truncated response for a complete one.
        by_caller = waits_for_caller or incoming.disconnected
        incoming.abort()
        raise ResponseAborted(f"broken-off: {error!r}", by_caller) from error
