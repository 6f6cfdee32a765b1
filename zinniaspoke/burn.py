"""Service-level burn: how fast the error budget of each objective is used up."""

import bisect
from collections.abc import Callable, Sequence

import attrs

from zinniaspoke import levels

WINDOWS_MINUTES = (5, 60, 6 * 60, 3 * 24 * 60)

_KINDS: dict[str, Callable[[levels.Minute, float], "Tally"]] = {}


@attrs.frozen(kw_only=True)
class Objective:
    """What a service promises.

    Attributes:
        service: The service.
        availability: Share of openings that a target answers.
        first_answer_s: Bound for short work's first answer; one of ``levels.ANSWER_BOUNDS_S``.
        first_answer_share: Share of short work that is answered within the bound.
        unbroken_share: Share of flows that are not broken.
    """

    service: str
    availability: float = 0.999
    first_answer_s: float = 0.5
    first_answer_share: float = 0.99
    unbroken_share: float = 0.9999

    def share(self, kind: str) -> float:
        """Returns the promised share of one kind.

        Args:
            kind: One of ``kinds()``.
        """
        return {
            "availability": self.availability,
            "first answer": self.first_answer_share,
            "unbroken flows": self.unbroken_share,
        }[kind]


@attrs.frozen(kw_only=True)
class Tally:
    """Good and bad events of one kind.

    Attributes:
        good: Events within the objective.
        bad: Events beyond it.
    """

    good: int
    bad: int


@attrs.frozen(kw_only=True)
class Burn:
    """One objective over all windows.

    Attributes:
        service: The service.
        kind: What is promised.
        objective: The promised share.
        rates: Burn rate by window, in the order of ``WINDOWS_MINUTES``; 1 uses the budget up just
            at the end of the longest window; None where nothing happened.
        budget_left: Share of the error budget left over the longest window; below 0 if overdrawn.
        event_count: Events in the longest window.
    """

    service: str
    kind: str
    objective: float
    rates: tuple[float | None, ...]
    budget_left: float
    event_count: int


def _kind(name: str) -> Callable:
    """Registers how one kind of event is counted."""

    def register(count: Callable[[levels.Minute, float], Tally]) -> Callable:
        _KINDS[name] = count
        return count

    return register


@_kind("availability")
def _availability(minute: levels.Minute, _: float) -> Tally:
    return Tally(good=minute.answered, bad=minute.unanswered)


@_kind("first answer")
def _first_answer(minute: levels.Minute, bound_s: float) -> Tally:
    split = bisect.bisect_left(levels.ANSWER_BOUNDS_S, bound_s) + 1
    return Tally(good=sum(minute.answers[:split]), bad=sum(minute.answers[split:]))


@_kind("unbroken flows")
def _unbroken(minute: levels.Minute, _: float) -> Tally:
    return Tally(good=minute.ended - minute.broken, bad=minute.broken)


def kinds() -> list[str]:
    """Returns the kinds of objectives."""
    return list(_KINDS)


def tally(
    kind: str, minutes: Sequence[levels.Minute], objective: Objective, since_minute: int
) -> Tally:
    """Counts the events of one kind since a minute.

    Args:
        kind: One of ``kinds()``.
        minutes: The service's minutes.
        objective: Its objective.
        since_minute: First minute that counts.

    Returns:
        The sums.
    """
    found = [
        _KINDS[kind](minute, objective.first_answer_s)
        for minute in minutes
        if minute.minute >= since_minute
    ]
    return Tally(good=sum(t.good for t in found), bad=sum(t.bad for t in found))


def rate(counted: Tally, promised_share: float) -> float | None:
    """Returns the burn rate of some events.

    Args:
        counted: The events.
        promised_share: The promised share of good ones, below 1.

    Returns:
        Share of bad events over the promised share of them; None where there were no events.
    """
    total = counted.good + counted.bad
    if total == 0:
        return None
    return counted.bad / total / (1.0 - promised_share)


def compute(
    minutes: dict[str, list[levels.Minute]], objectives: Sequence[Objective], now_minute: int
) -> list[Burn]:
    """Works out the burn of every objective.

    Args:
        minutes: Merged minutes by service.
        objectives: The objectives.
        now_minute: Minutes since 1970.

    Returns:
        One entry for each service and kind.
    """
    return [
        _burn(objective, kind, minutes.get(objective.service, []), now_minute)
        for objective in objectives
        for kind in _KINDS
    ]


def _burn(
    objective: Objective, kind: str, minutes: Sequence[levels.Minute], now_minute: int
) -> Burn:
    tallies = [
        tally(kind, minutes, objective, now_minute - window + 1) for window in WINDOWS_MINUTES
    ]
    promised = objective.share(kind)
    rates = tuple(rate(counted, promised) for counted in tallies)
    return Burn(
        service=objective.service,
        kind=kind,
        objective=promised,
        rates=rates,
        budget_left=1.0 - (rates[-1] or 0.0),
        event_count=tallies[-1].good + tallies[-1].bad,
    )
