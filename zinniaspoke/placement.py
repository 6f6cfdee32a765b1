"""Placement policies: which target a new flow gets."""

import abc
import random
from collections.abc import Callable, Sequence

import attrs

from zinniaspoke import errors, hashing, loads, targets

BOUNDED_LOAD_FACTOR = 1.25
HOT_QUANTILE = 0.75
COLD_COST = 0.4
LONG_COST = 0.1
BEYOND_LIMIT_COUNT = 2
DEFAULT_POLICY = "reserved"

_POLICIES: dict[str, type["Policy"]] = {}


@attrs.frozen(kw_only=True)
class Request:
    """A flow to place.

    Attributes:
        flow: The flow's key.
        is_long: Whether its work is expected to run long.
        now_s: Current time.
        spare_count: Flows that may be placed beyond the slots of all targets together, since
            handshakes and closes take no slot.
    """

    flow: bytes
    is_long: bool
    now_s: float
    spare_count: int = 0


@attrs.frozen(kw_only=True)
class Candidate:
    """A target that may take the flow.

    Attributes:
        state: What it announced.
        load: What the placer counts of it.
    """

    state: targets.TargetState
    load: loads.TargetLoad


HOLD = errors.Nothing(reason="all_slots_taken")


class Policy(abc.ABC):
    """Chooses a target for a new flow.

    Attributes:
        is_local: Whether each home places its own flows, rather than one placer a service.
    """

    is_local = False

    def __init__(self, *, rng: random.Random) -> None:
        """Sets the source of randomness.

        Args:
            rng: Seeded random source.
        """
        self._rng = rng

    @abc.abstractmethod
    def choose(
        self, request: Request, candidates: Sequence[Candidate]
    ) -> targets.Target | errors.Nothing:
        """Chooses a target.

        Args:
            request: The flow.
            candidates: At least one target that takes new work.

        Returns:
            The target, or ``HOLD`` where the flow should wait for a slot.
        """


def register(name: str) -> Callable[[type[Policy]], type[Policy]]:
    """Registers a policy under a name for the settings.

    Args:
        name: The policy's name.

    Returns:
        The class decorator.
    """

    def add(policy: type[Policy]) -> type[Policy]:
        _POLICIES[name] = policy
        return policy

    return add


def names() -> list[str]:
    """Returns the names of all policies."""
    return sorted(_POLICIES)


def create(name: str, rng: random.Random) -> Policy:
    """Creates a policy.

    Args:
        name: A name from ``names``.
        rng: Seeded random source.

    Returns:
        The policy.
    """
    return _POLICIES[name](rng=rng)


def _base_first(
    request: Request, candidates: Sequence[Candidate], cost: Callable[[Candidate], float]
) -> targets.Target:
    """Returns a cheapest candidate, the first in rendezvous order among equals."""
    lowest = min(cost(candidate) for candidate in candidates)
    tied = [c.state.target for c in candidates if cost(c) == lowest]
    return tied[0] if len(tied) == 1 else targets.rendezvous_target(request.flow, tied)


@register("random")
class RandomPolicy(Policy):
    """Takes any target with equal chance."""

    is_local = True

    def choose(self, request: Request, candidates: Sequence[Candidate]) -> targets.Target:
        """See ``Policy.choose``."""
        return self._rng.choice(candidates).state.target


@register("base")
class BasePolicy(Policy):
    """Takes the first target in rendezvous order."""

    is_local = True

    def choose(self, request: Request, candidates: Sequence[Candidate]) -> targets.Target:
        """See ``Policy.choose``."""
        return targets.rendezvous_target(request.flow, [c.state.target for c in candidates])


