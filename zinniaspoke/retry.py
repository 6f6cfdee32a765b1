"""The retry budget, which limits retries to a share of the openings."""

RETRY_SHARE = 0.1
BURST_COUNT = 10.0
REFILL_PER_S = 1.0
RETRY_AFTER_S = 0.9
ATTEMPT_LIMIT = 3


class RetryBudget:
    """A token bucket to which openings add and from which each retry takes one token.

    It also refills at a constant rate.
    """

    def __init__(self, *, now_s: float) -> None:
        """Creates a full bucket.

        Args:
            now_s: Current time.
        """
        self._tokens = BURST_COUNT
        self._refilled_s = now_s

    def deposit(self) -> None:
        """Adds the share of a token that an opening earns."""
        self._tokens = min(BURST_COUNT, self._tokens + RETRY_SHARE)

    def try_withdraw(self, now_s: float) -> bool:
        """Takes one token, if there is one.

        Args:
            now_s: Current time.

        Returns:
            Whether the budget allows the retry.
        """
        elapsed_s = max(0.0, now_s - self._refilled_s)
        self._tokens = min(BURST_COUNT, self._tokens + elapsed_s * REFILL_PER_S)
        self._refilled_s = now_s
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
