"""Send a request to one target and take in the answer."""

import asyncio

import attrs
import h11

from sesamespring.http.channel import ChannelClosed
from sesamespring.http.headers import FRAMING_HEADERS
from sesamespring.platform.headers import read_answer, target_request_headers
from sesamespring.routing.messages import AttemptEnd, Outcome

__all__ = ["Attempt", "AttemptDone", "Outgoing", "TargetAnswer", "without_framing"]

WHOLE_BYTES_MAX = 256 * 1024
STRAY_ANSWERS_MAX = 3


@attrs.define
class Outgoing:
    """A request as it goes to targets.

    Attributes:
        method: HTTP method.
        target: Request target.
        headers: End-to-end headers of the caller, without framing.
        request_id: The caller's request id in bytes.
        body: The whole body in bytes, or None where it is streamed.
        framing: The caller's headers that frame the body.
        pieces: Function that returns an asynchronous iterator of a streamed body.
        idempotent: Whether it may run more than once.
    """

    method: str
    target: str
    headers: list
    request_id: bytes
    body: bytes | None
    framing: list
    pieces: object
    idempotent: bool


@attrs.define
class TargetAnswer:
    """A target's answer.

    Attributes:
        status: HTTP status.
        headers: Its headers.
        body: The whole body, or None where it is read from ``channel``.
        channel: The Channel, while the body is being read, or None.
    """

    status: int
    headers: list
    body: bytes | None
    channel: object = None


@attrs.frozen
class AttemptDone:
    """Say how an attempt ended.

    Attributes:
        end: The AttemptEnd.
        entry: The TargetEntry.
        answer: The TargetAnswer, or None.
        reason: What went wrong, for the log.
    """

    end: AttemptEnd
    entry: object
    answer: TargetAnswer | None
    reason: str = ""


class Attempt:
    """One attempt at a target; it owns its connection while it runs.

    Args:
        dispatch: The Dispatch.
        outgoing: The Outgoing request.
        channels: The TargetChannels.
        deadline_s: Time at which the caller stops waiting.
    """

    def __init__(self, dispatch, outgoing, channels, deadline_s):
        self._dispatch = dispatch
        self._entry = dispatch.entry
        self._outgoing = outgoing
        self._channels = channels
        self._deadline_s = deadline_s
        self._clock = asyncio.get_running_loop().time
        self._started_s = self._clock()
        self._sent = False
        self._channel = None
        self._facts = None

    async def run(self):
        """Make the attempt and return its AttemptDone."""
        try:
            async with asyncio.timeout_at(self._deadline_s):
                return await self._send()
        except TimeoutError:
            outcome = Outcome.TIMED_OUT if self._sent else Outcome.NOT_SENT
            return self._done(outcome, reason="no answer in time")
        except asyncio.CancelledError:
            return self._done(Outcome.CANCELLED, reason="cancelled")
        except (OSError, h11.ProtocolError) as error:
            outcome = Outcome.BROKEN if self._sent else Outcome.NOT_SENT
            return self._done(outcome, reason=str(error) or type(error).__name__)
        finally:
            if self._channel is not None:
                self._channel.abort()

    async def _send(self):
        idempotent = self._outgoing.idempotent
        channel = self._channels.take_idle(self._entry.key, idempotent)
        if channel is not None:
            try:
                return await self._converse(channel)
            except (ChannelClosed, h11.ProtocolError):
                # The target may have closed the idle connection as the request left.
                if not idempotent or self._facts is not None:
                    raise
                self._channels.drop(self._entry.key)
                self._drop_channel()
        return await self._converse(await self._channels.open(self._entry.address))

    async def _converse(self, channel):
        self._channel = channel
        fresh = channel.exchange_count == 0
        outgoing = self._outgoing
        headers = target_request_headers(
            outgoing.headers, self._entry.id, self._deadline_s - self._clock()
        )
        sending = None
        if outgoing.body is None:
            headers += outgoing.framing
            channel.send_head(outgoing.method, outgoing.target, headers)
            sending = asyncio.ensure_future(self._pump(channel))
        else:
            if outgoing.body or outgoing.framing:
                headers.append((b"content-length", b"%d" % len(outgoing.body)))
            channel.send_head(outgoing.method, outgoing.target, headers)
            if outgoing.body:
                channel.send_data(outgoing.body)
            channel.send_end()
        self._sent = True
        try:
            return await self._receive(channel, fresh)
        finally:
            if sending is not None:
                sending.cancel()

    async def _pump(self, channel):
        """Send a streamed body; a caller that fails ends the connection."""
        try:
            async for piece in self._outgoing.pieces():
                channel.send_data(piece)
                await channel.drain()
            channel.send_end()
        except (ConnectionError, h11.ProtocolError):
            channel.abort()

    async def _receive(self, channel, fresh):
        for _ in range(STRAY_ANSWERS_MAX):
            head = await channel.receive_head()
            facts = read_answer(head.status_code, head.headers)
            body = await channel.read_body(WHOLE_BYTES_MAX)
            if self._is_ours(facts, fresh):
                self._facts = facts
                return self._judge(channel, head, facts, body)
            if body is None:
                break
            # An answer to an earlier request came late, where ours is due.
            channel.discard_response()
        raise h11.RemoteProtocolError("answers to other requests")

    def _is_ours(self, facts, fresh):
        if facts.request_id == self._outgoing.request_id:
            return True
        # A target that rejects need not name the request; nothing else can be on a
        # connection that carried no other request.
        return facts.request_id is None and facts.not_run and fresh

    def _judge(self, channel, head, facts, body):
        if facts.not_run and not facts.signed:
            self._put_back(channel, facts)
            outcome = Outcome.REJECTED
            if facts.misdirected:
                outcome = Outcome.MISDIRECTED
            return self._done(outcome, reason=f"status {head.status_code}")
        good = 200 <= head.status_code < 300
        if not facts.signed or facts.encoded:
            reason = f"status {head.status_code} without a target's signature"
            return self._done(Outcome.BROKEN, reason=reason)
        outcome = Outcome.ANSWERED if good else Outcome.FAILED
        answer = TargetAnswer(head.status_code, list(head.headers), body)
        if body is None:
            answer.channel = channel
            self._channel = None
        else:
            self._put_back(channel, facts)
        return self._done(outcome, answer)

    def _put_back(self, channel, facts):
        self._channel = None
        self._channels.put_back(self._entry, channel, facts.idle_s)

    def _drop_channel(self):
        self._channel.abort()
        self._channel = None

    def _done(self, outcome, answer=None, reason=""):
        facts = self._facts
        end = AttemptEnd(
            attempt=self._dispatch.attempt,
            outcome=outcome,
            taken_s=self._clock() - self._started_s,
            load=facts.load if facts else None,
            cold_left_s=facts.cold_left_s if facts else None,
        )
        return AttemptDone(end, self._entry, answer, reason)


def without_framing(headers):
    """Return headers without those that frame a body."""
    return [pair for pair in headers if pair[0] not in FRAMING_HEADERS]
