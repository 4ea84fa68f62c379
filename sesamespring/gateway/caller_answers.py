"""Pass a target's answer on to the caller, whole or as it comes in."""

import asyncio

import h11

from sesamespring.gateway.attempt import without_framing
from sesamespring.http.headers import end_to_end_headers, header

__all__ = ["BrokenOff", "send_answer", "stream_answer"]

BODILESS_STATUSES = (204, 304)


class BrokenOff(Exception):
    """Report that the caller's connection was dropped inside an answer."""


def send_answer(incoming, answer):
    """Send an answer that is at hand as a whole.

    Args:
        incoming: The IncomingRequest.
        answer: The TargetAnswer with its body.
    """
    headers = end_to_end_headers(answer.headers)
    if incoming.method == "HEAD" or answer.status in BODILESS_STATUSES:
        incoming.send_head(answer.status, headers)
        incoming.send_end()
        return
    incoming.send_whole(answer.status, without_framing(headers), answer.body)


async def stream_answer(incoming, answer, deadline_s):
    """Send a long answer as it comes in from its target.

    Args:
        incoming: The IncomingRequest.
        answer: The TargetAnswer with its Channel.
        deadline_s: Time at which the caller stops waiting.

    Raises:
        BrokenOff: The target, the caller or the time failed.
    """
    headers = end_to_end_headers(answer.headers)
    if header(headers, b"content-length") is None:
        headers.append((b"transfer-encoding", b"chunked"))
    try:
        async with asyncio.timeout_at(deadline_s):
            incoming.send_head(answer.status, headers)
            async for piece in answer.channel.iter_body():
                incoming.send_data(piece)
                await incoming.drain()
            incoming.send_end()
    except (OSError, TimeoutError, h11.ProtocolError) as error:
        # An answer that ends early must not look whole.
        incoming.abort()
        raise BrokenOff(f"broken-off: {error!r}") from error
