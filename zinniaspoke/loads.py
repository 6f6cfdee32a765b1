"""Load of each target as its placer saw it."""

import attrs

from zinniaspoke import targets

LATENCY_GAIN = 0.2
RAMP_S = 5.0


@attrs.define(kw_only=True, slots=True)
class Report:
    """One home's counts for one target, from its heartbeat.

    Attributes:
        short_count: Open flows of short work.
        long_count: Open flows of long work.
        idle_short_count: Of these, without work under way.
        idle_long_count: Likewise of the long ones.
        received_s: When the report arrived.
    """

    short_count: int
    long_count: int
    idle_short_count: int
    idle_long_count: int
    received_s: float


@attrs.define(kw_only=True, slots=True)
class Drift:
    """The lasting difference between reported and own counts.

    Openings and ends on their way make the two differ for a moment, either way; a count that was
    lost makes them differ the same way at every look.

    Attributes:
        differences: The last differences, reported less own.
    """

    LOOK_COUNT = 3

    differences: tuple[int, ...] = ()

    def note(self, difference: int) -> int:
        """Takes in a difference.

        Args:
            difference: Reported less own count, now.

        Returns:
            What to add to the own count: what all last looks had in common.
        """
        self.differences = (*self.differences, difference)[-self.LOOK_COUNT :]
        if len(self.differences) < self.LOOK_COUNT:
            return 0
        lasting = min(self.differences, key=abs)
        if any(d * lasting <= 0 for d in self.differences):
            return 0
        self.differences = ()
        return lasting


@attrs.define(kw_only=True, slots=True)
class TargetLoad:
    """What the placer counts of one target.

    Attributes:
        target: Which target.
        short_count: Flows of short work placed and not ended.
        long_count: Flows of long work placed and not ended.
        unanswered_count: Of these, openings without an answer.
        placed_count: All flows placed so far.
        latency_s: Smoothed time from opening to first answer.
        failure_count: Openings in a row that failed.
        ejected_until_s: No new work before this time, while the floor allows.
        last_answer_s: When it last answered.
        reports: Homes' counts by member id.
        short_drift: Compares own and reported counts of short work over time.
        long_drift: Likewise for long work.
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
        """Flows placed and not ended."""
        return self.short_count + self.long_count

    @property
    def shared_open_count(self) -> int:
        """Own open flows and those that other homes reported, where each home places."""
        return self.open_count + sum(r.short_count + r.long_count for r in self.reports.values())

    @property
    def idle_short_count(self) -> int:
        """Open flows of short work without work under way, by the homes' reports."""
        return min(self.short_count, sum(r.idle_short_count for r in self.reports.values()))

    @property
    def idle_long_count(self) -> int:
        """Open flows of long work without work under way, by the homes' reports."""
        return min(self.long_count, sum(r.idle_long_count for r in self.reports.values()))

    @property
    def running_count(self) -> int:
        """Flows with work under way."""
        return self.open_count - self.idle_short_count - self.idle_long_count

    @property
    def running_long_count(self) -> int:
        """Flows of long work with work under way."""
        return self.long_count - self.idle_long_count

    def add(self, is_long: bool, step: int) -> None:
        """Counts a flow in or out.

        Args:
            is_long: The flow's class.
            step: 1 or -1.
        """
        if is_long:
            self.long_count = max(0, self.long_count + step)
        else:
            self.short_count = max(0, self.short_count + step)

    def note_answer(self, elapsed_s: float, now_s: float) -> None:
        """Notes a first answer.

        Args:
            elapsed_s: Time since the opening was sent.
            now_s: Current time.
        """
        self.failure_count = 0
        self.last_answer_s = now_s
        self.latency_s += LATENCY_GAIN * (elapsed_s - self.latency_s)

    def update_report(self, member_id: int, report: Report) -> None:
        """Takes in a home's counts.

        Args:
            member_id: The home.
            report: Its counts.
        """
        self.reports[member_id] = report

    def reconcile(self, live_ids: frozenset[int]) -> None:
        """Moves the own counts towards what the homes report.

        Called at a slow pace, so that openings still on their way do not count as lost.

        Args:
            live_ids: Homes whose reports count.
        """
        for member_id in [i for i in self.reports if i not in live_ids]:
            del self.reports[member_id]
        short_count = sum(r.short_count for r in self.reports.values())
        long_count = sum(r.long_count for r in self.reports.values())
        short_difference = short_count - max(0, self.short_count - self.unanswered_count)
        self.short_count = max(0, self.short_count + self.short_drift.note(short_difference))
        long_difference = long_count - self.long_count
        self.long_count = max(0, self.long_count + self.long_drift.note(long_difference))

    def coldness(self, state: targets.TargetState, now_s: float) -> float:
        """Tells how far a new target is from being warm.

        Args:
            state: The target's state.
            now_s: Current time.

        Returns:
            1.0 for a target just announced, falling to 0.0 once it is warm.
        """
        return max(0.0, 1.0 - (now_s - state.first_seen_s) / RAMP_S)
