"""Translate between the scheduler's types and the datagrams about slots."""

from sesamespring.gateway.generated.ttypes import (
    SlotEnded,
    SlotGranted,
    SlotRefused,
    SlotWanted,
)
from sesamespring.routing.messages import (
    AttemptEnded,
    Outcome,
    Refusal,
    RefusalReason,
    ScheduledRequest,
)
from sesamespring.routing.records import LoadReport

__all__ = [
    "decode_ended",
    "decode_refused",
    "decode_wanted",
    "encode_ended",
    "encode_reply",
    "encode_wanted",
]

# Reasons that builds before the quotas do not know.
_NEWER_REASONS = frozenset({RefusalReason.OVER_QUOTA, RefusalReason.QUOTA_UNKNOWN})
_REASONS = frozenset(reason.value for reason in RefusalReason)


def encode_wanted(slot_request, now_s):
    """Return the SlotWanted of a SlotRequest."""
    request = slot_request.request
    return SlotWanted(
        request=slot_request.number,
        service_name=slot_request.service,
        route=request.route,
        goal_s=request.goal_s,
        priority=request.priority,
        due_in_s=request.due_s - now_s,
        deadline_in_s=request.deadline_s - now_s,
        idempotent=request.idempotent,
        attempts_left=request.attempts_left,
        round=slot_request.round,
        tried=[target_id for target_id, _ in request.tried],
        data_centre=request.data_centre,
        extra=request.extra,
        account=request.account or None,
    )


def decode_wanted(message, number, now_s):
    """Return the ScheduledRequest of a SlotWanted, which was not sent to a target yet.

    Args:
        message: The SlotWanted.
        number: Number of the request in this VM's scheduler.
        now_s: Present time.
    """
    return ScheduledRequest(
        number=number,
        route=message.route,
        goal_s=message.goal_s,
        priority=message.priority,
        due_s=now_s + message.due_in_s,
        deadline_s=now_s + message.deadline_in_s,
        idempotent=message.idempotent,
        attempts_left=message.attempts_left,
        data_centre=message.data_centre,
        account=message.account or "",
    )


def encode_reply(number, round_number, command):
    """Return the SlotRefused or SlotGranted of a scheduler's Refusal or Dispatch.

    Args:
        number: Number of the request at the VM that wants the slot.
        round_number: The round in which it wants it.
        command: The Refusal or Dispatch.
    """
    if isinstance(command, Refusal):
        reason = command.reason.value
        is_newer = command.reason in _NEWER_REASONS
        return SlotRefused(
            request=number,
            round=round_number,
            reason=RefusalReason.TOO_LATE.value if is_newer else reason,
            newer_reason=reason if is_newer else None,
            retry_after_s=command.retry_after_s,
            waiting=command.waiting,
            needed_s=command.needed_s,
        )
    return SlotGranted(
        request=number,
        round=round_number,
        attempt=command.attempt,
        target=command.entry.id,
        born_ms=command.entry.born_ms,
        hedge=command.hedge,
        expected_s=command.expected_s,
    )


def decode_refused(message, request):
    """Return the Refusal of a ScheduledRequest that a SlotRefused states.

    A reason that only newer builds know counts as the one that they add for this build.
    """
    reason = RefusalReason(message.reason)
    if message.newer_reason in _REASONS:
        reason = RefusalReason(message.newer_reason)
    return Refusal(
        request,
        reason,
        message.retry_after_s,
        message.waiting,
        message.needed_s,
    )


def encode_ended(number, attempt, end):
    """Return the SlotEnded that states how an attempt ended.

    Args:
        number: Number of the request at this VM.
        attempt: Number of the attempt at the VM that granted its slot.
        end: The AttemptEnded.
    """
    outcome = Outcome.CANCELLED if end.blameless else end.outcome
    message = SlotEnded(
        request=number,
        attempt=attempt,
        outcome=outcome.value,
        taken_s=end.taken_s,
        cold_left_s=end.cold_left_s,
        responding=end.responding or None,
        blameless=end.blameless or None,
    )
    if end.load is not None:
        message.running = end.load.running
        message.waiting = end.load.waiting
        message.slots = end.load.slots
        message.slowdown = end.load.slowdown
    return message


def decode_ended(message):
    """Return the AttemptEnded that a SlotEnded states."""
    load = None
    if message.slots is not None:
        load = LoadReport(
            message.running, message.waiting, message.slots, message.slowdown
        )
    return AttemptEnded(
        message.attempt,
        Outcome(message.outcome),
        message.taken_s,
        load,
        message.cold_left_s,
        responding=bool(message.responding),
        blameless=bool(message.blameless),
    )
