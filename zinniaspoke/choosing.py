"""Selects the target of a new flow by the load and health that this entry VM itself observes."""

import random
from collections.abc import Callable, Sequence

import attrs

from zinniaspoke import roster, zones

DEFAULT_POLICY = "least_open"
# Consecutive unanswered openings after which a target is suspected. One is enough while other
# targets have capacity: docs/design/crest.md measured it against two.
FAILURE_THRESHOLD = 1
# A suspected target gets no new flows for this long, doubled with each further failure. The
# maximum is the time by which missing announcements reveal a dead target (three announcements of
# about 1.2 s).
SUSPICION_BASE_S = 1.0
SUSPICION_MAX_S = 4.0
# A target that answered an opening within this time is reachable, even without announcements.
ANSWER_VALIDITY_S = 3.0
# In-flight limit per slot of a target: one request runs, and the last of three queued behind it
# still starts within about 0.1 s on the platform (requests of 26 to 33 ms). Targets queue a few
# more and then refuse, and a refused caller has only two retransmissions left.
IN_FLIGHT_PER_SLOT = 4
# A target that has just started is slower; each of its flows counts as this many.
WARM_UP_COST_FACTOR = 1.6


@attrs.define(kw_only=True, slots=True, eq=False)
class Load:
    """Load and health of one target, as observed by this VM.

    Attributes:
        target: The target.
        in_flight_count: Openings and requests in progress that this VM sent there.
        last_placed_s: When it last got a new flow.
        failure_count: Consecutive unanswered openings.
        suspected_until_s: Until then it gets no new flows while other targets are eligible.
        is_silent: Whether its announcements have stopped.
        answered_s: When it last answered an opening.
        heard_s: When a caller last acknowledged bytes from it.
        zone: Health of its availability zone.
    """

    target: roster.Target
    zone: zones.ZoneHealth = attrs.field(factory=zones.ZoneHealth)
    in_flight_count: int = 0
    last_placed_s: float = -1e9
    failure_count: int = 0
    suspected_until_s: float = -1e9
    is_silent: bool = False
    answered_s: float = -1e9
    heard_s: float = -1e9

    @property
    def in_flight_limit(self) -> int:
        """How many openings and requests this VM may have in flight there."""
        return self.target.slot_count * IN_FLIGHT_PER_SLOT

    @property
    def has_capacity(self) -> bool:
        """Whether it may get another opening.

        The limit does not apply to a failing target: it has no queue to keep short, and only
        further openings can show that it has recovered.
        """
        return self.failure_count > 0 or self.in_flight_count < self.in_flight_limit

    def record_failure(self, sent_s: float, now_s: float) -> bool:
        """Counts an unanswered opening or request.

        Args:
            sent_s: When it was sent.
            now_s: Current time.

        Returns:
            Whether the target became suspected by this failure.
        """
        self.failure_count += 1
        self.zone.record_failure(self.target.token, sent_s, now_s)
        if self.failure_count < FAILURE_THRESHOLD:
            return False
        was_suspected = now_s < self.suspected_until_s
        exponent = min(self.failure_count - FAILURE_THRESHOLD, 4)
        duration_s = min(SUSPICION_BASE_S * 2**exponent, SUSPICION_MAX_S)
        self.suspected_until_s = now_s + duration_s
        return not was_suspected

    def record_answer(self, now_s: float) -> None:
        """Clears the suspicion after an answered opening.

        Args:
            now_s: Current time.
        """
        self.answered_s = now_s
        self.failure_count = 0
        self.suspected_until_s = -1e9
        self.zone.record_answer(now_s)

    def record_bytes(self, now_s: float) -> None:
        """Records that a caller has received bytes from it.

        Args:
            now_s: Current time.
        """
        self.heard_s = now_s
        self.zone.record_answer(now_s)

    def record_placement(self, now_s: float) -> None:
        """Records a new flow.

        Args:
            now_s: Current time.
        """
        self.last_placed_s = self.zone.probed_s = now_s

    def is_eligible(self, now_s: float) -> bool:
        """Whether new flows may be placed there; never in a suspected zone.

        After the suspicion ends, a target is probed with one flow per ``SUSPICION_BASE_S`` until it
        answers.

        Args:
            now_s: Current time.
        """
        if not self.zone.is_eligible(now_s):
            return False
        if self.failure_count < FAILURE_THRESHOLD:
            return True
        return now_s >= self.suspected_until_s and now_s - self.last_placed_s > SUSPICION_BASE_S


Policy = Callable[[Sequence[Load], float], Load]
_POLICIES: dict[str, Callable[[random.Random], Policy]] = {}


def register(name: str) -> Callable:
    """Registers a policy under the name that the settings use.

    Args:
        name: The policy's name.
    """

    def add(make: Callable[[random.Random], Policy]) -> Callable[[random.Random], Policy]:
        _POLICIES[name] = make
        return make

    return add


def create(name: str, rng: random.Random) -> Policy:
    """Creates a policy.

    Args:
        name: Its name.
        rng: Seeded random source.

    Returns:
        A function that picks one of a non-empty sequence of eligible loads.
    """
    return _POLICIES[name](rng)


def eligible(loads: Sequence[Load], now_s: float) -> Sequence[Load]:
    """Filters out suspected and silent targets, unless none would be left.

    A target's announcements also stop while it looks for a control VM that it can reach, so a
    silent target is better than none.

    Args:
        loads: Targets that are ready.
        now_s: Current time.
    """
    answering = [load for load in loads if load.is_eligible(now_s)]
    announcing = [
        load
        for load in answering
        if not load.is_silent or now_s - load.answered_s < ANSWER_VALIDITY_S
    ]
    return announcing or answering or _best_suspected(loads, now_s)


def _best_suspected(loads: Sequence[Load], now_s: float) -> Sequence[Load]:
    """Returns the suspected targets that answered recently, or else those with fewest failures.

    In a partitioned zone with a single target, that target is overloaded but answers some openings,
    while the targets of other zones are unreachable.
    """
    answered = [load for load in loads if now_s - load.answered_s < ANSWER_VALIDITY_S]
    if answered:
        return answered
    fewest = min(load.failure_count for load in loads)
    return [load for load in loads if load.failure_count == fewest]


@register("random")
def _make_random(rng: random.Random) -> Policy:
    """Picks uniformly at random."""

    def choose(loads: Sequence[Load], _now_s: float) -> Load:
        return rng.choice(loads)

    return choose


@register("least_open")
def _make_least_open(rng: random.Random) -> Policy:
    """Join the shortest queue; ties go to the less recently used of two random candidates."""

    def choose(loads: Sequence[Load], now_s: float) -> Load:
        best, best_cost = [], float("inf")
        for load in loads:
            cost = float(load.in_flight_count + 1)
            if now_s < load.target.warm_at_s:
                cost *= WARM_UP_COST_FACTOR
            if cost < best_cost:
                best, best_cost = [load], cost
            elif cost == best_cost:
                best.append(load)
        if len(best) == 1:
            return best[0]
        sampled = rng.sample(best, 2) if len(best) > 2 else best
        return min(sampled, key=lambda load: load.last_placed_s)

    return choose
