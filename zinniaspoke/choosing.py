"""Placement policies of an entry VM that counts on its own: which target a new flow gets."""

import random
from collections.abc import Callable, Sequence

import attrs

from zinniaspoke import roster

DEFAULT_POLICY = "least_open"
# Openings in a row without an answer. One is enough while other targets can take the work:
# docs/design/crest.md measured it against two.
FAILURE_LIMIT = 1
# Time without new flows after that, doubled with each further failure up to the time by which
# a silent target is known to be one (three announcements of about 1.2 s).
SUSPICION_S = 1.0
SUSPICION_MOST_S = 4.0
# A target that answered an opening this lately is there, whatever became of its announcements.
ANSWER_TRUST_S = 3.0
# Places of a target for each piece of work that it runs at once: one runs, and what waits behind
# three others still starts within about 0.1 s on the platform (work of 26 to 33 ms). Targets queue
# a few more and then turn work away, for which a caller has only two more tries.
PLACES_PER_SLOT = 4
# A target that has just started works more slowly; one open flow weighs as much as this many.
COLD_FACTOR = 1.6


@attrs.define(kw_only=True, slots=True, eq=False)
class Load:
    """What this VM sees of one target.

    Attributes:
        target: Which target.
        running_count: Openings and work under way that were placed from here.
        placed_s: When it was last given a flow.
        failure_count: Openings in a row without an answer.
        suspected_until_s: No new flows before, while others can take them.
        is_silent: Whether its announcements have stopped.
        answered_s: When it last answered an opening.
    """

    target: roster.Target
    running_count: int = 0
    placed_s: float = -1e9
    failure_count: int = 0
    suspected_until_s: float = -1e9
    is_silent: bool = False
    answered_s: float = -1e9

    @property
    def place_count(self) -> int:
        """How much work may be there at once from here."""
        return self.target.slot_count * PLACES_PER_SLOT

    @property
    def has_place(self) -> bool:
        """Whether it may get one more.

        One that answers nothing has no queue to be kept short, and needs openings to be found back.
        """
        return self.failure_count > 0 or self.running_count < self.place_count

    def note_failure(self, now_s: float) -> bool:
        """Counts an opening without an answer.

        Args:
            now_s: Current time.

        Returns:
            Whether the target is suspected now and was not before.
        """
        self.failure_count += 1
        if self.failure_count < FAILURE_LIMIT:
            return False
        was_suspected = now_s < self.suspected_until_s
        exponent = min(self.failure_count - FAILURE_LIMIT, 4)
        length_s = min(SUSPICION_S * 2**exponent, SUSPICION_MOST_S)
        self.suspected_until_s = now_s + length_s
        return not was_suspected

    def note_answer(self, now_s: float) -> None:
        """An opening was answered.

        Args:
            now_s: Current time.
        """
        self.answered_s = now_s
        self.failure_count = 0
        self.suspected_until_s = -1e9

    def is_usable(self, now_s: float) -> bool:
        """Whether new flows may go there; one at a time while it still has to prove itself.

        Args:
            now_s: Current time.
        """
        if self.failure_count < FAILURE_LIMIT:
            return True
        return now_s >= self.suspected_until_s and now_s - self.placed_s > SUSPICION_S


Policy = Callable[[Sequence[Load], float], Load]
_POLICIES: dict[str, Callable[[random.Random], Policy]] = {}


def register(name: str) -> Callable:
    """Registers a policy under a name for the settings.

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
        A function that picks one of at least one load, all of them usable.
    """
    return _POLICIES[name](rng)


def usable(loads: Sequence[Load], now_s: float) -> Sequence[Load]:
    """Leaves out suspected and silent targets, unless that leaves none.

    Announcements stop while a target looks for a control VM that it can reach, so a silent target
    is still better than none.

    Args:
        loads: Targets that take new work.
        now_s: Current time.
    """
    answering = [load for load in loads if load.is_usable(now_s)]
    present = [
        load for load in answering if not load.is_silent or now_s - load.answered_s < ANSWER_TRUST_S
    ]
    return present or answering or _most_credible(loads, now_s)


def _most_credible(loads: Sequence[Load], now_s: float) -> Sequence[Load]:
    """Of suspected targets, those that answered lately, else those that failed least.

    In a zone cut off with one target of its own, that one is overloaded and the others are gone.
    """
    answered = [load for load in loads if now_s - load.answered_s < ANSWER_TRUST_S]
    if answered:
        return answered
    least = min(load.failure_count for load in loads)
    return [load for load in loads if load.failure_count == least]


@register("random")
def _make_random(rng: random.Random) -> Policy:
    """Any target with equal chance."""

    def choose(loads: Sequence[Load], _now_s: float) -> Load:
        return rng.choice(loads)

    return choose


@register("least_open")
def _make_least_open(rng: random.Random) -> Policy:
    """Join the shortest queue; among equals, whoever waited longest for work."""

    def choose(loads: Sequence[Load], now_s: float) -> Load:
        best, best_cost = [], float("inf")
        for load in loads:
            cost = float(load.running_count + 1)
            if now_s < load.target.warm_at_s:
                cost *= COLD_FACTOR
            if cost < best_cost:
                best, best_cost = [load], cost
            elif cost == best_cost:
                best.append(load)
        if len(best) == 1:
            return best[0]
        sampled = rng.sample(best, 2) if len(best) > 2 else best
        return min(sampled, key=lambda load: load.placed_s)

    return choose
