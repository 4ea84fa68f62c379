"""Find items that have been in progress for long, without a timer for each."""

import collections

__all__ = ["AgeQueue"]


class AgeQueue:
    """A queue of items in the order in which they were sent.

    Each item has the attributes ``sent_s`` and ``done``. As all items share one age
    limit, the oldest item is always the next one to exceed it.
    """

    def __init__(self):
        self._items = collections.deque()

    def add(self, item):
        """Append an item that was sent just now."""
        self._items.append(item)

    def due_s(self, age_s):
        """Return when the oldest item reaches an age, or None if the queue is empty."""
        return self._items[0].sent_s + age_s if self._items else None

    def pop_older(self, now_s, age_s):
        """Remove the items that reached an age; return those that are not done."""
        items = self._items
        older = []
        while items and (items[0].done or items[0].sent_s + age_s <= now_s):
            item = items.popleft()
            if not item.done:
                older.append(item)
        return older
