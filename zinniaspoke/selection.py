"""Selects the target of an opening in steps, each of which may exclude candidates.

The steps are registered with their place in the order, so that this module's list shows which
condition is judged before which. A step that a deployment does not use is not built.
"""

import random
from collections.abc import Callable, Sequence
from typing import Protocol

import attrs

from zinniaspoke import choosing, errors, exchange

REFUSED_NO_TARGET = errors.Nothing(reason="refused_no_target")
REFUSED_EVACUATED = errors.Nothing(reason="refused_evacuated")
# Not final: the opening waits for a target with capacity.
NO_CAPACITY = errors.Nothing(reason="no_place")


class View(Protocol):
    """What the steps need to know of rules and targets.

    Attributes:
        evacuated_zones: Availability zones whose targets get no new flows.
    """

    evacuated_zones: frozenset[str]


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


@attrs.frozen(kw_only=True)
class Context:
    """What the steps are built from.

    Attributes:
        view: Rules and targets that this VM knows.
        rng: Seeded random source.
        own_zone: This VM's availability zone; empty if not known.
        shared: Evidence about targets shared with other entry VMs, if it is.
    """

    view: View
    rng: random.Random
    own_zone: str = ""
    shared: exchange.Exchange | None = None


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


@register("evacuation", order=10, reason=REFUSED_EVACUATED)
def _make_evacuation(context: Context) -> Filter:
    """Excludes the targets of evacuated availability zones, whatever remains."""

    def exclude(loads: Loads, _query: Query) -> Loads:
        zones = context.view.evacuated_zones
        if not zones:
            return loads
        return [load for load in loads if load.target.zone not in zones]

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


# Steps before this place decide which targets may be used; later ones go by their load.
_USABLE_ORDER_LIMIT = 50


@attrs.frozen(kw_only=True)
class Selected:
    """A selected target.

    Attributes:
        load: The target.
        decided_by: The last step that excluded candidates, with the number that it left; empty if
            none did.
    """

    load: choosing.Load
    decided_by: str


class Selector:
    """Runs the steps and the placement policy."""

    def __init__(self, *, context: Context, policy: str = choosing.DEFAULT_POLICY) -> None:
        """Builds the steps that the deployment uses.

        Args:
            context: What the steps are built from.
            policy: Name of the placement policy.
        """
        self._choose = choosing.create(policy, context.rng)
        steps = sorted(_STEPS.values(), key=lambda step: step.order)
        made = ((step, step.make(context)) for step in steps)
        self._steps = [(step, exclude) for step, exclude in made if exclude is not None]

    def usable(self, loads: Loads, query: Query) -> Loads:
        """Returns the targets that may be used now, whether or not they have capacity.

        Args:
            loads: Ready targets of the service.
            query: The opening.
        """
        for step, exclude in self._steps:
            if step.order >= _USABLE_ORDER_LIMIT or not loads:
                break
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
        decided_by = ""
        for step, exclude in self._steps:
            left = exclude(loads, query)
            if not left:
                return step.reason
            if len(left) < len(loads):
                decided_by = f"{step.name}:{len(left)}"
            loads = left
        return Selected(load=self._choose(loads, query.now_s), decided_by=decided_by)

    def trace(self, loads: Loads, query: Query) -> list[tuple[str, Loads]]:
        """Returns the candidates that each step leaves, without selecting one.

        Args:
            loads: Ready targets of the service.
            query: The opening.
        """
        traced = []
        for step, exclude in self._steps:
            loads = exclude(loads, query) if loads else loads
            traced.append((step.name, loads))
        return traced
