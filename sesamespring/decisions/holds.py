"""Store the holds of one VM, and those that it handed over."""

import math

import attrs

__all__ = ["HandedOverHold", "Hold", "Holds"]


@attrs.define
class Hold:
    """The hold of one target.

    Attributes:
        key: The TargetKey.
        session: Session that the table's row of the hold names.
        counter: Renewal of that session at the time of a handover to this VM; None if
            the session is this VM's own.
        epoch: Number that increases with each change of the holder.
        version: Version of the table's row of the hold.
        warm: Whether the target was warm when this VM got the hold.
        quiet_until_s: Time until which an earlier holder's requests may be in progress.
        handing_over: Whether no new requests are sent, so that the hold can be handed
            over.
    """

    key: object
    session: str
    counter: int | None
    epoch: int
    version: int
    warm: bool = False
    quiet_until_s: float = -math.inf
    handing_over: bool = False


@attrs.frozen
class HandedOverHold:
    """A hold that this VM handed over.

    Attributes:
        session: Session that the table's row of the hold named.
        counter: Number of that session's last confirmed renewal.
        epoch: Epoch of the hold before the handover.
        witnesses: The Witnesses sent to the successor.
        handed_over_s: Time of the handover.
    """

    session: str
    counter: int
    epoch: int
    witnesses: tuple
    handed_over_s: float


class Holds:
    """The holds of one VM, by TargetKey."""

    def __init__(self):
        self._held = {}
        self._handed_over = {}
        self._unconfirmed = set()

    def __contains__(self, key):
        return key in self._held

    def __iter__(self):
        return iter(tuple(self._held.values()))

    def __len__(self):
        return len(self._held)

    @property
    def unconfirmed(self):
        """Keys of holds handed over whose new holder the table does not show yet."""
        return self._unconfirmed

    def get(self, key):
        """Return the Hold of a target, or None."""
        return self._held.get(key)

    def handed_over(self, key):
        """Return the last HandedOverHold of a target, or None."""
        return self._handed_over.get(key)

    def add(self, hold):
        """Add a Hold."""
        self._held[hold.key] = hold
        self._unconfirmed.discard(hold.key)

    def drop(self, key):
        """Remove the Hold of a target, if any."""
        self._held.pop(key, None)

    def hand_over(self, key, handed_over):
        """Replace the Hold of a target by a HandedOverHold."""
        del self._held[key]
        self._handed_over[key] = handed_over
        self._unconfirmed.add(key)

    def confirm(self, key):
        """Record that the table names another holder of a target."""
        self._unconfirmed.discard(key)

    def newer_than_handed_over(self, key, session, epoch):
        """Return whether a hold is newer than the one that this VM handed over."""
        handed_over = self._handed_over.get(key)
        return (
            handed_over is None
            or handed_over.session != session
            or epoch > handed_over.epoch
        )
