"""Health of availability zones: one that is cut off is avoided as a whole.

Without this, each entry VM would find a zone's unreachable targets one by one, at the cost of a
delayed opening for each of them.
"""

import attrs

# Targets of a zone that have to fail, with no answer from any other of the zone since.
FAILED_TARGET_THRESHOLD = 2
# A suspected zone gets no new flows for this long, doubled with each failed probe.
SUSPICION_BASE_S = 1.0
SUSPICION_MAX_S = 4.0


@attrs.define(kw_only=True, slots=True, eq=False)
class ZoneHealth:
    """Health of one availability zone, as observed by this VM.

    Attributes:
        answered_s: When any of its targets last answered.
        failed_targets: Tokens of the targets that have failed since.
        failure_count: How often the zone became suspected since it last answered.
        suspected_until_s: Until then it gets no new flows while other zones have targets.
        probed_s: When it last got a new flow.
        was_suspected: Whether it was suspected at the last ``take_change``.
    """

    answered_s: float = -1e9
    failed_targets: set[int] = attrs.field(factory=set)
    failure_count: int = 0
    suspected_until_s: float = -1e9
    probed_s: float = -1e9
    was_suspected: bool = False

    def take_change(self) -> bool | None:
        """Returns whether the zone is suspected if that has changed since the last call."""
        if self.is_suspected is self.was_suspected:
            return None
        self.was_suspected = self.is_suspected
        return self.is_suspected

    def record_answer(self, now_s: float) -> None:
        """Clears the suspicion after a target of the zone has answered.

        Args:
            now_s: Current time.
        """
        self.answered_s = now_s
        if self.failed_targets:
            self.failed_targets.clear()
            self.failure_count = 0
            self.suspected_until_s = -1e9

    def record_failure(self, token: int, sent_s: float, now_s: float) -> None:
        """Counts a target of the zone that did not answer.

        Args:
            token: The target's routing token.
            sent_s: When the unanswered packet was sent; an answer since then disproves it.
            now_s: Current time.
        """
        if sent_s <= self.answered_s:
            return
        self.failed_targets.add(token)
        if len(self.failed_targets) < FAILED_TARGET_THRESHOLD or now_s < self.suspected_until_s:
            return
        duration_s = min(SUSPICION_BASE_S * 2 ** min(self.failure_count, 4), SUSPICION_MAX_S)
        self.failure_count += 1
        self.suspected_until_s = now_s + duration_s

    @property
    def is_suspected(self) -> bool:
        """Whether none of its targets has answered since it became suspected."""
        return self.failure_count > 0

    def is_eligible(self, now_s: float) -> bool:
        """Whether new flows may be placed in the zone.

        After the suspicion ends, it is probed with one flow per ``SUSPICION_BASE_S``.

        Args:
            now_s: Current time.
        """
        return not self.is_suspected or (
            now_s >= self.suspected_until_s and now_s - self.probed_s > SUSPICION_BASE_S
        )
