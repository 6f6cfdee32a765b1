"""The retry budget: retries are a share of recent openings."""

RETRY_SHARE = 0.1
BURST_COUNT = 10.0
REFILL_PER_S = 1.0
RETRY_AFTER_S = 0.9
ATTEMPT_LIMIT = 3


class RetryBudget:
    """A token bucket that openings fill and retries empty."""

    def __init__(self, *, now_s: float) -> None:
        """Starts full.

        Args:
            now_s: Current time.
        """
        self._tokens = BURST_COUNT
        self._filled_s = now_s

    def note_opening(self) -> None:
        """Adds an opening's share of a retry."""
        self._tokens = min(BURST_COUNT, self._tokens + RETRY_SHARE)

    def spend(self, now_s: float) -> bool:
        """Takes one retry, if the budget has one.

        Args:
            now_s: Current time.

        Returns:
            Whether the retry may be made.
        """
        elapsed_s = max(0.0, now_s - self._filled_s)
        self._tokens = min(BURST_COUNT, self._tokens + elapsed_s * REFILL_PER_S)
        self._filled_s = now_s
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
