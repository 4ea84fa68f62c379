"""Request slots from peers, and check whether their loans may still be used."""

import collections

from sesamespring.decisions.lending import LOAN_AGE_MAX_S
from sesamespring.decisions.messages import SendToPeer, SlotsWanted

__all__ = ["Borrower"]

REQUEST_REFRESH_S = LOAN_AGE_MAX_S / 2
SLOTS_REQUESTED_MAX = 16
PEERS_MAX = 8


class Borrower:
    """The requests for slots that this VM has sent to its peers."""

    def __init__(self):
        self._peers = ()
        self._outstanding = {}
        self._sequence = 0
        self._sent = collections.deque()
        self._last_request_s = None

    @property
    def has_peers(self):
        """Whether there are peers to borrow from."""
        return bool(self._peers)

    @property
    def has_open_request(self):
        """Whether the last request sent to peers is not withdrawn."""
        return self._last_request_s is not None

    @property
    def next_refresh_s(self):
        """Time at which the request must be repeated, or None."""
        if self._last_request_s is None:
            return None
        return self._last_request_s + REQUEST_REFRESH_S

    def set_peers(self, peers):
        """Replace the Peers to borrow from; those in this data centre come first."""
        ordered = sorted(peers, key=lambda peer: (not peer.local, peer.name))
        self._peers = tuple(peer.name for peer in ordered[:PEERS_MAX])
        self._outstanding = {
            name: count
            for name, count in self._outstanding.items()
            if name in self._peers
        }

    def request_slots(self, waiting, deadline_s, now_s):
        """Request slots from peers whose outstanding count differs enough.

        The request is repeated to all peers every REQUEST_REFRESH_S.

        Args:
            waiting: Number of requests that wait for a slot.
            deadline_s: Deadline of the most urgent one.
            now_s: The current time in seconds.

        Returns:
            A list of SendToPeer commands.
        """
        count = min(waiting, SLOTS_REQUESTED_MAX)
        refresh = self._last_request_s is not None and now_s >= self.next_refresh_s
        receivers = [
            peer
            for peer in self._peers
            if refresh or _differs_enough(count, self._outstanding.get(peer, 0))
        ]
        if not receivers:
            if not count or refresh:
                self._last_request_s = None
            return []
        self._record_request(now_s, count)
        request = SlotsWanted(self._sequence, count, max(0.0, deadline_s - now_s))
        self._outstanding.update((peer, count) for peer in receivers)
        return [SendToPeer(peer, request) for peer in receivers]

    def accept(self, peer, loan, now_s):
        """Record a loan.

        Args:
            peer: Name of the lender.
            loan: The SlotLent.
            now_s: The current time in seconds.

        Returns:
            Time until which the loan may be used, counted from when the SlotsWanted
            that it answers was sent, or None if that is too long ago.
        """
        count = self._outstanding.get(peer, 0)
        self._outstanding[peer] = max(0, count - 1)
        self._drop_expired(now_s)
        for sequence, sent_s in self._sent:
            if sequence == loan.sequence:
                return sent_s + LOAN_AGE_MAX_S
        return None

    def _record_request(self, now_s, count):
        self._sequence += 1
        self._sent.append((self._sequence, now_s))
        self._drop_expired(now_s)
        self._last_request_s = now_s if count else None

    def _drop_expired(self, now_s):
        while self._sent and self._sent[0][1] + LOAN_AGE_MAX_S <= now_s:
            self._sent.popleft()


def _differs_enough(count, outstanding):
    """Return whether a count changed enough to be sent to a peer again."""
    if count == 0 or outstanding == 0:
        return count != outstanding
    return count >= 2 * outstanding or outstanding >= 2 * count
