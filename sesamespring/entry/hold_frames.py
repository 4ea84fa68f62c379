"""Convert messages about holds to thrift messages and back."""

from sesamespring.decisions.hold_messages import (
    HoldHandedOver,
    PromiseGranted,
    PromiseRequested,
    ReleaseGranted,
    ReleaseRequested,
    TargetKey,
    Witness,
)
from sesamespring.peers.generated.ttypes import (
    HoldHandover,
    Promise,
    PromiseWanted,
    Release,
    ReleaseWanted,
    SessionWitness,
)

__all__ = ["HOLD_FRAMES", "frame_to_message", "message_to_frame"]

HOLD_FRAMES = (PromiseWanted, Promise, ReleaseWanted, Release, HoldHandover)


def message_to_frame(message):
    """Return the thrift message for a message of the hold protocol."""
    return _TO_FRAME[type(message)](message)


def frame_to_message(frame):
    """Return the message of the hold protocol for a thrift message of HOLD_FRAMES."""
    return _TO_MESSAGE[type(frame)](frame)


def _handover_to_frame(handover):
    witnesses = [
        SessionWitness(w.vm, w.address[0], w.address[1], w.incarnation or "")
        for w in handover.witnesses
    ]
    return HoldHandover(
        service_name=handover.key.service,
        target_name=handover.key.target,
        session=handover.session,
        counter=handover.counter,
        ttl_s=handover.ttl_s,
        epoch=handover.epoch,
        version=handover.version,
        warm=handover.warm,
        quorum=handover.quorum,
        witnesses=witnesses,
    )


def _frame_to_handover(frame):
    return HoldHandedOver(
        key=TargetKey(frame.service_name, frame.target_name),
        session=frame.session,
        counter=frame.counter,
        ttl_s=frame.ttl_s,
        epoch=frame.epoch,
        version=frame.version,
        warm=frame.warm,
        quorum=frame.quorum,
        witnesses=tuple(
            Witness(w.vm, (w.host, w.port), w.incarnation or None)
            for w in frame.witnesses
        ),
    )


_TO_FRAME = {
    PromiseRequested: lambda m: PromiseWanted(m.session, m.counter, m.ttl_s, m.asked_s),
    PromiseGranted: lambda m: Promise(m.session, m.counter, m.asked_s),
    ReleaseRequested: lambda m: ReleaseWanted(m.session, m.counter),
    ReleaseGranted: lambda m: Release(m.session, m.counter),
    HoldHandedOver: _handover_to_frame,
}
_TO_MESSAGE = {
    PromiseWanted: lambda f: PromiseRequested(f.session, f.counter, f.ttl_s, f.asked_s),
    Promise: lambda f: PromiseGranted(f.session, f.counter, f.asked_s),
    ReleaseWanted: lambda f: ReleaseRequested(f.session, f.counter),
    Release: lambda f: ReleaseGranted(f.session, f.counter),
    HoldHandover: _frame_to_handover,
}
