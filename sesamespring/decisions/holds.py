"""Keep the set of targets that one VM holds, and those that it passed on."""

import math

import attrs

__all__ = ["Hold", "Holds", "HandedOverHold"]


@attrs.define
class Hold:
    """The hold of one target.

    Attributes:
        key: The TargetKey.
        session: Session under which it stands in the table.
        counter: Renewal of that session as of passing; None for the own session.
        epoch: Grows with each change of the holder.
        version: Version of the table's row under which it stands.
        warm: Whether the target was warm when this VM got it.
        quiet_until_s: Time until which an earlier holder's work may be in progress.
        handing_over: Whether no new work is sent, so that the hold can be passed on.
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
    """A hold that this VM passed on.

    Attributes:
        session: Session under which it stood in the table.
        counter: Last confirmed renewal of that session.
        epoch: Epoch of the hold as passed.
        witnesses: The Witnesses named to the successor.
        passed_s: When it was passed.
    """

    session: str
    counter: int
    epoch: int
    witnesses: tuple
    passed_s: float


class Holds:
    """The holds of one VM, by TargetKey."""

    def __init__(self):
        self._held = {}
        self._passed = {}
        self._unconfirmed = set()

    def __contains__(self, key):
        return key in self._held

    def __iter__(self):
        return iter(tuple(self._held.values()))

    def __len__(self):
        return len(self._held)

    @property
    def unconfirmed(self):
        """Keys of holds that were passed on, but not seen to be another's yet."""
        return self._unconfirmed

    def get(self, key):
        """Return the Hold of a target, or None."""
        return self._held.get(key)

    def passed(self, key):
        """Return the HandedOverHold of a target, or None."""
        return self._passed.get(key)

    def add(self, hold):
        """Hold a target."""
        self._held[hold.key] = hold
        self._unconfirmed.discard(hold.key)

    def drop(self, key):
        """Hold a target no more."""
        self._held.pop(key, None)

    def pass_on(self, key, passed):
        """Note that a hold is a peer's now."""
        del self._held[key]
        self._passed[key] = passed
        self._unconfirmed.add(key)

    def settle(self, key):
        """Note that the table names another holder of a target."""
        self._unconfirmed.discard(key)

    def newer_than_passed(self, key, session, epoch):
        """Return whether a hold is not one that this VM gave up."""
        passed = self._passed.get(key)
        return passed is None or passed.session != session or epoch > passed.epoch
