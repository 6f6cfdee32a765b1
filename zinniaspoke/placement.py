"""Placement policies, which choose the target of a new flow."""

import abc
import random
from collections.abc import Callable, Sequence

import attrs

from zinniaspoke import errors, hashing, loads, targets

BOUNDED_LOAD_FACTOR = 1.25
HOT_QUANTILE = 0.75
COLD_PENALTY = 0.4
LONG_FLOW_PENALTY = 0.1
OVERCOMMIT_PER_TARGET = 2
DEFAULT_POLICY = "reserved"

_POLICIES: dict[str, type["Policy"]] = {}


@attrs.frozen(kw_only=True)
class Request:
    """A flow that needs a target.

    Attributes:
        flow: The flow's key.
        is_long: Whether the flow's work is expected to run long.
        now_s: Current time.
        overcommit_limit: How many flows may exceed the slots of all targets together. Flows occupy
            no slot during their handshake and close.
    """

    flow: bytes
    is_long: bool
    now_s: float
    overcommit_limit: int = 0


@attrs.frozen(kw_only=True)
class Candidate:
    """A target that may be chosen for a flow.

    Attributes:
        state: The state that the target announced.
        load: The placer's counts of the target.
    """

    state: targets.TargetState
    load: loads.TargetLoad


NO_FREE_SLOT = errors.Nothing(reason="all_slots_taken")


class Policy(abc.ABC):
    """Chooses a target for a new flow.

    Attributes:
        is_local: Whether each home chooses the targets of its own flows, instead of one placer for
            each service.
    """

    is_local = False

    def __init__(self, *, rng: random.Random) -> None:
        """Initialises the policy.

        Args:
            rng: Seeded random number generator.
        """
        self._rng = rng

    @abc.abstractmethod
    def choose(
        self, request: Request, candidates: Sequence[Candidate]
    ) -> targets.Target | errors.Nothing:
        """Chooses a target.

        Args:
            request: The flow.
            candidates: At least one target that accepts new flows.

        Returns:
            The target, or ``NO_FREE_SLOT`` if the flow should wait for a free slot.
        """


def register(name: str) -> Callable[[type[Policy]], type[Policy]]:
    """Registers a policy class under the name that the settings use.

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
    """Returns the names of all registered policies."""
    return sorted(_POLICIES)


def create(name: str, rng: random.Random) -> Policy:
    """Creates a policy.

    Args:
        name: A name from ``names``.
        rng: Seeded random number generator.

    Returns:
        The policy.
    """
    return _POLICIES[name](rng=rng)


def _cheapest(
    request: Request, candidates: Sequence[Candidate], cost: Callable[[Candidate], float]
) -> targets.Target:
    """Returns the candidate with the lowest cost; ties are broken by rendezvous order."""
    lowest = min(cost(candidate) for candidate in candidates)
    tied = [c.state.target for c in candidates if cost(c) == lowest]
    return tied[0] if len(tied) == 1 else targets.rendezvous_target(request.flow, tied)


@register("random")
class RandomPolicy(Policy):
    """Chooses a target uniformly at random."""

    is_local = True

    def choose(self, request: Request, candidates: Sequence[Candidate]) -> targets.Target:
        """See ``Policy.choose``."""
        return self._rng.choice(candidates).state.target


@register("base")
class BasePolicy(Policy):
    """Chooses the first target in rendezvous order."""

    is_local = True

    def choose(self, request: Request, candidates: Sequence[Candidate]) -> targets.Target:
        """See ``Policy.choose``."""
        return targets.rendezvous_target(request.flow, [c.state.target for c in candidates])


@register("bounded")
class BoundedLoadPolicy(Policy):
    """Chooses the first in rendezvous order whose load is within a factor of the mean.

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
        return _cheapest(request, candidates, lambda c: c.load.open_count)


@register("least_open")
class LeastOpenPolicy(Policy):
    """Chooses the target with the fewest open flows."""

    def choose(self, request: Request, candidates: Sequence[Candidate]) -> targets.Target:
        """See ``Policy.choose``."""
        return _cheapest(request, candidates, lambda c: c.load.open_count)


@register("shared_least_open")
class SharedLeastOpenPolicy(Policy):
    """Chooses the target with the fewest open flows, by own counts and reports of the others."""

    is_local = True

    def choose(self, request: Request, candidates: Sequence[Candidate]) -> targets.Target:
        """See ``Policy.choose``."""
        return _cheapest(request, candidates, lambda c: c.load.shared_open_count)


@register("two_choices")
class TwoChoicesPolicy(Policy):
    """Samples two targets and chooses the faster cold one, or else the less loaded one.

    As in Prequal (NSDI 2024), a target is hot if its load is at or above a quantile of all loads,
    and cold otherwise. The loads are the counts of this VM instead of probe results.
    """

    def choose(self, request: Request, candidates: Sequence[Candidate]) -> targets.Target:
        """See ``Policy.choose``."""
        counts = sorted(c.load.open_count for c in candidates)
        hot_count = counts[min(len(counts) - 1, int(HOT_QUANTILE * len(counts)))]
        sample = self._rng.sample(list(candidates), min(2, len(candidates)))
        cold = [c for c in sample if c.load.open_count < max(1, hot_count)]
        if cold:
            return _cheapest(request, cold, lambda c: c.load.latency_s)
        return _cheapest(request, sample, lambda c: c.load.open_count)


@register("reserved")
class ReservedSlotPolicy(Policy):
    """Chooses a target with a free slot by exact counts; without one, the flow waits.

    Long work leaves one slot of each target for short work, if the target has more than one.
    """

    def choose(
        self, request: Request, candidates: Sequence[Candidate]
    ) -> targets.Target | errors.Nothing:
        """See ``Policy.choose``."""
        free = [c for c in candidates if self._has_free_slot(request, c, 0)]
        if not free and not request.is_long and self._may_overcommit(request, candidates):
            free = self._least_overcommitted(request, candidates)
        if not free:
            return NO_FREE_SLOT
        return _cheapest(request, free, lambda c: self._cost(request, c))

    def _least_overcommitted(
        self, request: Request, candidates: Sequence[Candidate]
    ) -> list[Candidate]:
        """Returns the targets that exceed their slots least, if that is within the limit."""
        for overcommit_count in range(1, 1 + OVERCOMMIT_PER_TARGET):
            found = [c for c in candidates if self._has_free_slot(request, c, overcommit_count)]
            if found:
                return found
        return []

    @staticmethod
    def _may_overcommit(request: Request, candidates: Sequence[Candidate]) -> bool:
        """Returns whether one more flow may be placed beyond the slots of a target."""
        excess = (c.load.running_count - c.load.target.slot_count for c in candidates)
        return sum(max(0, count) for count in excess) < request.overcommit_limit

    @staticmethod
    def _has_free_slot(request: Request, candidate: Candidate, overcommit_count: int) -> bool:
        load = candidate.load
        if load.running_count >= load.target.slot_count + overcommit_count:
            return False
        if overcommit_count:
            return load.running_long_count < load.target.slot_count
        if not request.is_long:
            return True
        return load.running_long_count < max(1, load.target.slot_count - 1)

    @staticmethod
    def _cost(request: Request, candidate: Candidate) -> float:
        """Returns the share of used slots, plus penalties for cold targets and long work."""
        load = candidate.load
        coldness = load.coldness(candidate.state, request.now_s)
        slot_usage = load.running_count / load.target.slot_count
        return slot_usage + COLD_PENALTY * coldness + LONG_FLOW_PENALTY * load.running_long_count
