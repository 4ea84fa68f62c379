"""Exchange messages about slot lending between this VM and its peers."""

from sesamespring.decisions.messages import (
    AttemptResult,
    LoanReturned,
    PeerMessage,
    SlotLent,
    SlotsWanted,
)
from sesamespring.logs import get_logger
from sesamespring.peers.generated.ttypes import (
    LoanReturnedFrame,
    SlotLentFrame,
    SlotsWantedFrame,
)

__all__ = ["SlotTransport", "frame_to_message", "message_to_frame"]

logger = get_logger(__name__)


def message_to_frame(service, message):
    """Return the thrift message for a SlotsWanted, SlotLent or LoanReturned."""
    return _TO_FRAME[type(message)](service, message)


def frame_to_message(frame):
    """Return the router message for a thrift message about slots.

    Raises:
        ValueError: The message holds an unknown result or a number out of range.
    """
    return _TO_MESSAGE[type(frame)](frame)


class SlotTransport:
    """Transports slot messages between the ServiceRunners and the links to peers.

    Args:
        peers: The PeersTask.
        find_runner: Function from a service's name to its ServiceRunner or None.
    """

    def __init__(self, peers, find_runner):
        self._peers = peers
        self._find_runner = find_runner
        for frame_type in _TO_MESSAGE:
            peers.on_message(frame_type, self._on_frame)

    def send(self, service, command):
        """Send the message of a SendToPeer; it is dropped if there is no link.

        Args:
            service: Name of the service.
            command: The SendToPeer.
        """
        self._peers.send(command.peer, message_to_frame(service, command.body))

    def _on_frame(self, view, frame):
        runner = self._find_runner(frame.service_name)
        if runner is None:
            return
        try:
            body = frame_to_message(frame)
        except ValueError:
            logger.warning("slot-message-dropped", peer=view.hello.vm)
            return
        runner.handle_message(PeerMessage(view.hello.vm, body))


def _wanted_to_frame(service, wanted):
    return SlotsWantedFrame(
        service, wanted.sequence, wanted.count, wanted.deadline_in_s
    )


def _lent_to_frame(service, lent):
    return SlotLentFrame(service, lent.loan_id, lent.target, lent.sequence)


def _returned_to_frame(service, returned):
    result = None if returned.result is None else returned.result.value
    return LoanReturnedFrame(service, returned.loan_id, result, returned.taken_s)


def _frame_to_wanted(frame):
    if not frame.deadline_in_s >= 0.0:
        raise ValueError("deadline_in_s must not be negative")
    return SlotsWanted(frame.sequence, frame.count, frame.deadline_in_s)


def _frame_to_lent(frame):
    return SlotLent(frame.loan_id, frame.target_name, frame.sequence)


def _frame_to_returned(frame):
    if not frame.taken_s >= 0.0:
        raise ValueError("taken_s must not be negative")
    result = None if frame.result is None else AttemptResult(frame.result)
    return LoanReturned(frame.loan_id, result, frame.taken_s)


_TO_FRAME = {
    SlotsWanted: _wanted_to_frame,
    SlotLent: _lent_to_frame,
    LoanReturned: _returned_to_frame,
}
_TO_MESSAGE = {
    SlotsWantedFrame: _frame_to_wanted,
    SlotLentFrame: _frame_to_lent,
    LoanReturnedFrame: _frame_to_returned,
}
