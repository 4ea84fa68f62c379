"""Send a request to one target, or through another VM, and receive the response."""

import asyncio
import functools

import attrs
import h11

from sesamespring.gateway.targets.attempt_data import (
    AttemptResult,
    RelayEndpoint,
    TargetResponse,
)
from sesamespring.gateway.targets.connection_pool import LinkState
from sesamespring.gateway.targets.relay_messages import (
    TARGET_DOWN,
    relay_outcome,
    relay_request_headers,
)
from sesamespring.gateway.targets.target_paths import BreakCause
from sesamespring.http.channel import ChannelClosed
from sesamespring.platform.headers import parse_response_headers, target_request_headers
from sesamespring.routing.messages import AttemptEnded, Outcome

__all__ = ["Attempt"]

BUFFERED_BYTES_MAX = 256 * 1024
STRAY_RESPONSES_MAX = 3


class _NotWanted(Exception):
    """Raised when the target wants no request of this VM."""


class Attempt:
    """One attempt to run a request at a target; it owns its connection meanwhile.

    Args:
        dispatch: The Dispatch of the scheduler.
        outgoing: The OutgoingRequest.
        paths: The TargetPaths.
        availability: The TargetAvailability.
        deadline_s: Time on the loop's clock at which the caller stops waiting.
        may_relay: Whether another VM may send the request where this one does not reach
            the target.
    """

    def __init__(
        self, dispatch, outgoing, paths, availability, deadline_s, may_relay=True
    ):
        self._dispatch = dispatch
        self._entry = dispatch.entry
        self._outgoing = outgoing
        self._paths = paths
        self._availability = availability
        self._connections = paths.connections
        self._deadline_s = deadline_s
        self._may_relay = may_relay
        self._relay = None
        self._is_target_down = False
        self._clock = asyncio.get_running_loop().time
        self._started_s = self._clock()
        self._paused_before_s = paths.paused_s
        self._sent = False
        # Whether the caller, not the target, ended the exchange inside the body.
        self._has_caller_failed = False
        self._channel = None
        self._metadata = None

    @property
    def _may_repeat(self):
        """Whether the request may be sent again after a part of it was."""
        return self._outgoing.idempotent and self._outgoing.body.may_send_again

    async def run(self):
        """Make the attempt and return its AttemptResult.

        Timeouts, cancellation and connection errors are reported in the result.
        """
        try:
            async with asyncio.timeout_at(self._deadline_s):
                return await self._send()
        except TimeoutError:
            outcome = Outcome.TIMED_OUT if self._sent else Outcome.NOT_SENT
            return self._result(outcome, reason="no answer in time")
        except asyncio.CancelledError:
            return self._result(Outcome.CANCELLED, reason="cancelled")
        except _NotWanted:
            return self._result_not_wanted()
        except Exception as error:
            # Of the connection, or of anything else: the request gets its result.
            return await self._failed_result(error)
        finally:
            if self._channel is not None:
                self._channel.abort()

    async def _failed_result(self, error):
        """Return the AttemptResult after an error of the connection."""
        reason = str(error) or type(error).__name__
        if not self._sent:
            return self._result(Outcome.NOT_SENT, reason=reason)
        result = self._result(Outcome.BROKEN, reason=reason)
        if self._has_caller_failed:
            end = attrs.evolve(result.end, blameless=True)
            return attrs.evolve(result, end=end)
        if self._relay is not None:
            return result
        cause = await self._paths.break_cause(self._entry)
        end = attrs.evolve(result.end, blameless=cause is BreakCause.PATH_CUT)
        crashed = cause is BreakCause.TARGET_CRASHED
        return attrs.evolve(result, end=end, target_crashed=crashed)

    def _result_not_wanted(self):
        """Return the AttemptResult if the target wants no further request of this VM.

        An earlier connection may have broken with the request on it.
        """
        outcome = Outcome.BROKEN if self._sent else Outcome.NOT_SENT
        result = self._result(outcome, reason="not wanted by the target")
        end = attrs.evolve(result.end, blameless=True)
        return attrs.evolve(result, end=end)

    async def _send(self):
        idempotent = self._outgoing.idempotent
        channel = None
        if self._paths.may_reuse(self._entry):
            channel = self._connections.take_idle(self._entry.key, idempotent)
        if channel is not None:
            try:
                return await self._exchange(channel)
            except (ChannelClosed, h11.ProtocolError):
                # The target may have closed the idle connection while the request was
                # being sent, so an idempotent one is sent again on a new connection.
                if not self._may_repeat or self._metadata is not None:
                    raise
                self._connections.drop(self._entry.key)
                self._abort_channel()
        return await self._send_on_new_connection()

    async def _send_on_new_connection(self):
        """Send the request over a new connection, or through another VM.

        If a first connection broke with the request on it and a new one is refused, the
        request may have ended the target, so no other VM tries the same target.
        """
        if self._paths.reaches(self._entry):
            try:
                channel = await self._paths.connect(self._entry)
            except OSError:
                if self._sent:
                    raise
                result = await self._send_through_relays()
                if result is None:
                    raise
                return result
            return await self._exchange(channel)
        result = await self._send_through_relays()
        if result is not None:
            return result
        return await self._exchange(await self._paths.connect(self._entry))

    async def _send_through_relays(self):
        """Let other VMs send the request, one after the other until one reaches it.

        A streamed body can be passed on once only, so a VM is asked first whether it
        reaches the target.

        Returns:
            The AttemptResult, or None if none of them could send it.
        """
        if not self._may_relay:
            return None
        subject = f"{self._outgoing.request_id}/{self._dispatch.attempt}"
        members = self._paths.relays(self._entry, subject)
        for member in members:
            if self._outgoing.body.is_streamed and not await self._is_reached(member):
                continue
            relay = RelayEndpoint((member.name, member.incarnation), member.address)
            result = await self._send_through(relay)
            if result is not None:
                return result
        if self._is_target_down:
            self._paths.target_failed_everywhere(self._entry)
        return None

    async def _is_reached(self, member):
        """Return whether another VM says that it reaches the target."""
        report = await self._paths.ask(member, self._entry)
        self._is_target_down = report.is_target_down
        return report.link is LinkState.REACHED

    async def _send_through(self, relay):
        """Let one VM send the request; return None if another one may try."""
        pool = self._paths.relay_connections
        try:
            channel = pool.take_idle(relay.key, self._outgoing.idempotent)
            if channel is None:
                channel = await pool.open(relay.address)
        except OSError:
            return None
        self._relay = relay
        was_sent = self._sent
        result = await self._exchange(channel)
        if result.end.outcome is Outcome.NOT_SENT:
            self._relay = None
            self._sent = was_sent
            return None if self._outgoing.body.may_send_again else result
        return result

    async def _exchange(self, channel):
        """Send the request on a connection, watch it, and receive the response."""
        self._channel = channel
        if self._relay is not None:
            return await self._exchange_unwatched(channel)
        if not self._availability.may_send(self._entry):
            raise _NotWanted
        silence_s = self._paths.silence_s(self._dispatch.expected_s)
        timer = asyncio.get_running_loop().call_later(
            silence_s, self._paths.suspect, self._entry, self._clock()
        )
        on_lost = functools.partial(self._abort_if_repeatable, channel)
        self._paths.watch(self._entry, on_lost)
        try:
            return await self._exchange_unwatched(channel)
        finally:
            timer.cancel()
            self._paths.unwatch(self._entry, on_lost)

    def _abort_if_repeatable(self, channel):
        if self._may_repeat:
            channel.abort()

    async def _exchange_unwatched(self, channel):
        is_first = channel.exchange_count == 0
        outgoing = self._outgoing
        headers = target_request_headers(
            outgoing.headers,
            self._entry.id,
            self._deadline_s - self._clock(),
            outgoing.account,
        )
        if self._relay is not None:
            headers = relay_request_headers(
                headers,
                self._entry.key,
                outgoing.idempotent,
                outgoing.caller,
                outgoing.account,
            )
        sending = None
        if outgoing.body.is_streamed:
            headers += outgoing.framing
            channel.send_head(outgoing.method, outgoing.target, headers)
            sending = asyncio.ensure_future(self._send_body(channel))
        else:
            body = outgoing.body.start
            if body or outgoing.framing:
                headers.append((b"content-length", b"%d" % len(body)))
            channel.send_head(outgoing.method, outgoing.target, headers)
            if body:
                channel.send_data(body)
            channel.send_end()
        self._sent = True
        try:
            return await self._receive(channel, is_first)
        finally:
            if sending is not None:
                sending.cancel()

    async def _send_body(self, channel):
        """Send a streamed body; abort the connection if the caller fails meanwhile."""
        try:
            async for piece in self._outgoing.body.pieces():
                channel.send_data(piece)
                await channel.drain()
            channel.send_end()
        except (ConnectionError, h11.ProtocolError) as error:
            self._has_caller_failed = not isinstance(error, ChannelClosed)
            channel.abort()

    async def _receive(self, channel, is_first):
        """Receive the response to the request and return the AttemptResult.

        Args:
            channel: The Channel.
            is_first: Whether the request is the first one on the connection.

        Raises:
            h11.RemoteProtocolError: The responses received belong to other requests.
            ConnectionRefusedError: The target's process ended inside a response that
                does not say where its body ends.
        """
        for _ in range(STRAY_RESPONSES_MAX):
            head = await channel.receive_head()
            if self._relay is None:
                self._paths.record_contact(self._entry)
            elif outcome := relay_outcome(head.headers):
                self._is_target_down = outcome == TARGET_DOWN
                await channel.read_body(BUFFERED_BYTES_MAX)
                self._put_back(channel, None)
                return self._result(Outcome.NOT_SENT, reason="not sent by the relay")
            metadata = parse_response_headers(head.status_code, head.headers)
            body = await channel.read_body(BUFFERED_BYTES_MAX)
            if self._relay is not None or self._matches_request(metadata, is_first):
                if body is not None and not channel.is_framed:
                    await self._check_target_runs()
                self._metadata = metadata
                self._record_availability(metadata)
                return self._classify(channel, head, metadata, body)
            if body is None:
                break
            # A late response to an earlier request: read on for ours.
            channel.discard_response()
        raise h11.RemoteProtocolError("target sent responses to other requests only")

    def _record_availability(self, metadata):
        """Record what the target states; a backoff only if this VM sent the request."""
        if metadata.misdirected:
            return
        self._availability.record_leaving(self._entry, metadata)
        self._availability.record_malformed(self._entry, metadata)
        if self._relay is None and metadata.not_run:
            self._availability.record_backoff(self._entry, metadata)

    async def _check_target_runs(self):
        """Check that the connection ended with the response, and not with the target.

        Raises:
            ConnectionRefusedError: The target's process has ended.
        """
        if await self._paths.break_cause(self._entry) is not BreakCause.OTHER:
            raise ConnectionRefusedError("target ended inside its response")

    def _matches_request(self, metadata, is_first):
        if metadata.request_id == self._outgoing.request_id:
            return True
        # A target need not state the request id when it rejects a request. Such a
        # response is unambiguous only on a connection that carried no other request.
        return metadata.request_id is None and metadata.not_run and is_first

    def _classify(self, channel, head, metadata, body):
        """Return the AttemptResult of a response that belongs to the request.

        A response with neither a target's signature nor the statement that the request
        has not run was not made by a target, and an encoded body is not the target's
        own: the outcome is unknown, hence BROKEN.
        """
        if metadata.not_run and not metadata.signed:
            self._put_back(channel, metadata.idle_s)
            outcome = Outcome.REJECTED
            if metadata.misdirected:
                outcome = Outcome.MISDIRECTED
            rejection = TargetResponse(head.status_code, list(head.headers), body)
            result = self._result(outcome, reason=f"status {head.status_code}")
            return attrs.evolve(result, rejection=rejection)
        succeeded = 200 <= head.status_code < 300
        if not metadata.signed or metadata.encoded:
            reason = f"status {head.status_code} without a target's signature"
            return self._result(Outcome.BROKEN, reason=reason)
        outcome = Outcome.ANSWERED if succeeded else Outcome.FAILED
        response = TargetResponse(head.status_code, list(head.headers), body)
        if body is None:
            response.channel = channel
            self._channel = None
        else:
            self._put_back(channel, metadata.idle_s)
        return self._result(outcome, response)

    def _put_back(self, channel, idle_s):
        self._channel = None
        if self._relay is None:
            self._connections.put_back(self._entry, channel, idle_s)
        else:
            self._paths.relay_connections.put_back(self._relay, channel, None)

    def _abort_channel(self):
        self._channel.abort()
        self._channel = None

    def _result(self, outcome, response=None, reason=""):
        metadata = self._metadata
        paused_s = self._paths.paused_s - self._paused_before_s
        elapsed_s = self._clock() - self._started_s - paused_s
        end = AttemptEnded(
            attempt=self._dispatch.attempt,
            outcome=outcome,
            taken_s=max(0.0, elapsed_s - self._outgoing.body.waited_s),
            load=metadata.load if metadata else None,
            cold_left_s=metadata.cold_left_s if metadata else None,
            limit_per_s=self._stated_limit(),
        )
        return AttemptResult(end, self._entry, response, reason, relay=self._relay)

    def _stated_limit(self):
        """Return the limit in the response if its sender is the expected target."""
        metadata = self._metadata
        if metadata is None or metadata.misdirected:
            return None
        return metadata.limit_per_s if metadata.signed or metadata.not_run else None