@register("bounded")
class BoundedLoadPolicy(Policy):
    """Takes the first in rendezvous order whose load is within a factor of the mean.

    Consistent hashing with bounded loads (Mirrokni, Thorup and Zadimoghaddam, 2018).
    """

    def choose(self, request: Request, candidates: Sequence[Candidate]) -> targets.Target:
        """See ``Policy.choose``."""
        total = sum(c.load.open_count for c in candidates) + 1
        bound = BOUNDED_LOAD_FACTOR * total / len(candidates)
        by_tag = {c.state.target.tag: c for c in candidates}
        for tag in hashing.rendezvous_order(request.flow, list(by_tag)):
            if by_tag[tag].load.open_count + 1 <= bound:
                return by_tag[tag].state.target
        return _base_first(request, candidates, lambda c: c.load.open_count)


@register("least_open")
class LeastOpenPolicy(Policy):
    """Takes the target with the fewest open flows."""

    def choose(self, request: Request, candidates: Sequence[Candidate]) -> targets.Target:
        """See ``Policy.choose``."""
        return _base_first(request, candidates, lambda c: c.load.open_count)


@register("shared_least_open")
class SharedLeastOpenPolicy(Policy):
    """Takes the target with the fewest open flows by own and other homes' reported counts."""

    is_local = True

    def choose(self, request: Request, candidates: Sequence[Candidate]) -> targets.Target:
        """See ``Policy.choose``."""
        return _base_first(request, candidates, lambda c: c.load.shared_open_count)


@register("two_choices")
class TwoChoicesPolicy(Policy):
    """Samples two targets: the faster cold one, else the less loaded hot one.

    In the manner of hot and cold probing (Prequal, NSDI 2024), on counts seen here.
    """

    def choose(self, request: Request, candidates: Sequence[Candidate]) -> targets.Target:
        """See ``Policy.choose``."""
        counts = sorted(c.load.open_count for c in candidates)
        hot_count = counts[min(len(counts) - 1, int(HOT_QUANTILE * len(counts)))]
        sample = self._rng.sample(list(candidates), min(2, len(candidates)))
        cold = [c for c in sample if c.load.open_count < max(1, hot_count)]
        if cold:
            return _base_first(request, cold, lambda c: c.load.latency_s)
        return _base_first(request, sample, lambda c: c.load.open_count)


@register("reserved")
class ReservedSlotPolicy(Policy):
    """Takes a free slot by exact counts, keeps one slot a target from long work, else holds."""

    def choose(
        self, request: Request, candidates: Sequence[Candidate]
    ) -> targets.Target | errors.Nothing:
        """See ``Policy.choose``."""
        free = [c for c in candidates if self._has_room(request, c, 0)]
        if not free and not request.is_long and self._has_spare(request, candidates):
            free = self._first_beyond(request, candidates)
        if not free:
            return HOLD
        return _base_first(request, free, lambda c: self._cost(request, c))

    def _first_beyond(self, request: Request, candidates: Sequence[Candidate]) -> list[Candidate]:
        """Returns the targets that have the fewest flows beyond their slots, up to a limit."""
        for beyond_count in range(1, 1 + BEYOND_LIMIT_COUNT):
            found = [c for c in candidates if self._has_room(request, c, beyond_count)]
            if found:
                return found
        return []

    @staticmethod
    def _has_spare(request: Request, candidates: Sequence[Candidate]) -> bool:
        """Tells whether another target may get one flow beyond its slots."""
        beyond = (c.load.running_count - c.load.target.slot_count for c in candidates)
        return sum(max(0, count) for count in beyond) < request.spare_count

    @staticmethod
    def _has_room(request: Request, candidate: Candidate, beyond_count: int) -> bool:
        load = candidate.load
        if load.running_count >= load.target.slot_count + beyond_count:
            return False
        if beyond_count:
            return load.running_long_count < load.target.slot_count
        if not request.is_long:
            return True
        return load.running_long_count < max(1, load.target.slot_count - 1)

    @staticmethod
    def _cost(request: Request, candidate: Candidate) -> float:
        """Orders by taken slots; cold targets and those with long work come later."""
        load = candidate.load
        coldness = load.coldness(candidate.state, request.now_s)
        crowding = load.running_count / load.target.slot_count
        return crowding + COLD_COST * coldness + LONG_COST * load.running_long_count
