"""The load of targets as their placer counts it, and its reconciliation with the homes."""

import attrs

from zinniaspoke import targets

LATENCY_GAIN = 0.2
WARM_UP_S = 5.0


@attrs.define(kw_only=True, slots=True)
class Report:
    """The counts of one home for one target, from the home's heartbeat.

    Attributes:
        short_count: Number of open flows with short work.
        long_count: Number of open flows with long work.
        idle_short_count: How many of the short ones have no request in progress.
        idle_long_count: How many of the long ones have no request in progress.
        received_s: Time at which the report arrived.
    """

    short_count: int
    long_count: int
    idle_short_count: int
    idle_long_count: int
    received_s: float


@attrs.define(kw_only=True, slots=True)
class Drift:
    """Detects a lasting difference between the reported counts and the placer's own.

    Openings and ends in flight make the two differ briefly, in either direction. A lost count makes
    them differ in the same direction in every sample.

    Attributes:
        SAMPLE_COUNT: Number of samples that have to agree.
        differences: The last samples, each the reported count minus the own count.
    """

    SAMPLE_COUNT = 3

    differences: tuple[int, ...] = ()

    def observe(self, difference: int) -> int:
        """Adds a sample.

        Args:
            difference: The reported count minus the own count.

        Returns:
            The correction of the own count: the smallest of the last samples if all have the same
            sign, and 0 otherwise.
        """
        self.differences = (*self.differences, difference)[-self.SAMPLE_COUNT :]
        if len(self.differences) < self.SAMPLE_COUNT:
            return 0
        lasting = min(self.differences, key=abs)
        if any(d * lasting <= 0 for d in self.differences):
            return 0
        self.differences = ()
        return lasting


@attrs.define(kw_only=True, slots=True)
class TargetLoad:
    """The placer's counts of one target.

    Attributes:
        target: The target.
        short_count: Number of open flows with short work.
        long_count: Number of open flows with long work.
        unanswered_count: How many of the open flows the target has not answered yet.
        placed_count: Total number of flows placed.
        latency_s: Moving average of the time from an opening to its first answer.
        failure_count: Number of consecutive failed openings.
        ejected_until_s: End of the ejection; until then the target gets no new flows, unless too
            few targets would remain.
        last_answer_s: Time of the last first answer.
        reports: The counts of the homes, by member id.
        short_drift: Detects lost counts of short work.
        long_drift: Detects lost counts of long work.
    """

    target: targets.Target
    short_count: int = 0
    long_count: int = 0
    unanswered_count: int = 0
    placed_count: int = 0
    latency_s: float = 0.0
    failure_count: int = 0
    ejected_until_s: float = 0.0
    last_answer_s: float = 0.0
    reports: dict[int, Report] = attrs.field(factory=dict)
    short_drift: Drift = attrs.field(factory=Drift)
    long_drift: Drift = attrs.field(factory=Drift)

    @property
    def open_count(self) -> int:
        """Number of open flows."""
        return self.short_count + self.long_count

    @property
    def shared_open_count(self) -> int:
        """Own open flows and those of the other homes, for policies where each home places."""
        return self.open_count + sum(r.short_count + r.long_count for r in self.reports.values())

    @property
    def idle_short_count(self) -> int:
        """Open flows with short work that have no request in progress, by the homes' reports."""
        return min(self.short_count, sum(r.idle_short_count for r in self.reports.values()))

    @property
    def idle_long_count(self) -> int:
        """Open flows with long work that have no request in progress, by the homes' reports."""
        return min(self.long_count, sum(r.idle_long_count for r in self.reports.values()))

    @property
    def running_count(self) -> int:
        """Number of flows with a request in progress."""
        return self.open_count - self.idle_short_count - self.idle_long_count

    @property
    def running_long_count(self) -> int:
        """Number of flows with long work that have a request in progress."""
        return self.long_count - self.idle_long_count

    def add(self, is_long: bool, step: int) -> None:
        """Changes the number of open flows.

        Args:
            is_long: Whether the flow counts as long work.
            step: 1 for a new flow, -1 for one that ended.
        """
        if is_long:
            self.long_count = max(0, self.long_count + step)
        else:
            self.short_count = max(0, self.short_count + step)

    def record_answer(self, elapsed_s: float, now_s: float) -> None:
        """Updates latency and failure count after a first answer.

        Args:
            elapsed_s: Time since the opening was sent to the target.
            now_s: Current time.
        """
        self.failure_count = 0
        self.last_answer_s = now_s
        self.latency_s += LATENCY_GAIN * (elapsed_s - self.latency_s)

    def update_report(self, member_id: int, report: Report) -> None:
        """Stores the latest report of a home.

        Args:
            member_id: The home.
            report: The home's counts.
        """
        self.reports[member_id] = report

    def reconcile(self, live_ids: frozenset[int]) -> None:
        """Corrects the own counts by the homes' reports.

        Called at intervals long enough that openings in flight are not taken for lost ones.

        Args:
            live_ids: Members whose reports are used.
        """
        for member_id in [i for i in self.reports if i not in live_ids]:
            del self.reports[member_id]
        short_count = sum(r.short_count for r in self.reports.values())
        long_count = sum(r.long_count for r in self.reports.values())
        short_difference = short_count - max(0, self.short_count - self.unanswered_count)
        self.short_count = max(0, self.short_count + self.short_drift.observe(short_difference))
        long_difference = long_count - self.long_count
        self.long_count = max(0, self.long_count + self.long_drift.observe(long_difference))

    def coldness(self, state: targets.TargetState, now_s: float) -> float:
        """Returns how far a new target is from the end of its warm-up.

        Args:
            state: The target's state.
            now_s: Current time.

        Returns:
            1.0 for a target that was just announced, falling to 0.0 over ``WARM_UP_S``.
        """
        return max(0.0, 1.0 - (now_s - state.first_seen_s) / WARM_UP_S)
