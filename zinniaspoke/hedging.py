"""Second tries for openings that are not answered in the usual time, within a budget.

See Dean and Barroso, "The Tail at Scale", CACM 2013. An opening runs nothing, so the flow that its
caller does not take up costs the second target a handshake and no work.
"""

import heapq

import attrs

from zinniaspoke import errors

# Weight of one sample in the estimate: it moves by this part of itself at most.
ESTIMATE_GAIN = 0.05
QUANTILE = 0.95
FIRST_ESTIMATE_S = 0.02
# Samples before the estimate is used.
LEARNING_COUNT = 20
# An answer within this many times the quantile is late, not lost.
LATE_FACTOR = 3.0
DELAY_MIN_S = 0.01
# Callers send a copy of their own after 0.2 s.
DELAY_MAX_S = 0.15
# Budget that may be saved up.
BURST_COUNT = 3.0

NO_BUDGET = errors.Nothing(reason="refused_by_budget")
LINK_BUSY = errors.Nothing(reason="kept_back_by_own_link")


class DelayEstimate:
    """Estimate of a high quantile of the times within which openings are answered."""

    __slots__ = ("_count", "_quantile_s")

    def __init__(self) -> None:
        """Starts without samples."""
        self._count = 0
        self._quantile_s = FIRST_ESTIMATE_S

    def record(self, elapsed_s: float) -> None:
        """Adds a sample.

        Args:
            elapsed_s: Time from an opening to the first packet after it.
        """
        self._count += 1
        # Robbins-Monro steps in proportion to the estimate; up and down balance at the quantile.
        step = QUANTILE if elapsed_s > self._quantile_s else QUANTILE - 1.0
        self._quantile_s *= 1.0 + ESTIMATE_GAIN * step

    @property
    def delay_s(self) -> float | None:
        """When an unanswered opening is repeated; None if it is not."""
        if self._count < LEARNING_COUNT:
            return None
        delay_s = max(DELAY_MIN_S, LATE_FACTOR * self._quantile_s)
        return delay_s if delay_s <= DELAY_MAX_S else None


class Budget:
    """Token bucket filled by openings and emptied by hedges."""

    __slots__ = ("_tokens",)

    def __init__(self) -> None:
        """Starts empty, so that restarts do not add up."""
        self._tokens = 0.0

    def earn(self, share: float) -> None:
        """Adds an opening's share.

        Args:
            share: Hedges that one opening allows.
        """
        self._tokens = min(BURST_COUNT, self._tokens + share)

    @property
    def is_enough(self) -> bool:
        """Whether a hedge is allowed now."""
        return self._tokens >= 1.0

    def spend(self) -> None:
        """Takes a hedge out of the budget, which has to be enough."""
        self._tokens -= 1.0


@attrs.frozen(kw_only=True, eq=False)
class Due:
    """An opening to be repeated unless it is answered.

    Attributes:
        flow: Key of its flow.
        opening: The opening packet.
        sent_s: When it was sent to its target.
    """

    flow: bytes
    opening: object
    sent_s: float


class Hedger:
    """Decides when an opening is repeated; does not choose its target.

    Attributes:
        budget: What may still be repeated.
    """

    def __init__(self, *, share: float) -> None:
        """Starts without estimates and budget.

        Args:
            share: Largest share of openings that may be repeated; 0 for none.
        """
        self._share = share
        self.budget = Budget()
        self._estimates: dict[tuple[str, bool], DelayEstimate] = {}
        self._due: list[tuple[float, int, Due]] = []
        self._count = 0

    def record_opening(
        self, opening: Due, *, service: str, is_own_zone: bool, rule_share: float | None
    ) -> None:
        """Plans the second try of an opening that may be repeated.

        Args:
            opening: The opening.
            service: Its service.
            is_own_zone: Whether its target is in this VM's availability zone.
            rule_share: The rule's own limit, or None.
        """
        share = self._share if rule_share is None else min(rule_share, self._share)
        if share <= 0.0:
            return
        self.budget.earn(share)
        estimate = self._estimates.get((service, is_own_zone))
        delay_s = estimate.delay_s if estimate is not None else None
        if delay_s is not None:
            self._count += 1
            heapq.heappush(self._due, (opening.sent_s + delay_s, self._count, opening))

    def record_answer(self, *, service: str, is_own_zone: bool, elapsed_s: float) -> None:
        """Adds the time of an answer to an opening that was sent once.

        Args:
            service: The service.
            is_own_zone: Whether the target is in this VM's availability zone.
            elapsed_s: Time from the opening to the first packet after it.
        """
        if self._share <= 0.0:
            return
        key = (service, is_own_zone)
        if key not in self._estimates:
            self._estimates[key] = DelayEstimate()
        self._estimates[key].record(elapsed_s)

    @property
    def next_due_s(self) -> float | None:
        """When the next opening is due, or None."""
        return self._due[0][0] if self._due else None

    def take_due(self, now_s: float) -> list[Due]:
        """Removes and returns the openings that are due; the caller checks if they are answered.

        Args:
            now_s: Current time.
        """
        taken = []
        while self._due and self._due[0][0] <= now_s:
            taken.append(heapq.heappop(self._due)[2])
        return taken

    def discard_all(self) -> None:
        """Forgets what is planned: this VM was suspended, so silence proves nothing."""
        self._due.clear()
