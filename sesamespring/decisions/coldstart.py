"""Detect cold start from response times, and limit load until a target is warm."""

import math

__all__ = ["ColdStart"]

# A target without responses for SILENCE_S counts as cold. After SHORT_SILENCE_S, one
# slow response suffices instead of SLOW_RESPONSES in a row.
SILENCE_S = 30.0
SHORT_SILENCE_S = 1.0
# Slow and quick response times, as multiples of a warm target's average.
SLOW_FACTOR = 3.0
SLOW_RESPONSES = 4
QUICK_FACTOR = 1.5
QUICK_RESPONSES = 3
# Responses after which a target counts as warm even if none of them was quick.
RESPONSES_WITHOUT_REFERENCE = 20
RESPONSES_WITH_REFERENCE = 100


class ColdStart:
    """Whether a target is cold, and how many concurrent requests it may get.

    A target that became warm gets one more slot with each response.

    Args:
        cold: Whether the target starts cold.
        now_s: The current time in seconds.

    >>> start = ColdStart(True, 0.0)
    >>> start.limit(slots=3, cold_slots=1)
    1
    >>> for n in range(3):
    ...     start.record_response(0.01, 0.01, n * 0.01)
    >>> start.limit(slots=3, cold_slots=1)
    2
    """

    def __init__(self, cold, now_s):
        self._cold = cold
        self._extra_slots = 0 if cold else math.inf
        self._responses = 0
        self._quick_responses = 0
        self._slow_responses = 0
        self._last_response_s = now_s

    @property
    def cold(self):
        """Whether the target counts as cold."""
        return self._cold

    def limit(self, slots, cold_slots):
        """Return the maximum number of concurrent requests.

        Args:
            slots: The limit of a warm target.
            cold_slots: The limit of a cold target.
        """
        if self._cold:
            return cold_slots
        return min(slots, cold_slots + self._extra_slots)

    def check_silence(self, now_s):
        """Mark the target cold if it has not responded for SILENCE_S.

        Returns:
            Whether that changed its state.
        """
        if self._cold or now_s - self._last_response_s < SILENCE_S:
            return False
        self.mark_cold()
        return True

    def mark_cold(self):
        """Mark the target cold until its responses show that it is warm."""
        self._cold = True
        self._extra_slots = 0
        self._responses = 0
        self._quick_responses = 0

    def record_response(self, taken_s, reference_s, now_s):
        """Update the state with the time of one response.

        Args:
            taken_s: Seconds from sending to the end of the response.
            reference_s: Average service time of a warm target, or None if unknown.
            now_s: The current time in seconds.
        """
        silent_s = now_s - taken_s - self._last_response_s
        self._last_response_s = now_s
        if self._cold:
            self._record_cold_response(taken_s, reference_s)
        else:
            self._record_warm_response(taken_s, reference_s, silent_s)

    def _record_cold_response(self, taken_s, reference_s):
        self._responses += 1
        quick = reference_s is not None and taken_s <= QUICK_FACTOR * reference_s
        self._quick_responses = self._quick_responses + 1 if quick else 0
        enough = RESPONSES_WITH_REFERENCE
        if reference_s is None:
            enough = RESPONSES_WITHOUT_REFERENCE
        if self._quick_responses >= QUICK_RESPONSES or self._responses >= enough:
            self._cold = False
            self._extra_slots = 1
            self._slow_responses = 0

    def _record_warm_response(self, taken_s, reference_s, silent_s):
        self._extra_slots += 1
        slow = reference_s is not None and taken_s >= SLOW_FACTOR * reference_s
        self._slow_responses = self._slow_responses + 1 if slow else 0
        first_after_silence = slow and silent_s >= SHORT_SILENCE_S
        if first_after_silence or self._slow_responses >= SLOW_RESPONSES:
            self.mark_cold()
