"""Notice what has been in progress for long, without a timer for each."""

import collections

__all__ = ["AgeQueue"]


class AgeQueue:
    """Items in the order in which they were sent.

    Each has the attributes ``sent_s`` and ``done``. As all items share one age
    limit, the oldest is always the next to pass it.
    """

    def __init__(self):
        self._items = collections.deque()

    def add(self, item):
        """Watch an item that was sent now."""
        self._items.append(item)

    def due_s(self, age_s):
        """Return when the oldest item passes an age, or None without items."""
        return self._items[0].sent_s + age_s if self._items else None

    def pop_older(self, now_s, age_s):
        """Remove and return the items that passed an age and are not done."""
        items = self._items
        older = []
        while items and (items[0].done or items[0].sent_s + age_s <= now_s):
            item = items.popleft()
            if not item.done:
                older.append(item)
        return older
