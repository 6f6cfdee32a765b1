"""Selects the target of an opening in steps, each of which may exclude candidates.

The steps are registered with their place in the order, so that this module's list shows which
condition is judged before which. A step that a deployment does not use is not built.
"""

import random
from collections.abc import Callable, Sequence
from typing import Protocol

import attrs

from zinniaspoke import choosing, coldshares, counters, errors, exchange

EVACUATION = "evacuation"
REFUSED_NO_TARGET = errors.Nothing(reason="refused_no_target")
REFUSED_EVACUATED = errors.Nothing(reason="refused_evacuated")
# Not final: the opening waits for a target with capacity.
NO_CAPACITY = errors.Nothing(reason="no_place")
# After an evacuation a zone's targets get new flows by and by over this time: their queues are
# empty, so all entry VMs would choose them at the same moment.
RAMP_S = 3.0


class View(Protocol):
    """What the steps need to know of rules and targets.

    Attributes:
        evacuated_zones: Availability zones whose targets get no new flows.
        returned_s: When each zone whose evacuation ended was given back.
    """

    evacuated_zones: frozenset[str]
    returned_s: dict[str, float]


@attrs.frozen(kw_only=True)
class Query:
    """An opening that needs a target.

    Attributes:
        service: The service that its rule names.
        now_s: Current time.
        may_probe: Whether it may be used to try a target that is avoided otherwise.
    """

    service: str
    now_s: float
    may_probe: bool = False


# Takes a request's target and route, the time that it took and the current time.
Observer = Callable[[choosing.Load, bytes, float, float], None]


@attrs.frozen(kw_only=True)
class Context:
    """What the steps are built from.

    Attributes:
        view: Rules and targets that this VM knows.
        rng: Seeded random source.
        own_zone: This VM's availability zone; empty if not known.
        holder: This VM's shares of the limits of cold targets; None where there are no limits.
        zone_preference: Whether targets of the own zone are preferred.
        counts: Counters of this process.
        observers: Called with each request's target, route, duration and time; steps add theirs.
        shared: Evidence about targets shared with other entry VMs, if it is.
    """

    view: View
    rng: random.Random
    own_zone: str = ""
    holder: coldshares.Holder | None = None
    shared: exchange.Exchange | None = None
    zone_preference: bool = False
    counts: counters.Counters = attrs.field(factory=counters.Counters)
    observers: list[Observer] = attrs.field(factory=list)


Loads = Sequence[choosing.Load]
# Returns the candidates that may be used; the same object if it excludes none.
Filter = Callable[[Loads, Query], Loads]


@attrs.frozen(kw_only=True)
class Step:
    """A registered step.

    Attributes:
        name: Its name in logs.
        order: Its place; lower ones are judged first.
        make: Builds its filter, or returns None where the deployment does not use it.
        reason: Result of the selection if it leaves no candidate.
    """

    name: str
    order: int
    make: Callable[[Context], Filter | None]
    reason: errors.Nothing


_STEPS: dict[str, Step] = {}


def register(name: str, *, order: int, reason: errors.Nothing) -> Callable:
    """Registers a step.

    Args:
        name: Its name in logs.
        order: Its place; lower ones are judged first.
        reason: Result of the selection if it leaves no candidate.
    """

    def add(make: Callable[[Context], Filter | None]) -> Callable[[Context], Filter | None]:
        _STEPS[name] = Step(name=name, order=order, make=make, reason=reason)
        return make

    return add


def step_names() -> tuple[str, ...]:
    """Returns the names of all steps in their order."""
    return tuple(step.name for step in sorted(_STEPS.values(), key=lambda step: step.order))


@register(EVACUATION, order=10, reason=REFUSED_EVACUATED)
def _make_evacuation(context: Context) -> Filter:
    """Excludes the targets of evacuated availability zones, whatever remains."""

    def exclude(loads: Loads, _query: Query) -> Loads:
        zones = context.view.evacuated_zones
        if not zones:
            return loads
        return [load for load in loads if load.target.zone not in zones]

    return exclude


@register("cold", order=20, reason=NO_CAPACITY)
def _make_cold(context: Context) -> Filter | None:
    """Excludes cold targets to which no more openings may be sent now, whatever remains."""
    holder = context.holder
    if holder is None:
        return None

    def exclude(loads: Loads, query: Query) -> Loads:
        if not holder.has_limited(query.now_s):
            return loads
        left = [load for load in loads if holder.has_room(load.target, query.now_s)]
        if len(left) < len(loads):
            holder.counters.events["cold_kept_off"] += 1
        return left

    return exclude


@register("health", order=30, reason=REFUSED_NO_TARGET)
def _make_health(_context: Context) -> Filter:
    """Excludes suspected and silent targets while others are left."""

    def exclude(loads: Loads, query: Query) -> Loads:
        return choosing.eligible(loads, query.now_s)

    return exclude


@register("evidence", order=40, reason=REFUSED_NO_TARGET)
def _make_evidence(context: Context) -> Filter | None:
    """Excludes a part of the targets that several entry VMs have found dark or slow."""
    shared = context.shared
    if shared is None:
        return None

    def exclude(loads: Loads, query: Query) -> Loads:
        return shared.usable(loads, query.now_s, may_probe=query.may_probe)

    return exclude


