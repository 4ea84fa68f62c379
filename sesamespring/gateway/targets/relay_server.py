"""Make single attempts at targets for VMs that do not reach them."""

import asyncio

import attrs
import h11

from sesamespring.gateway.callers.bodies import BodyTooSlow, read_body
from sesamespring.gateway.callers.caller_responses import (
    ResponseAborted,
    send_response,
    stream_response,
)
from sesamespring.gateway.targets.attempt import Attempt
from sesamespring.gateway.targets.attempt_data import OutgoingRequest, without_framing
from sesamespring.gateway.targets.connection_pool import LinkState
from sesamespring.gateway.targets.relay_messages import (
    NOT_SENT,
    STATUS_OF_LINK,
    TARGET_DOWN,
    parse_relay_order,
    relay_outcome_header,
)
from sesamespring.http.headers import FRAMING_HEADERS, end_to_end_headers, header
from sesamespring.http.incoming import CallerDisconnected
from sesamespring.platform.headers import read_request_id, read_timeout_s
from sesamespring.routing.messages import Outcome
from sesamespring.routing.request_content import callers_content_id, content_id

__all__ = ["RelayServer"]

# Other VMs always state how much time is left.
DEFAULT_TIMEOUT_S = 1.0
NOT_SENT_STATUS = 503
UNKNOWN_STATUS = 404


@attrs.frozen
class _RelayDispatch:
    """What an Attempt needs of a Dispatch; another VM's scheduler sent the request.

    Attributes:
        entry: The TargetEntry.
        attempt: Number of the attempt, which has none here.
        expected_s: Expected duration, unknown here, in seconds.
    """

    entry: object
    attempt: int = 0
    expected_s: float = 0.0


class RelayServer:
    """Handles the attempts of other VMs on this VM's internal port.

    Args:
        context: The GatewayContext.
    """

    def __init__(self, context):
        self._context = context
        self._in_progress = 0

    @property
    def in_progress(self):
        """Number of attempts for other VMs that are in progress."""
        return self._in_progress

    async def respond_reachability(self, incoming, key):
        """Tell another VM whether a target accepts this VM's connections.

        Args:
            incoming: The IncomingRequest.
            key: Key of the target.
        """
        entry = self._context.cluster_state.target(key)
        if entry is None:
            incoming.send_whole(UNKNOWN_STATUS, [], b"")
            return
        link = await self._context.target_connections.test_link(entry)
        headers = []
        if link is not LinkState.REACHED and self._is_down(entry):
            headers.append(relay_outcome_header(TARGET_DOWN))
        incoming.send_whole(STATUS_OF_LINK[link], headers, b"")

    async def handle(self, incoming):
        """Make the attempt that an IncomingRequest asks for, and pass its response on.

        Returns:
            Whether the request is one that another VM passed on.
        """
        order = parse_relay_order(incoming.headers)
        if order is None:
            return False
        entry = self._usable_target(order.key)
        if entry is None:
            self._respond_not_sent(incoming, NOT_SENT)
            return True
        self._in_progress += 1
        try:
            result = await self._attempt(incoming, order, entry)
            await self._respond(incoming, entry, result)
        except BodyTooSlow:
            self._respond_not_sent(incoming, NOT_SENT)
        except (CallerDisconnected, h11.ProtocolError):
            incoming.abort()
        finally:
            self._in_progress -= 1
        return True

    def _usable_target(self, key):
        """Return the TargetEntry if requests may be sent to it, else None."""
        state = self._context.cluster_state
        entry = state.target(key)
        if entry is None or entry.leaving or state.configuration is None:
            return None
        return None if entry.data_centre in state.closed_data_centres else entry

    async def _attempt(self, incoming, order, entry):
        """Send the request and return the AttemptResult.

        Raises:
            CallerDisconnected: The other VM disconnected inside the body.
            BodyTooSlow: The body was not complete before the deadline.
        """
        timeout_s = read_timeout_s(order.headers) or DEFAULT_TIMEOUT_S
        deadline_s = incoming.arrived_s + timeout_s
        configuration = self._context.cluster_state.configuration
        body = await read_body(
            incoming, deadline_s, configuration.limits.body_bytes_max
        )
        outgoing = OutgoingRequest(
            method=incoming.method,
            target=incoming.target,
            headers=without_framing(end_to_end_headers(order.headers)),
            request_id=read_request_id(order.headers),
            body=body,
            framing=[pair for pair in incoming.headers if pair[0] in FRAMING_HEADERS],
            idempotent=order.idempotent,
            caller=order.caller,
            account=order.account,
        )
        attempt = Attempt(
            _RelayDispatch(entry),
            outgoing,
            self._context.paths,
            self._context.availability,
            deadline_s,
            may_relay=False,
        )
        task = asyncio.get_running_loop().create_task(attempt.run())
        incoming.on_disconnect = task.cancel
        try:
            await asyncio.wait((task,))
        finally:
            task.cancel()
        if task.cancelled():
            raise CallerDisconnected
        result = task.result()
        self._record(incoming, order, entry, body, result)
        body.release()
        return result

    def _record(self, incoming, order, entry, body, result):
        outcome = result.end.outcome
        self._context.counters.add("relayed_attempts", outcome=outcome.value)
        self._context.log.routine(
            "relayed",
            request=(read_request_id(incoming.headers) or b"").decode("latin-1"),
            peer=incoming.caller_ip,
            target=entry.id,
            outcome=outcome.value,
            reason=result.reason,
            taken_s=result.end.taken_s,
        )
        known = self._context.cluster_state.target(entry.key)
        if result.target_crashed and known is not None and not known.leaving:
            host = header(incoming.headers, b"host", "").lower()
            content = content_id(incoming.method, host, incoming.target, body.start)
            quarantine = self._context.quarantine
            if order.caller:
                callers_content = callers_content_id(content, order.caller)
                quarantine.record_crash(callers_content, entry.key)
            quarantine.record_crash(content, entry.key)

    async def _respond(self, incoming, entry, result):
        if result.end.outcome is Outcome.NOT_SENT:
            down = not result.end.blameless and self._is_down(entry)
            self._respond_not_sent(incoming, TARGET_DOWN if down else NOT_SENT)
        elif result.is_streamed:
            await self._stream(incoming, entry, result)
        elif result.response is not None:
            send_response(incoming, result.response)
        elif result.rejection is not None and result.rejection.body is not None:
            send_response(incoming, result.rejection)
        else:
            # The request may have run: the other VM must not take this for an answer.
            incoming.abort()

    def _is_down(self, entry):
        """Return whether it is the target that does not accept connections."""
        return self._context.paths.has_evidence(entry.service)

    async def _stream(self, incoming, entry, result):
        channel = result.response.channel
        deadline_s = incoming.arrived_s + (
            read_timeout_s(incoming.headers) or DEFAULT_TIMEOUT_S
        )
        connections = self._context.target_connections

        async def has_target_ended():
            return await connections.refuses(entry)

        try:
            await stream_response(
                incoming, result.response, deadline_s, has_target_ended
            )
        except ResponseAborted:
            # ``stream_response`` has aborted the connection, which the other VM logs.
            channel.abort()
        else:
            connections.put_back(entry, channel, None)

    def _respond_not_sent(self, incoming, outcome):
        headers = [relay_outcome_header(outcome)]
        incoming.send_whole(NOT_SENT_STATUS, headers, b"")
