"""Faults of a run, drawn from its seed."""

import random
from collections.abc import Callable

import attrs

CONTROLS = ("c1", "c2", "c3")
ENTRIES = ("e1", "e2", "e3", "e4")
ZONES = {"c1": "a", "c2": "b", "c3": "c", "e1": "a", "e2": "a", "e3": "b", "e4": "b"}
# Without faults before the first burst and after the last, so that something is in touch.
CALM_S = 5.0
# Between bursts; longer than the contact window.
GAP_S = (5.5, 9.0)


@attrs.frozen(kw_only=True)
class Fault:
    """One fault.

    Attributes:
        at_s: Seconds after the traffic has started.
        kind: Name of the method of ``run.Run`` that plays it, without its prefix.
        place: Machine, zone or target slot.
        length_s: How long it lasts, where it has a length.
    """

    at_s: float
    kind: str
    place: str
    length_s: float = 0.0


# What may be drawn: kind, how often, places, shortest and longest.
_TARGET_SLOTS = tuple(str(n) for n in range(8))
_DRAWS: tuple[tuple[str, int, tuple[str, ...], tuple[float, float]], ...] = (
    ("term", 4, (*ENTRIES, *CONTROLS), (0, 0)),
    ("kill", 3, (*ENTRIES, *CONTROLS), (0, 0)),
    ("freeze", 3, (*ENTRIES, *CONTROLS), (0.5, 4.0)),
    ("settings", 2, (*ENTRIES, *CONTROLS), (0, 0)),
    ("cut", 3, (*ENTRIES, *CONTROLS), (0.5, 5.0)),
    ("part", 2, (*ENTRIES, *CONTROLS), (0.5, 5.0)),
    ("one_way", 2, (*ENTRIES, *CONTROLS), (0.5, 5.0)),
    ("cut_zone", 1, ("a", "b", "c"), (1.0, 5.0)),
    ("delay", 2, (*ENTRIES, *CONTROLS), (1.0, 4.0)),
    ("silence", 1, ("all",), (0, 0)),
    ("reset", 2, (*ENTRIES, *CONTROLS), (0, 0)),
    ("disk_slow", 2, CONTROLS, (1.0, 4.0)),
    ("disk_full", 2, CONTROLS, (1.0, 4.0)),
    ("roll", 1, ("entries", "controls"), (0, 0)),
    ("kill_core", 1, ("all",), (0, 0)),
    ("kill_all", 1, ("all",), (0, 0)),
    ("leave", 4, _TARGET_SLOTS, (0, 0)),
    ("crash", 2, _TARGET_SLOTS, (0, 0)),
    ("restart", 2, _TARGET_SLOTS, (0, 0)),
    ("reuse", 2, _TARGET_SLOTS, (0, 0)),
    ("evacuate", 2, ("a", "b"), (5.0, 9.0)),
)


def draw(seed: int, seconds: float) -> list[Fault]:
    """Draws the faults of a run in bursts of one to four that follow closely or overlap."""
    rng = random.Random(seed)
    weights = [weight for _, weight, _, _ in _DRAWS]
    faults, at_s = [], CALM_S
    while at_s < seconds - CALM_S:
        for _ in range(rng.choice((1, 2, 2, 3, 4))):
            kind, _, places, (least_s, most_s) = rng.choices(_DRAWS, weights)[0]
            faults.append(
                Fault(
                    at_s=round(at_s, 2),
                    kind=kind,
                    place=rng.choice(places),
                    length_s=round(rng.uniform(least_s, most_s), 2),
                )
            )
            at_s += rng.uniform(0.0, 1.5)
        at_s += rng.uniform(*GAP_S)
    return faults


def shorten(faults: list[Fault], fails: Callable[[list[Fault]], bool]) -> list[Fault]:
    """Leaves out faults, halves first and then single ones, while the run still fails."""
    size = max(1, len(faults) // 2)
    while True:
        for start in range(0, len(faults), size):
            fewer = faults[:start] + faults[start + size :]
            if fails(fewer):
                faults = fewer
                break
        else:
            if size == 1:
                return faults
            size //= 2
        size = max(1, min(size, len(faults) // 2))
        if not faults:
            return faults