@register("capacity", order=50, reason=NO_CAPACITY)
def _make_capacity(_context: Context) -> Filter:
    """Excludes targets at their in-flight limit."""

    def exclude(loads: Loads, _query: Query) -> Loads:
        return [load for load in loads if load.has_capacity]

    return exclude


@register("return", order=55, reason=NO_CAPACITY)
def _make_return(context: Context) -> Filter:
    """Excludes the targets of a returned zone by chance, less and less, while others are left."""
    holder = context.holder
    delay_s = 0.0 if holder is None else holder.distrust_s

    def exclude(loads: Loads, query: Query) -> Loads:
        ramping = {
            zone
            for zone, start_s in context.view.returned_s.items()
            if context.rng.random() >= (query.now_s - start_s - delay_s) / RAMP_S
        }
        if not ramping:
            return loads
        return [load for load in loads if load.target.zone not in ramping] or loads

    return exclude


# Steps before this place decide which targets may be used; later ones go by their load.
_USABLE_ORDER_LIMIT = 50


@attrs.frozen(kw_only=True)
class Selected:
    """A selected target.

    Attributes:
        load: The target.
        steps: Names of the steps that excluded candidates.
        left_count: Number of candidates among which the policy chose.
    """

    load: choosing.Load
    steps: tuple[str, ...]
    left_count: int

    @property
    def decided_by(self) -> str:
        """The last step that excluded candidates, with the number that it left; may be empty."""
        return f"{self.steps[-1]}:{self.left_count}" if self.steps else ""


@attrs.frozen(kw_only=True)
class Preview:
    """What a selection would do.

    Attributes:
        steps: Names of the steps with the candidates that each leaves.
        left: The candidates among which the policy chooses.
        found: A choice of the policy, or why there is none.
        queued_count: Openings of the service that wait already.
    """

    steps: tuple[tuple[str, Loads], ...]
    left: Loads
    found: Selected | errors.Nothing
    queued_count: int


class Selector:
    """Runs the steps and the placement policy."""

    def __init__(self, *, context: Context, policy: str = choosing.DEFAULT_POLICY) -> None:
        """Builds the steps that the deployment uses.

        Args:
            context: What the steps are built from.
            policy: Name of the placement policy.
        """
        self._choose = choosing.create(policy, context.rng)
        self._holder = context.holder
        steps = sorted(_STEPS.values(), key=lambda step: step.order)
        made = ((step, step.make(context)) for step in steps)
        self._steps = [(step, exclude) for step, exclude in made if exclude is not None]
        self._observers = context.observers

    def usable(self, loads: Loads, query: Query) -> Loads:
        """Returns the targets that may be used, whether or not they have capacity now.

        Args:
            loads: Ready targets of the service.
            query: The opening.
        """
        for step, exclude in self._steps:
            if step.order >= _USABLE_ORDER_LIMIT or not loads:
                break
            if step.reason is NO_CAPACITY:
                continue
            loads = exclude(loads, query)
        return loads

    def select(self, loads: Loads, query: Query) -> Selected | errors.Nothing:
        """Selects a target.

        Args:
            loads: Ready targets of the service.
            query: The opening.

        Returns:
            The target, or why there is none.
        """
        if not loads:
            return REFUSED_NO_TARGET
        steps = []
        for step, exclude in self._steps:
            left = exclude(loads, query)
            if not left:
                return step.reason
            if len(left) < len(loads):
                steps.append(step.name)
            loads = left
        load = self._choose(loads, query.now_s)
        if self._holder is not None:
            self._holder.charge(load.target, query.now_s)
        return Selected(load=load, steps=tuple(steps), left_count=len(loads))

    def record_response(
        self, load: choosing.Load, route: bytes, duration_s: float, now_s: float
    ) -> None:
        """Tells the steps how long a target took for a request.

        Args:
            load: The target.
            route: The request's route.
            duration_s: From the request's last new packet to the first bytes of the response.
            now_s: Current time.
        """
        for observe in self._observers:
            observe(load, route, duration_s, now_s)

    def preview(self, loads: Loads, query: Query, queued_count: int) -> "Preview":
        """Runs the steps and the policy without recording or charging anything.

        Args:
            loads: Ready targets of the service.
            query: The opening.
            queued_count: Openings of the service that wait already.
        """
        steps: list[tuple[str, Loads]] = []
        reason = None if loads else REFUSED_NO_TARGET
        for step, exclude in self._steps:
            if reason is None:
                loads = exclude(loads, query)
                reason = None if loads else step.reason
            steps.append((step.name, loads))
        if reason is None and queued_count:
            reason = NO_CAPACITY
        found: Selected | errors.Nothing = reason
        if reason is None:
            load = self._choose(loads, query.now_s)
            found = Selected(load=load, steps=(), left_count=len(loads))
        return Preview(steps=tuple(steps), left=loads, found=found, queued_count=queued_count)
